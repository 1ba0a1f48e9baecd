package holdproxy.net;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * Limits the memory of answers that have not been written to the kernel, over all sessions. An answer waits because an
 * earlier request on its connection is open, or because the client reads slowly.
 */
final class UnwrittenAnswers {
    /** The limit, in bytes. */
    static final long MAX_BYTES = 12L << 20;

    private final Supplier<List<ClientSession>> sessions;
    private final Log log;
    private long bytes;
    /** Memory is being freed, which answers requests and so calls back. */
    private boolean reclaiming;

    /**
     * Creates an empty account.
     *
     * @param sessions returns all sessions
     */
    UnwrittenAnswers(Supplier<List<ClientSession>> sessions, Log log) {
        this.sessions = sessions;
        this.log = log;
    }

    /** The bytes that are not written. */
    long bytes() {
        return bytes;
    }

    /** Adds bytes; {@code change} may be negative. */
    void add(long change) {
        bytes += change;
    }

    /**
     * Frees memory while the limit is exceeded. One request after another is ended with an error line, in the session
     * with the most waiting bytes, so that its connection and its other requests live on. A connection is closed only
     * if nothing waits in any session: then the client that has left most unread loses it.
     */
    void reclaim() {
        if (reclaiming) {
            return;
        }
        reclaiming = true;
        while (bytes > MAX_BYTES && reclaimOnce()) {
            // one request or connection after another
        }
        reclaiming = false;
    }

    /** Ends one request, or else closes one connection. Returns false if no session holds anything. */
    private boolean reclaimOnce() {
        ClientSession waiting = withMost(ClientSession::waitingBytes);
        if (waiting != null && waiting.reclaimWaiting()) {
            log.line("failed a request: the answers behind it or before it take too much memory");
            return true;
        }
        ClientSession unread = withMost(ClientSession::unwrittenBytes);
        if (unread == null) {
            return false;
        }
        log.line("closing a connection: its client does not read its answers");
        unread.abort(CloseReason.MEMORY);
        return true;
    }

    /** The session for which the number of bytes is largest; null if it is 0 for all. */
    private ClientSession withMost(ToLongFunction<ClientSession> number) {
        return sessions.get().stream()
                .filter(session -> number.applyAsLong(session) > 0)
                .max(Comparator.comparingLong(number))
                .orElse(null);
    }
}
