package holdproxy.net;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Counts the client connections that the proxy closes, by reason, and logs the counts now and then. A connection that
 * is closed with a request unanswered gets a line of its own.
 */
final class CloseLog {
    /** The time between two lines with the counts, in microseconds. */
    private static final long INTERVAL_US = 10_000_000;

    private final Log log;
    private final Map<CloseReason, Integer> closed = new EnumMap<>(CloseReason.class);
    /** Connections that were left open because a request had arrived by the time of the close. */
    private int inputAtClose;

    private long lastLineUs;

    /** Creates a log with all counts at 0. */
    CloseLog(Log log) {
        this.log = log;
    }

    /**
     * A connection is being closed.
     *
     * @param unanswered the ids of the requests on it that have no answer
     */
    void onClosed(CloseReason reason, List<String> unanswered) {
        closed.merge(reason, 1, Integer::sum);
        if (!unanswered.isEmpty()) {
            log.line("closing a connection with requests unanswered (" + reason + "): " + String.join(" ", unanswered));
        }
    }

    /** A connection was to be closed, and input had arrived on it. */
    void onInputAtClose() {
        inputAtClose++;
    }

    /** Logs the counts if the last line with them is some time ago. */
    void logPeriodically(long nowUs) {
        if (nowUs - lastLineUs >= INTERVAL_US) {
            lastLineUs = nowUs;
            logCounts();
        }
    }

    /** Logs the counts since the last such line, unless there are none. */
    void logCounts() {
        if (closed.isEmpty() && inputAtClose == 0) {
            return;
        }
        String counts = closed.entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .collect(Collectors.joining(", "));
        log.line("closed client connections: " + (counts.isEmpty() ? "none" : counts) + "; input at the close "
                + inputAtClose);
        closed.clear();
        inputAtClose = 0;
    }
}
