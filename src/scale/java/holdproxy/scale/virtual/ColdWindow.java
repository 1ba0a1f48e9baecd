package holdproxy.scale.virtual;

import java.util.ArrayDeque;

/**
 * Counts the requests at a cold cache node within any window of length {@code nodeOverloadUs} against the node's
 * budget. The budget is N + 2 sqrt(N) + 2 requests of mean work, where N is {@code nodeOverloadMultiple} times the
 * number of requests that the node could serve in the window with the capacity that it has at the window's end.
 */
final class ColdWindow {
    private final FleetConfig config;
    private final long startedUs;
    /** Arrival times of the window's requests; the bitwise complement where the sender did not know of the start. */
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
    /** Requests of the window whose sender knew of the start. */
    private int informedCount;
    /** Requests of the fullest window so far, as a share of its budget; above 1 a real node would be overloaded. */
    double worstShare;
    /** Time at which the fullest window ended. */
    long worstAtUs;
    /** Share of the fullest window's requests that came from proxies which knew of the start. */
    double worstInformedShare;

    ColdWindow(FleetConfig config, long startedUs) {
        this.config = config;
        this.startedUs = startedUs;
    }

    /**
     * Share of its full capacity that a node has at {@code nowUs}. It grows linearly from {@code coldCapacityShare} at
     * the start to 1 after {@code coldPeriodUs}. If {@code startedUs} is {@link Long#MIN_VALUE}, it is 1.
     */
    static double capacityShare(FleetConfig config, long startedUs, long nowUs) {
        return startedUs == Long.MIN_VALUE
                ? 1
                : Math.min(
                        1,
                        config.coldCapacityShare
                                + (1 - config.coldCapacityShare) * (nowUs - startedUs) / config.coldPeriodUs);
    }

    /** Requests of mean work that a node with this share of its capacity may receive within a window. */
    static double budget(FleetConfig config, double capacityShare) {
        double n =
                config.nodeOverloadMultiple * capacityShare * config.nodeRequestsPerS() * config.nodeOverloadUs / 1e6;
        return n + 2 * Math.sqrt(n) + 2;
    }

    /** Counts a request that arrives at {@code nowUs}. */
    void count(long nowUs, boolean senderInformed) {
        if (nowUs - startedUs > config.coldPeriodUs) {
            return; // The node is warm.
        }
        arrivals.add(senderInformed ? nowUs : ~nowUs);
        informedCount += senderInformed ? 1 : 0;
        // The expression first ^ first >> 63 undoes the complement and yields the arrival time.
        for (long first = arrivals.peek();
                (first ^ first >> 63) <= nowUs - config.nodeOverloadUs;
                first = arrivals.peek()) {
            informedCount -= first >= 0 ? 1 : 0;
            arrivals.poll();
        }
        double share = arrivals.size() / budget(config, capacityShare(config, startedUs, nowUs));
        if (share > worstShare) {
            worstShare = share;
            worstAtUs = nowUs;
            worstInformedShare = (double) informedCount / arrivals.size();
        }
    }
}
