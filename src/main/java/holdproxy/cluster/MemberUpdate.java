package holdproxy.cluster;

/**
 * A statement about one member at one of its incarnations.
 *
 * @param member its number among the peers
 * @param incarnation a number that only the member itself raises: at its start and to refute a suspicion
 */
public record MemberUpdate(int member, MemberState state, long incarnation) {

    /**
     * Whether this replaces what is held. At one incarnation the worse state wins, so that only the member
     * itself, by a higher one, can take a suspicion or a death back.
     */
    public boolean supersedes(MemberState heldState, long heldIncarnation) {
        if (incarnation != heldIncarnation) {
            return incarnation > heldIncarnation;
        }
        return state.compareTo(heldState) > 0;
    }
}
