package holdproxy.cluster;

/**
 * The state in which one member considers another. At equal incarnations a later constant takes precedence over
 * an earlier one. The codec transmits the ordinal.
 */
public enum MemberState {
    /** The member is considered reachable. */
    ALIVE,
    /** A probe of the member failed. It is declared dead unless it refutes the suspicion in time. */
    SUSPECT,
    /** The suspicion was not refuted in time, or the member announced that it leaves. */
    DEAD
}
