package holdproxy.scale.virtual;

import java.util.ArrayDeque;

/**
 * One proxy's connections to one cache node, with one request at a time on each, managed as by the real data path: the
 * most recently used idle connection is taken first, and an idle connection beyond the first one is surplus and closes
 * after an eighth of the idle time.
 */
final class ConnectionPool {
    /** Surplus connections close after the idle time divided by this. */
    private static final long SURPLUS_IDLE_DIVISOR = 8;
    /** The idle time of the settings, divided by this, is taken off so that the proxy closes before the node does. */
    private static final long EARLY_CLOSE_DIVISOR = 5;

    private record IdleConnection(long closesAtUs, int nodeGeneration, boolean surplus) {}

    private final EventClock clock;
    private final CacheNode node;
    private final long idleTimeoutUs;
    /** Idle connections, the most recently used one last. */
    private final ArrayDeque<IdleConnection> idleConnections = new ArrayDeque<>();
    /** Whether a check for expired connections is scheduled, for the first idle connection (0) and surplus ones (1). */
    private final boolean[] checkScheduled = new boolean[2];
    /** Open connections, in use or idle. */
    int openConnections;

    ConnectionPool(EventClock clock, CacheNode node, FleetConfig config) {
        this.clock = clock;
        this.node = node;
        idleTimeoutUs = config.idleTimeoutUs - config.idleTimeoutUs / EARLY_CLOSE_DIVISOR;
    }

    CacheNode node() {
        return node;
    }

    /** Takes an idle connection into use; returns false if there is none and a new one is needed. */
    boolean takeIdle() {
        while (!idleConnections.isEmpty()) {
            IdleConnection connection = idleConnections.pollLast();
            if (connection.nodeGeneration == node.generation()) {
                return true;
            }
            openConnections--; // The node reset it when it stopped.
        }
        return false;
    }

    /** Counts a new connection, which is in use. */
    void addOpened() {
        openConnections++;
    }

    /** Returns a connection whose answer is complete; it is idle from now on. */
    void release() {
        boolean surplus = !idleConnections.isEmpty();
        IdleConnection connection = new IdleConnection(
                clock.now() + (surplus ? idleTimeoutUs / SURPLUS_IDLE_DIVISOR : idleTimeoutUs),
                node.generation(),
                surplus);
        idleConnections.addLast(connection);
        scheduleCheck(connection);
    }

    private void scheduleCheck(IdleConnection connection) {
        int kind = connection.surplus ? 1 : 0;
        if (!checkScheduled[kind]) {
            checkScheduled[kind] = true;
            clock.scheduleAt(connection.closesAtUs, () -> closeExpired(kind));
        }
    }

    /** Closes a connection in use; {@code nodeGeneration} is that of the node when it was opened. */
    void close(int nodeGeneration) {
        openConnections--;
        node.connectionClosed(nodeGeneration);
    }

    /** Closes all idle connections. */
    void closeIdle() {
        while (!idleConnections.isEmpty()) {
            close(idleConnections.pollLast().nodeGeneration);
        }
    }

    /** Closes the connections that have expired and schedules the next check for connections of this kind. */
    private void closeExpired(int kind) {
        long now = clock.now();
        IdleConnection next = null;
        for (int remaining = idleConnections.size(); remaining > 0; remaining--) {
            IdleConnection connection = idleConnections.pollFirst();
            if (connection.closesAtUs <= now) {
                close(connection.nodeGeneration);
                continue;
            }
            idleConnections.addLast(connection);
            if (connection.surplus == (kind == 1) && (next == null || connection.closesAtUs < next.closesAtUs)) {
                next = connection;
            }
        }
        checkScheduled[kind] = false;
        if (next != null) {
            scheduleCheck(next);
        }
    }
}
