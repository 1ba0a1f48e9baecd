package holdproxy.net;

/**
 * How far the event loop runs behind a timer of its own. All times are microseconds on the proxy's clock; the
 * loop calls {@link #tick} and asks for it again after {@link #PERIOD_US}.
 */
final class LoopLag {
    static final long PERIOD_US = 20_000;
    /** A tick so shortly before ran in the same pass of the loop as what asks. */
    private static final long SAME_PASS_US = 5_000;
    /** Weight of the newest tick in the mean, as for round-trip times. */
    private static final double MEAN_GAIN = 1.0 / 8;
    /** Timers are later than the mean about as often as earlier: twice the mean covers most of them. */
    private static final double RESERVE_OF_MEAN = 2;

    private boolean started;
    private long dueUs;
    private long tickedUs;
    private long lateUs;
    private double meanLateUs;

    /** The timer ran; returns by how much it was late. */
    long tick(long nowUs) {
        lateUs = overdueUs(nowUs);
        meanLateUs += (Math.max(0, lateUs) - meanLateUs) * MEAN_GAIN;
        started = true;
        tickedUs = nowUs;
        dueUs = nowUs + PERIOD_US;
        return lateUs;
    }

    /** By how much the next tick is overdue; negative before it is due, 0 before the first. */
    long overdueUs(long nowUs) {
        return started ? nowUs - dueUs : 0;
    }

    /**
     * For how long the loop stood still before this, as in a pause of the collector or of the machine: what
     * is read now may have waited so long. Input is mostly read before timers run, and then the tick is still
     * overdue; where it ran first, it has just been late.
     */
    long stoodStillUs(long nowUs) {
        boolean justTicked = started && nowUs - tickedUs < SAME_PASS_US;
        long late = justTicked ? Math.max(lateUs, overdueUs(nowUs)) : overdueUs(nowUs);
        return late > PERIOD_US ? late : 0;
    }

    /** What a timer has to be set earlier by, as the loop runs now, to be in time mostly. */
    long reserveUs() {
        return (long) (RESERVE_OF_MEAN * meanLateUs);
    }
}
