package holdproxy.net;

/**
 * Measures how late the event loop runs a periodic timer. All times are microseconds on the proxy's clock; the
 * loop calls {@link #tick} and schedules the next call after {@link #PERIOD_US}.
 */
final class LoopLag {
    /** The period of the timer. */
    static final long PERIOD_US = 20_000;
    /** A tick at most this long ago ran in the same pass of the event loop as the caller. */
    private static final long SAME_PASS_US = 5_000;
    /** The weight of the newest tick in the moving mean, the same as in TCP's round-trip estimate. */
    private static final double MEAN_GAIN = 1.0 / 8;
    /** About half of all timers run later than the mean lag; twice the mean covers most of them. */
    private static final double RESERVE_MEAN_MULTIPLE = 2;

    private boolean hasTicked;
    private long nextTickUs;
    private long lastTickUs;
    /** How late the last tick ran; may be negative. */
    private long lastLateUs;
    /** The moving mean of how late ticks run, in which early ticks count as 0. */
    private double meanLateUs;

    /** Records that the timer ran; returns how late it was, which is negative if it ran early. */
    long tick(long nowUs) {
        lastLateUs = overdueUs(nowUs);
        meanLateUs += (Math.max(0, lastLateUs) - meanLateUs) * MEAN_GAIN;
        hasTicked = true;
        lastTickUs = nowUs;
        nextTickUs = nowUs + PERIOD_US;
        return lastLateUs;
    }

    /** How long the next tick is overdue; negative before it is due, and 0 before the first tick. */
    long overdueUs(long nowUs) {
        return hasTicked ? nowUs - nextTickUs : 0;
    }

    /**
     * How long the event loop was blocked before the current pass, as by a garbage collection or a pause of the
     * machine; 0 if it was not. Input that is read now may have waited that long. The loop usually reads input
     * before it runs timers, and then the tick is still overdue; otherwise the tick has just run late.
     */
    long blockedUs(long nowUs) {
        boolean justTicked = hasTicked && nowUs - lastTickUs < SAME_PASS_US;
        long lateUs = justTicked ? Math.max(lastLateUs, overdueUs(nowUs)) : overdueUs(nowUs);
        return lateUs > PERIOD_US ? lateUs : 0;
    }

    /** How much earlier a timer must be set, at the current lag, to run in time in most cases. */
    long reserveUs() {
        return (long) (RESERVE_MEAN_MULTIPLE * meanLateUs);
    }
}
