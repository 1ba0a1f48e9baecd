package holdproxy.net;

import holdproxy.Router;
import holdproxy.RoutingPolicy;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A proxy without a data path. It uses the real {@link Config}, {@link Discovery}, {@link Reload} and
 * {@link RoutingPolicy} on an event loop that it shares with other proxies, but has no listener, no clients and
 * no connections to nodes. Many of them fit in one process, which allows the load of a large fleet on discovery
 * to be measured.
 *
 * <p>Its clock is Unix time in microseconds, so that a node's start time is the same number at every proxy.
 * Unless stated otherwise, methods may be called from any thread.
 */
public final class ControlPlaneProxy implements NodeListListener, Router.Actions {
    /** Offset from {@link System#nanoTime()} to Unix time, in microseconds. */
    private static final long UNIX_TIME_OFFSET_US = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    /** Discards all lines: the log lines of hundreds of proxies would hide those of the run itself. */
    private static final Log DISCARDING_LOG = new Log() {
        @Override
        synchronized void line(String text) {
            // Discards the line.
        }
    };

    /** Is notified of each list that a proxy has applied. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called on the proxy's event loop after a list was applied.
         *
         * @param contentHash the sum of {@link #entryHash} over all nodes that the proxy now knows
         */
        void onListApplied(ControlPlaneProxy proxy, long contentHash);
    }

    private final Map<String, String> env;
    private final EventLoop loop;
    private final Listener listener;
    private Reload reload;
    private Discovery discovery;
    private Router router;
    /** {@link #entryHash} of each known node, by the node's number. */
    private Map<Integer, Long> entryHashes = new HashMap<>();
    /** Tasks to schedule when the proxy starts; null once it has started. */
    private List<Runnable> startTasks = new ArrayList<>();

    /** Sum of the values of {@link #entryHashes}. */
    private long contentHash;

    /**
     * Incremented at each restart. A timer set before a restart carries the old number and is ignored, since it
     * belongs to a routing policy that no longer exists.
     */
    private int generation;

    /** Whether the proxy restarts when its next watch or call ends. */
    private boolean restartPending;

    private long restartDelayMs;

    /**
     * Creates a proxy that reads its configuration as a real proxy does. It makes no calls until
     * {@link #start()}. Must be called on {@code loop}.
     *
     * @param env environment variables, which name the configuration file
     */
    public ControlPlaneProxy(Map<String, String> env, EventLoop loop, Listener listener) {
        this.env = env;
        this.loop = loop;
        this.listener = listener;
        initialize();
    }

    private void initialize() {
        generation++;
        Config config = Config.load(env);
        entryHashes = new HashMap<>();
        contentHash = 0;
        discovery = new Discovery(this, config, loop, DISCARDING_LOG);
        router = new RoutingPolicy(config.settings, config.seed, nowUs(), this);
        Discovery current = discovery;
        reload = new Reload(
                env, DISCARDING_LOG, changed -> loop.execute(() -> current.moveTo(changed.discoveryAddress)));
        discovery.deliverInitialList();
        if (!config.settings.requiresSubscription) {
            scheduleTask(discovery::openWatch, 0);
        }
    }

    /** Starts the calls to discovery that the settings and the routing policy request. */
    public void start() {
        loop.execute(this::runStartTasks);
    }

    private void runStartTasks() {
        List<Runnable> tasks = startTasks;
        startTasks = null;
        tasks.forEach(Runnable::run);
    }

    /** Reads the configuration again, as a real proxy does on SIGHUP. */
    public void reload() {
        reload.requestReload();
    }

    /**
     * Simulates a restart of the process when the next watch or call to discovery ends: the proxy drops its
     * state and starts again from its configuration after {@code delayMs}.
     */
    public void restartWhenNextCallEnds(long delayMs) {
        loop.execute(() -> {
            restartPending = true;
            restartDelayMs = delayMs;
        });
    }

    /** Number of known nodes, including draining ones. Must be called on the proxy's event loop. */
    public int nodeCount() {
        return entryHashes.size();
    }

    /**
     * Hash of one list entry. Two lists have the same content if the sums of their entries' hashes are equal.
     *
     * @param startedMs Unix time of the node's start in milliseconds, or 0 if it started long ago
     */
    public static long entryHash(String id, boolean draining, double weight, long startedMs) {
        long hash = id.hashCode() * 0x9e3779b97f4a7c15L
                ^ Double.doubleToLongBits(weight)
                ^ startedMs * 1000
                ^ (draining ? 0x5851f42d4c957f2dL : 0);
        hash = (hash ^ hash >>> 31) * 0xbf58476d1ce4e5b9L;
        return hash ^ hash >>> 29;
    }

    @Override
    public void onNodeList(Router.NodeListEvent kind, List<NodeListEntry> entries) {
        boolean failed = kind == Router.NodeListEvent.FAILED || kind == Router.NodeListEvent.SILENT;
        if (failed && restartPending) {
            restartPending = false;
            startTasks = new ArrayList<>();
            loop.schedule(
                    () -> {
                        initialize();
                        runStartTasks();
                    },
                    restartDelayMs,
                    TimeUnit.MILLISECONDS);
            return;
        }
        Router.Node[] nodes = new Router.Node[entries.size()];
        Map<Integer, Long> previousHashes = entryHashes;
        if (kind == Router.NodeListEvent.FULL || kind == Router.NodeListEvent.CACHED) {
            entryHashes = new HashMap<>();
            contentHash = 0;
        }
        for (int i = 0; i < nodes.length; i++) {
            NodeListEntry entry = entries.get(i);
            nodes[i] = entry.node();
            applyEntry(entry);
        }
        router.onNodeList(nowUs(), kind, nodes, nodes.length, this);
        for (int i = 0; i < nodes.length; i++) {
            if (nodes[i].state == Router.NodeState.GONE) {
                discovery.forget(nodes[i].id);
            }
        }
        if (previousHashes != entryHashes) {
            previousHashes.keySet().stream()
                    .filter(id -> !entryHashes.containsKey(id))
                    .forEach(discovery::forget);
        }
        if (!failed) {
            listener.onListApplied(this, contentHash);
        }
    }

    private void applyEntry(NodeListEntry entry) {
        Router.Node node = entry.node();
        Long oldHash = entryHashes.remove(node.id);
        contentHash -= oldHash == null ? 0 : oldHash;
        if (node.state != Router.NodeState.GONE) {
            long startedMs = node.startedUs == Long.MIN_VALUE ? 0 : node.startedUs / 1000;
            long hash = entryHash(entry.name(), node.state == Router.NodeState.DRAINING, node.weight, startedMs);
            entryHashes.put(node.id, hash);
            contentHash += hash;
        }
    }

    private static long nowUs() {
        return System.nanoTime() / 1000 + UNIX_TIME_OFFSET_US;
    }

    @Override
    public long toMonotonicUs(long unixMs) {
        return unixMs * 1000;
    }

    private void scheduleTask(Runnable task, long delayUs) {
        Runnable schedule = () -> loop.schedule(task, Math.max(0, delayUs), TimeUnit.MICROSECONDS);
        if (startTasks != null) {
            startTasks.add(schedule);
        } else {
            schedule.run();
        }
    }

    @Override
    public void setTimer(long delayUs, long label) {
        int timerGeneration = generation;
        scheduleTask(
                () -> {
                    if (timerGeneration == generation) {
                        router.onTimer(nowUs(), label, this);
                    }
                },
                delayUs);
    }

    @Override
    public void subscribe() {
        discovery.openWatch();
    }

    @Override
    public void fetchNodes() {
        discovery.fetch();
    }

    @Override
    public void send(long request, int node, long timeoutUs) {
        throw new IllegalStateException("a control-plane proxy has no requests");
    }

    @Override
    public void refuse(long request, long retryAfterUs) {
        throw new IllegalStateException("a control-plane proxy has no requests");
    }

    @Override
    public void fail(long request) {
        throw new IllegalStateException("a control-plane proxy has no requests");
    }

    @Override
    public void cancel(long request, int attempt) {
        throw new IllegalStateException("a control-plane proxy has no requests");
    }

    @Override
    public void probe(int node) {
        // There are no connections on which to probe.
    }

    @Override
    public void closeIdleConnections(int node) {
        // There are no connections to close.
    }

    @Override
    public void sendToPeer(int router, byte[] data) {
        // Messages between proxies are not part of this measurement.
    }

    @Override
    public void log(String line) {
        // Discarded, like the lines of the proxy's own log.
    }
}
