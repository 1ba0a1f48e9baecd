package holdproxy.net;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/**
 * Limits the client connections: their number, how long one may send no command or stop in the middle of one, and
 * how long one may stay idle. A periodic sweep checks the oldest connections of each kind. A read timeout for each
 * connection would not be enough, because a client could keep it open forever by sending a byte now and then.
 */
final class Admission {
    /** Connections beyond the limit that are answered with a refusal; further ones are closed at once. */
    private static final int MAX_REFUSED = 8;
    /**
     * Connections accepted in one pass of the event loop. A connection that is closed to make room for them keeps
     * its file descriptor until the next pass.
     */
    static final int MAX_ACCEPTS_PER_PASS = 8;
    /** File descriptors that client connections may take beyond the limit. */
    static final int MAX_BEYOND_LIMIT = MAX_REFUSED + MAX_ACCEPTS_PER_PASS;
    /** The time for a first valid command. A client must get an error or a close within 3 s of connecting. */
    private static final long FIRST_COMMAND_TIMEOUT_US = 2_000_000;
    /** The time for the end of a first command that has begun to arrive. */
    private static final long FIRST_COMMAND_END_TIMEOUT_US = 2_500_000;
    /** The time for a complete command. A client must get an error or a close within 3 s of beginning one. */
    private static final long PARTIAL_COMMAND_TIMEOUT_US = 2_000_000;
    /** The first input of a new connection is read within this time, even if no other connection is accepted. */
    private static final long FIRST_READ_US = 300_000;
    /** How long an idle connection stays open while there is room; most clients send their next request sooner. */
    private static final long IDLE_TIMEOUT_US = 10_000_000;
    /**
     * When clients are short of connections, a client that still uses its connection sends the next request on it
     * within this time. A connection that was used only once may be closed when it has been idle for longer.
     */
    private static final long MIN_IDLE_USED_ONCE_US = 80_000;
    /**
     * An idle connection may be closed early after this time even if it has been used again after it was idle. Until
     * then its client is likely to send another request.
     */
    private static final long MIN_IDLE_REUSED_US = 2_000_000;
    /** How many sessions are looked at to make room for a connection; each look reads a socket. */
    private static final int MAX_ROOM_CANDIDATES = 8;
    /** The time between two sweeps. */
    private static final long SWEEP_INTERVAL_MS = 200;

    private final Proxy proxy;
    private final int maxSessions;
    private final int maxEstablished;
    private final EventLoop loop;
    /** A task that closes idle sessions is scheduled. */
    private boolean closeScheduled;
    /** A task that counts the current pass of the event loop is scheduled. */
    private boolean countScheduled;
    /** Passes of the event loop, counted only while connections are being accepted. */
    private long pass;

    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    /** Sessions without a complete valid command yet, oldest first; they are closed first to make room. */
    private final Set<ClientSession> newSessions = new LinkedHashSet<>();
    /** Idle sessions, the longest idle first. */
    private final Set<ClientSession> idleSessions = new LinkedHashSet<>();
    /** Idle sessions that have not been used again since they first became idle, the longest idle first. */
    private final Set<ClientSession> usedOnce = new LinkedHashSet<>();
    /** Sessions that are being closed to make room; they hold their file descriptors until they are closed. */
    private final Set<ClientSession> closingSessions = new HashSet<>();
    /** Sessions with a command that has not arrived completely, in the order in which the commands began. */
    private final Set<ClientSession> inPartialCommand = new LinkedHashSet<>();

