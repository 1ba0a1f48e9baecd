package holdproxy;

/** The rate at which requests arrive at this proxy, as an average over about {@link #WINDOW_US}. */
final class ArrivalRate {
    /** Decay time in microseconds of the counts from which this proxy computes rates. */
    static final double WINDOW_US = 10e6;

    private final DecayingValue requests = new DecayingValue(WINDOW_US);
    private final long startedAt;

    ArrivalRate(long startedAt) {
        this.startedAt = startedAt;
    }

    /** Counts the arrival of a request. */
    void recordArrival(long now) {
        requests.count(now);
    }

    /** Returns the requests per second. */
    double perSecond(long now) {
        return requests.get(now) / effectiveWindowUs(now) * 1e6;
    }

    /**
     * Returns the effective duration in microseconds over which a count with a decay time of {@link #WINDOW_US} has
     * been collected since the start, plus one second. The extra second dampens rates computed from the first few
     * requests, which are mostly noise.
     */
    double effectiveWindowUs(long now) {
        return WINDOW_US * (1 - Math.exp((startedAt - now) / WINDOW_US)) + 1e6;
    }
}
