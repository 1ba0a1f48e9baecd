package holdproxy.net;

/** Writes log lines to standard error, at a limited rate so that a burst of failures cannot fill a disk. */
class Log {
    /** Limits the lines written in one window of {@link #WINDOW_NANOS}; further ones are only counted. */
    private static final int MAX_LINES = 40;

    private static final long WINDOW_NANOS = 10_000_000_000L;

    private long windowStartNanos = System.nanoTime();
    private int linesInWindow;

    /** Writes one line. It is also called by the thread that reads a new configuration. */
    synchronized void line(String text) {
        long nowNanos = System.nanoTime();
        if (nowNanos - windowStartNanos > WINDOW_NANOS) {
            if (linesInWindow > MAX_LINES) {
                System.err.println("holdproxy: " + (linesInWindow - MAX_LINES) + " log lines suppressed");
            }
            windowStartNanos = nowNanos;
            linesInWindow = 0;
        }
        if (linesInWindow++ < MAX_LINES) {
            System.err.println("holdproxy: " + text);
        }
    }
}