    /**
     * Starts the sweep.
     *
     * @param maxSessions the limit on all sessions
     * @param maxEstablished the number of sessions with a valid command above which idle ones are closed early
     */
    Admission(Proxy proxy, int maxSessions, int maxEstablished, EventLoop loop) {
        this.proxy = proxy;
        this.maxSessions = maxSessions;
        this.maxEstablished = maxEstablished;
        this.loop = loop;
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** A connection was accepted: makes room for it, has it refused, or closes it. */
    void onOpened(ClientSession session) {
        sessions.add(session);
        session.openedUs = proxy.now();
        session.openedPass = pass;
        countPass();
        if (proxy.catchUp.isRunning()) {
            // A pass accepts only a few connections, so more that arrived during the pause may be in the accept queue.
            proxy.catchUp.begin();
        }
        if (sessions.size() > maxSessions && !makeRoom()) {
            session.refuseRequests();
            if (sessions.size() > maxSessions + MAX_REFUSED) {
                // Without this limit no file descriptors would be left, not even for connections to nodes.
                session.refuseAndClose();
                return;
            }
        }
        newSessions.add(session);
    }

    /**
     * Closes a session that has no open request; returns false if there is none. Sessions without a valid command
     * go first, but not before their first input has been read: in a burst, each new connection would otherwise
     * close the previous one with its request unread. While such unread sessions exist, an idle session is closed
     * only if it has been idle for long, so that a flood of silent connections does not displace active clients.
     */
    private boolean makeRoom() {
        for (ClientSession session : roomCandidates().limit(MAX_ROOM_CANDIDATES).toList()) {
            if (session.closeIfQuiet(CloseReason.ROOM, false)) {
                onClosed(session); // now, so that the next connection of the same burst closes another session
                return true;
            }
        }
        return roomCandidates().limit(MAX_ROOM_CANDIDATES).toList().stream().anyMatch(this::abortIncompleteFirst);
    }

    /** Closes a session whose first command has arrived in part only; returns whether it was closed. */
    private boolean abortIncompleteFirst(ClientSession session) {
        session.readInput();
        if (!newSessions.contains(session) || !session.isInPartialCommand()) {
            return false;
        }
        session.abort(CloseReason.ROOM);
        onClosed(session);
        return true;
    }

    /** The sessions that may be closed to make room, in this order. */
    private Stream<ClientSession> roomCandidates() {
        ClientSession oldestNew = firstOrNull(newSessions);
        if (oldestNew == null) {
            return Stream.concat(usedOnce.stream(), idleSessions.stream());
        }
        if (isFirstInputRead(oldestNew)) {
            return newSessions.stream().filter(this::isFirstInputRead);
        }
        long now = proxy.now();
        return idleSessions.stream().filter(session -> now - session.idleSinceUs > MIN_IDLE_REUSED_US);
    }

    /** Whether the first input of a session has certainly been read: it was opened two passes ago. */
    private boolean isFirstInputRead(ClientSession session) {
        return pass - session.openedPass >= 2 || proxy.now() - session.openedUs > FIRST_READ_US;
    }

    /** Counts the current pass of the event loop, in which a connection was accepted. */
    private void countPass() {
        if (!countScheduled) {
            countScheduled = true;
            loop.execute(() -> {
                countScheduled = false;
                pass++;
            });
        }
    }

    /** The session has sent its first complete valid command. */
    void onFirstCommand(ClientSession session) {
        newSessions.remove(session);
    }

    /** The session has sent a command. */
    void onCommand(ClientSession session) {
        session.usedAgain |= idleSessions.remove(session);
        usedOnce.remove(session);
    }

    /**
     * The session has become idle, perhaps forever. The number of connections that clients can open is limited, so
     * connections that are used once and stay open would leave none for other clients long before the proxy's own
     * limit is reached.
     */
    void onIdle(ClientSession session) {
        session.idleSinceUs = proxy.now();
        idleSessions.remove(session);
        if (newSessions.contains(session)) {
            return;
        }
        idleSessions.add(session);
        if (!session.usedAgain) {
            usedOnce.add(session);
        }
        if (tooManyEstablished() && !closeScheduled) {
            // Deferred, because more commands of the same read may still be in the decoder.
            closeScheduled = true;
            loop.execute(this::closeSurplusIdle);
        }
    }

    /** Whether so many sessions with a valid command are open that idle ones have to be closed early. */
    private boolean tooManyEstablished() {
        return sessions.size() - newSessions.size() - closingSessions.size() > maxEstablished;
    }

    /**
     * Closes idle sessions while too many are open. Sessions that have been used again stay longer, because a new
     * connection for each request would cost more than closing them gains.
     */
    private void closeSurplusIdle() {
        closeScheduled = false;
        closeSurplusIdle(usedOnce, MIN_IDLE_USED_ONCE_US);
        closeSurplusIdle(idleSessions, MIN_IDLE_REUSED_US);
    }

    private void closeSurplusIdle(Set<ClientSession> longestIdleFirst, long minIdleUs) {
        if (!tooManyEstablished()) {
            return;
        }
        long now = proxy.now();
        for (ClientSession session : List.copyOf(longestIdleFirst)) {
            if (!tooManyEstablished() || now - session.idleSinceUs <= minIdleUs) {
                return;
            }
            closeIfQuiet(session, CloseReason.SURPLUS);
        }
    }

    /** Closes a session unless input has arrived on it. */
    private void closeIfQuiet(ClientSession session, CloseReason reason) {
        if (session.closeIfQuiet(reason, true)) {
            newSessions.remove(session);
            removeIdle(session);
            closingSessions.add(session);
        }
    }

    /** The session no longer counts as idle. */
    private void removeIdle(ClientSession session) {
        idleSessions.remove(session);
        usedOnce.remove(session);
    }

    /**
     * Called after each read of a session.
     *
     * @param endsInCommand whether the input ends in the middle of a command
     * @param hasCommand whether a complete command has arrived in this read
     */
    void onRead(ClientSession session, boolean endsInCommand, boolean hasCommand) {
        if (!endsInCommand || hasCommand) {
            inPartialCommand.remove(session);
        }
        if (endsInCommand && inPartialCommand.add(session)) {
            session.partialSinceUs = proxy.now();
        }
    }

    /** The session is closed or is about to be. This may be called more than once for a session. */
    void onClosed(ClientSession session) {
        sessions.remove(session);
        newSessions.remove(session);
        removeIdle(session);
        closingSessions.remove(session);
        inPartialCommand.remove(session);
    }

    /** Whether no client is connected. */
    boolean isEmpty() {
        return sessions.isEmpty();
    }

    /** A copy of the list of all sessions, the oldest first. */
    List<ClientSession> sessions() {
        return List.copyOf(sessions);
    }

    /** Closes the sessions that have exceeded one of the time limits. */
    void sweep() {
        closeSurplusIdle();
        long now = proxy.now();
        for (ClientSession session :
                exceeding(inPartialCommand, s -> now - s.partialSinceUs, PARTIAL_COMMAND_TIMEOUT_US)) {
            session.readInput();
            if (now - session.partialSinceUs > PARTIAL_COMMAND_TIMEOUT_US && inPartialCommand.contains(session)) {
                failPartialCommand(session);
            }
        }
        for (ClientSession session : exceeding(newSessions, s -> now - s.openedUs, FIRST_COMMAND_TIMEOUT_US)) {
            closeWithoutFirstCommand(session, now);
        }
        for (ClientSession session : exceeding(idleSessions, s -> now - s.idleSinceUs, IDLE_TIMEOUT_US)) {
            closeIfQuiet(session, CloseReason.IDLE);
        }
        proxy.closeLog.logPeriodically(now);
    }

    /** The sessions of a set, oldest first, that have been in it for longer than the limit. */
    private static List<ClientSession> exceeding(
            Set<ClientSession> oldestFirst, ToLongFunction<ClientSession> ageUs, long limitUs) {
        return oldestFirst.stream()
                .takeWhile(session -> ageUs.applyAsLong(session) > limitUs)
                .toList();
    }

    private void failPartialCommand(ClientSession session) {
        inPartialCommand.remove(session);
        session.failPartialCommand("CLIENT_ERROR the command does not end");
    }

    /**
     * Ends a session that has sent no valid command in time: at once if it has sent nothing, and after an answer to
     * what it has sent otherwise.
     */
    private void closeWithoutFirstCommand(ClientSession session, long now) {
        closeIfQuiet(session, CloseReason.NO_FIRST_COMMAND);
        if (!newSessions.contains(session)) {
            return;
        }
        if (!session.isInPartialCommand()) {
            newSessions.remove(session);
            closingSessions.add(session);
            session.closeWhenAnswered(CloseReason.NO_FIRST_COMMAND);
        } else if (now - session.openedUs > FIRST_COMMAND_END_TIMEOUT_US) {
            newSessions.remove(session);
            failPartialCommand(session);
        }
    }

    /** The first element, or null if the set is empty. */
    private static ClientSession firstOrNull(Set<ClientSession> set) {
        Iterator<ClientSession> i = set.iterator();
        return i.hasNext() ? i.next() : null;
    }
}
