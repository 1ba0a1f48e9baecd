package holdproxy;

/** The rate of all requests that come to this instance, counted over about {@link #WINDOW_US}. */
final class ArrivalRate {
    /** Own rates are counted over about this time. */
    static final double WINDOW_US = 10e6;

    private final DecayingValue requests = new DecayingValue(WINDOW_US);
    private final long startedAt;

    ArrivalRate(long startedAt) {
        this.startedAt = startedAt;
    }

    void count(long now) {
        requests.count(now);
    }

    /** Requests a second. */
    double perSecond(long now) {
        return requests.get(now) / countedUs(now) * 1e6;
    }

    /** The time over which a value fading in that window has counted, and a second: the first is chance. */
    double countedUs(long now) {
        return WINDOW_US * (1 - Math.exp((startedAt - now) / WINDOW_US)) + 1e6;
    }
}
