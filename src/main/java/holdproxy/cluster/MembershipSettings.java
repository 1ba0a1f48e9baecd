package holdproxy.cluster;

/**
 * The timing and fan-out of the membership protocol.
 *
 * @param members the number of configured members, this one included
 * @param self this member's number, from 0
 * @param periodUs the length of a protocol period in microseconds; one member is probed in each period
 * @param ackTimeoutUs how long to wait for a direct answer, in microseconds, before other members are asked to
 *     probe the target; shorter than the period
 * @param indirectProbes how many other members are asked to probe the target
 */
public record MembershipSettings(int members, int self, long periodUs, long ackTimeoutUs, int indirectProbes) {
    private static final long MIN_PERIOD_US = 200_000;
    /** The longest message with its UDP and IPv4 headers. */
    private static final int DATAGRAM_BYTES = MessageCodec.MAX_DATAGRAM_BYTES + 28;
    /** A member sends one ping and answers one ping per period on average; other messages are rare. */
    private static final int DATAGRAMS_PER_PERIOD = 2;
    /**
     * The share of the period reserved for the direct probe. The indirect probe gets the larger rest because its
     * messages cross twice as many links.
     */
    private static final double ACK_TIMEOUT_PERIOD_SHARE = 0.3;

    private static final int INDIRECT_PROBES = 3;
    /** Suspicion time-out in periods for up to ten members; it grows with the decimal logarithm of the members. */
    private static final double SUSPICION_PERIODS = 4;
    /** Transmissions of each update for every binary digit of the number of members. */
    private static final int TRANSMISSIONS_PER_BINARY_DIGIT = 3;

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if {@code self} is not one of the members, the number of members cannot be
     *     encoded, or the time-out does not lie within the period
     */
    public MembershipSettings {
        if (members < 1 || members > MessageCodec.MAX_MEMBERS || self < 0 || self >= members) {
            throw new IllegalArgumentException("invalid member number or count: member " + self + " of " + members);
        }
        if (ackTimeoutUs < 1 || ackTimeoutUs >= periodUs || indirectProbes < 0) {
            throw new IllegalArgumentException(
                    "ackTimeoutUs must be positive and less than periodUs, and indirectProbes must not be negative");
        }
    }

    /**
     * Returns settings whose period is long enough for this member to send at most {@code bytesPerSecond}, headers
     * included, when all its datagrams are full. The period has a lower bound, so a large budget is not used up.
     */
    public static MembershipSettings forBandwidth(int bytesPerSecond, int members, int self) {
        long fullDatagramsUs = 1_000_000L * DATAGRAMS_PER_PERIOD * DATAGRAM_BYTES / Math.max(1, bytesPerSecond);
        long periodUs = Math.max(MIN_PERIOD_US, fullDatagramsUs);
        return new MembershipSettings(
                members, self, periodUs, (long) (ACK_TIMEOUT_PERIOD_SHARE * periodUs), INDIRECT_PROBES);
    }

    /**
     * Returns how long a suspected member has to refute the suspicion, in microseconds. It grows with the
     * logarithm of the number of members because an update takes that many rounds to reach all of them.
     */
    long suspicionTimeoutUs() {
        return (long) (SUSPICION_PERIODS * Math.max(1, Math.log10(members)) * periodUs);
    }

    /** Returns how often each update is sent, which is enough for it to reach all members with high probability. */
    int transmissionsPerUpdate() {
        return TRANSMISSIONS_PER_BINARY_DIGIT * (32 - Integer.numberOfLeadingZeros(members));
    }
}
