package holdproxy.net;

import holdproxy.BadInput;
import holdproxy.Router;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Client of the discovery service, which publishes the list of cache nodes. It opens a watch or fetches one
 * complete list when the router asks for it. The router also decides when to call again after a failure. A list
 * that cannot be parsed is ignored and ends the call as failed, since later changes could not be applied to the
 * current list.
 *
 * <p>When the address of the service changes, this class opens a watch at the new service and retries it until
 * the first list has arrived. Until then the watch at the old service stays open.
 *
 * <p>All methods are called on the event loop.
 */
final class Discovery implements DiscoveryCall.Listener {
    private static final String PATH = "/registry/instances";
    /**
     * The delay before the first retry of a move. It doubles with each failure and is varied at random by up to a half.
     * After a call that may be lost the next one is made after this delay.
     */
    private static final int MOVE_FIRST_RETRY_DELAY_MS = 150;

    /**
     * The longest delay before a retry of a move, before it is varied. The proxy must know all that the new service
     * publishes 4 s after SIGHUP, and 6 s after the service can be reached, while a call waits up to 3 s for its turn.
     * The router may take longer before it repeats a failed call, so this class repeats the calls of a move itself.
     */
    private static final int MOVE_MAX_RETRY_DELAY_MS = 500;

    private final NodeListListener listener;
    /** Parses the lists and numbers their nodes. */
    final NodeListParser parser;

    private final EventLoop loop;
    private final Log log;
    /** The list contained in the configuration; null once it was delivered. */
    private List<NodeListEntry> initialList;
    /** The address of the service. After a move this is the new one at once. */
    private InetSocketAddress address;
    /** The version of the latest list, from which a new watch continues. */
    private long version;
    /** The open watch, if any. During a move this is the one at the old service. */
    private DiscoveryCall watch;
    /** The calls that open a watch, unless a move does. */
    private final PendingWatch opening = new PendingWatch();
    /** The calls that open the watch at the new service during a move. */
    private final PendingWatch successor = new PendingWatch();
    /** The timer of the next retry during a move; null if none is due. */
    private Future<?> moveRetryTimer;
    /** The number of failed calls during the current move. */
    private int moveFailures;

    /**
     * Parses the list in the configuration. No call is made until the other methods are used.
     *
     * @throws BadInput if that list is malformed
     */
    Discovery(NodeListListener listener, Config config, EventLoop loop, Log log) {
        this.listener = listener;
        this.loop = loop;
        this.log = log;
        address = config.discoveryAddress;
        parser = new NodeListParser(config, listener::toMonotonicUs);
        initialList = parser.parseEntries(config.knownList);
        version = NodeListParser.parseVersion(config.knownList);
    }

    /** Delivers the list contained in the configuration. Must be called once. */
    void deliverInitialList() {
        listener.onNodeList(Router.NodeListEvent.CACHED, initialList);
        initialList = null;
    }

    /**
     * Opens a watch from the current version, unless one is open or is being opened at a new service. A watch that has
     * gone on after a silence stays in use; the router is told so, since it expects an answer to each call.
     */
    void openWatch() {
        if (isMoving() || opening.isWaiting()) {
            return; // One watch is enough, and each call makes the service send more list lines.
        }
        if (watch != null && !watch.isSilent()) {
            loop.execute(() -> listener.onNodeList(Router.NodeListEvent.DELTA, List.of()));
            return;
        }
        endWatch();
        opening.add(call(PATH + "?stream=1&index=" + version, true));
    }

    /** Fetches one complete list. The listener receives either the list or the failure of the call. */
    void fetch() {
        call(PATH, false);
    }

    private DiscoveryCall call(String path, boolean isWatch) {
        return new DiscoveryCall(loop, address, path, isWatch, this);
    }

    private void endWatch() {
        if (watch != null) {
            watch.end();
            watch = null;
        }
    }

