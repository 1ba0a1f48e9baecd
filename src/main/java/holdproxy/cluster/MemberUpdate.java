package holdproxy.cluster;

/**
 * A statement about the state of one member at one of its incarnations.
 *
 * @param member the member's number, from 0
 * @param state the state that the member is said to be in
 * @param incarnation a number that only the member itself raises, when it starts and when it refutes a suspicion
 */
public record MemberUpdate(int member, MemberState state, long incarnation) {

    /**
     * Returns whether this update replaces the current state. A higher incarnation always replaces a lower one.
     * At equal incarnations the worse state wins, so only the member itself can revoke a suspicion or a death,
     * by raising its incarnation.
     */
    public boolean supersedes(MemberState currentState, long currentIncarnation) {
        if (incarnation != currentIncarnation) {
            return incarnation > currentIncarnation;
        }
        return state.compareTo(currentState) > 0;
    }
}
