package holdproxy.cluster;

/**
 * What is held of a member. The order is that of precedence at one incarnation, and the codec's numbering.
 */
public enum MemberState {
    ALIVE,
    /** A probe of it failed; it is declared dead unless it refutes that in time. */
    SUSPECT,
    DEAD
}
