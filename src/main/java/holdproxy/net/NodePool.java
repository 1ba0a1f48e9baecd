package holdproxy.net;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** This proxy's connections to one cache node. */
final class NodePool {
    /** Idle connections beyond the first are kept for the idle time divided by this number. */
    private static final long SURPLUS_IDLE_DIVISOR = 8;

    final NodePools pools;
    /** The node's id in discovery. */
    final String name;
    /** Where new connections are opened to. */
    InetSocketAddress address;
    /**
     * Whether the node accepts no new requests. A connection whose last attempt was answered is then closed, since
     * it would not be used again.
     */
    private boolean retired;

    /** All connections of the pool: those being opened, those in use and the idle ones. */
    private final List<NodeConnection> connections = new ArrayList<>();
    /**
     * Idle connections, the most recently used last. That one is used first, so that connections in excess of the
     * need stay idle and are closed.
     */
    private final ArrayDeque<NodeConnection> idleConnections = new ArrayDeque<>();

    private final Map<NodeConnection, Future<?>> idleTimers = new HashMap<>();

    NodePool(NodePools pools, String name, InetSocketAddress address) {
        this.pools = pools;
        this.name = name;
        this.address = address;
    }

    /**
     * Assigns an attempt to an idle connection, to a new one, or to a shared one, in this order. The answers on a
     * connection arrive in the order of its requests, so a slow answer delays all those behind it, and an unreadable
     * answer makes them unusable. A connection is therefore shared only when the descriptor limit allows no new one.
     * If none can be shared either, the attempt fails.
     *
     * <p>A request that must not run twice avoids connections on which a late copy of a refusal may arrive: taken for
     * its own answer, the copy would prove falsely that the node did not run it.
     */
    void send(Attempt attempt) {
        NodeConnection connection = takeIdle(false);
        if (connection == null && pools.mayRepeat(attempt)) {
            connection = takeIdle(true);
        }
        if (connection == null) {
            connection = pools.open(this);
        }
        if (connection == null) {
            connection = takeIdle(true);
        }
        if (connection == null) {
            connection = leastLoaded();
        }
        if (connection == null) {
            pools.log.line("descriptor limit reached: cannot open a connection to node " + name);
            pools.proxy.onAttemptEnded(attempt, attempt.connectionLossOutcome(), null);
            return;
        }
        connection.add(attempt);
    }

    /**
     * Removes and returns the most recently used idle connection; null if there is none.
     *
     * @param withLateCopies whether it may be one on which a late copy of an earlier answer may arrive
     */
    private NodeConnection takeIdle(boolean withLateCopies) {
        Iterator<NodeConnection> latestFirst = idleConnections.descendingIterator();
        while (latestFirst.hasNext()) {
            NodeConnection connection = latestFirst.next();
            if (connection.isUsable() && (withLateCopies || !connection.mayReadLateCopies())) {
                latestFirst.remove();
                cancelIdleTimer(connection);
                return connection;
            }
        }
        return null;
    }

    /** Returns the connection with the fewest attempts; null if none can take another attempt. */
    private NodeConnection leastLoaded() {
        NodeConnection best = null;
        if (pools.attemptsPerConnection > 1) {
            for (NodeConnection candidate : connections) {
                if (candidate.isUsable()
                        && candidate.attemptCount() < pools.attemptsPerConnection
                        && (best == null || candidate.attemptCount() < best.attemptCount())) {
                    best = candidate;
                }
            }
        }
        return best;
    }

    /** Adds a connection that is being opened. */
    void add(NodeConnection connection) {
        connections.add(connection);
    }

    /** Takes a connection back after its last attempt was answered. */
    void addIdle(NodeConnection connection) {
        if (retired) {
            connection.close();
            return;
        }
        // Surplus connections are rarely needed again and count against the connections that the node accepts from
        // other proxies. All idle connections are closed before the node closes them itself, because a request
        // written at that moment would end as a reset.
        long idleUs = idleConnections.isEmpty() ? pools.idleUs : pools.idleUs / SURPLUS_IDLE_DIVISOR;
        idleConnections.addLast(connection);
        idleTimers.put(connection, pools.schedule(idleUs, () -> connection.close()));
    }

    private void cancelIdleTimer(NodeConnection connection) {
        Future<?> timer = idleTimers.remove(connection);
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Removes a connection that was closed. */
    void remove(NodeConnection connection) {
        if (connections.remove(connection)) {
            idleConnections.remove(connection);
            cancelIdleTimer(connection);
            pools.onConnectionClosed();
        }
    }

    /**
     * Stops sending to the node because it drains or has left the list. Attempts that have not been written, because
     * the connection is being opened or the event loop is catching up after a pause, are withdrawn. They could
     * otherwise be written after the grace period for drains.
     */
    void retire() {
        retired = true;
        closeIdle();
        List<Attempt> unwritten = new ArrayList<>();
        connections.forEach(connection -> connection.collectUnwritten(unwritten));
        unwritten.forEach(pools.proxy::withdraw);
    }

    /** Allows sending to the node at the listed address. Idle connections are closed if the address has changed. */
    void activate(InetSocketAddress listedAddress) {
        retired = false;
        if (!address.equals(listedAddress)) {
            address = listedAddress;
            closeIdle();
        }
    }

    /** Closes the idle connections, and those that are about to become idle. */
    void closeIdle() {
        while (!idleConnections.isEmpty()) {
            idleConnections.peekFirst().close();
        }
        connections.forEach(NodeConnection::retireIfBecomingIdle);
    }

    /** Closes the connection that has been idle longest. Returns false if none is idle. */
    boolean closeOldestIdle() {
        if (idleConnections.isEmpty()) {
            return false;
        }
        idleConnections.peekFirst().close();
        return true;
    }
}