    /**
     * Moves to the service at another address. The current list and the watch at the old service stay in use until
     * the new service has sent a list. The new service is asked for a complete list, since its versions are unrelated
     * to those of the old one. Does nothing if the address is unchanged.
     */
    void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        log.line("discovery moves to " + NetUtil.toSocketAddressString(to));
        address = to;
        endMove();
        moveFailures = 0;
        callSuccessor();
    }

    /** Forgets the number of a node that is gone. */
    void forget(int number) {
        parser.forget(number);
    }

    private boolean isMoving() {
        return successor.isOpen() || moveRetryTimer != null;
    }

    private void endMove() {
        successor.end();
        if (moveRetryTimer != null) {
            moveRetryTimer.cancel(false);
            moveRetryTimer = null;
        }
    }

    private void callSuccessor() {
        moveRetryTimer = null;
        successor.add(call(PATH + "?stream=1&index=0", true));
    }

    private void retryAfterFailedMove() {
        int delayMs = Math.min(MOVE_MAX_RETRY_DELAY_MS, MOVE_FIRST_RETRY_DELAY_MS << Math.min(moveFailures++, 8));
        scheduleSuccessorCall(delayMs);
    }

    /** All proxies are reloaded at the same time. A random delay spreads their calls. */
    private void scheduleSuccessorCall(int delayMs) {
        long randomDelayMs = delayMs / 2 + ThreadLocalRandom.current().nextInt(delayMs);
        moveRetryTimer = loop.schedule(this::callSuccessor, randomDelayMs, TimeUnit.MILLISECONDS);
    }

    /** A call has opened its watch, which replaces the one in use. */
    private void adopt(DiscoveryCall call) {
        if (successor.contains(call)) {
            successor.remove(call);
            endMove();
        }
        opening.remove(call);
        opening.end();
        endWatch();
        watch = call;
    }

    @Override
    public void onList(DiscoveryCall call, Map<String, Object> list) {
        List<NodeListEntry> entries = parser.parseEntries(list);
        long newVersion = NodeListParser.parseVersion(list);
        boolean full = Boolean.TRUE.equals(list.get("full"));
        if (successor.contains(call)) {
            log.line("discovery has moved: received " + (full ? "a complete list" : "changes") + " of " + entries.size()
                    + " nodes");
        }
        if (successor.contains(call) || opening.contains(call)) {
            adopt(call);
        }
        version = newVersion;
        listener.onNodeList(full ? Router.NodeListEvent.FULL : Router.NodeListEvent.DELTA, entries);
    }

    @Override
    public boolean onOpenWithoutChanges(DiscoveryCall call) {
        if (successor.contains(call)) {
            return false; // its complete list is still to come
        }
        adopt(call);
        listener.onNodeList(Router.NodeListEvent.DELTA, List.of());
        return true;
    }

    /** Has the router decide when the next call is made, or retries the call of a move. */
    @Override
    public void onSilent(DiscoveryCall call, long silenceUs) {
        log.line("no list and no empty line from discovery for " + silenceUs / 1000 + " ms");
        if (successor.isLatest(call) && moveRetryTimer == null) {
            scheduleSuccessorCall(MOVE_FIRST_RETRY_DELAY_MS);
        } else if (!isMoving() && (call == watch || opening.isLatest(call))) {
            listener.onNodeList(Router.NodeListEvent.SILENT, List.of());
        }
    }

    /** Reports to the router that a call failed, unless its silence was reported; retries the call of a move. */
    @Override
    public void onEnded(DiscoveryCall call, String reason, Router.NodeListEvent kind) {
        log.line("call to discovery ended: " + reason);
        if (successor.contains(call)) {
            boolean isRetryDue = successor.isLatest(call) && moveRetryTimer == null;
            successor.remove(call);
            if (isRetryDue) {
                retryAfterFailedMove();
            }
            return;
        }
        boolean isInUse = call == watch || opening.isLatest(call);
        opening.remove(call);
        if (call == watch) {
            watch = null;
        }
        // During a move the old service ends its watches.
        if (!call.isWatch || isInUse && !call.isSilent() && !isMoving()) {
            listener.onNodeList(kind, List.of());
        }
    }
}
