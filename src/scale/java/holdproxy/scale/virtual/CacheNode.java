package holdproxy.scale.virtual;

import holdproxy.Router;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.rng.SplittableUniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * A simulated cache node: a fixed number of jobs at a time, a bounded queue, a cold start after which its cache fills
 * and its capacity grows, and a limit on its connections.
 */
final class CacheNode {

    /** Work of a request, or of a handshake if {@code attempt} is null, and the action that follows it. */
    private record Job(Attempt attempt, double workUs, Runnable onDone) {}

    /** A bounded set of keys that evicts the least recently used one. */
    private static final class LruKeySet extends LinkedHashMap<Long, Boolean> {
        private static final long serialVersionUID = 1;
        private final int capacity;

        LruKeySet(int capacity) {
            super(16, 0.75f, true);
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > capacity;
        }
    }

    final int id;
    final int zone;
    private final FleetConfig config;
    private final EventClock clock;
    private final Origin origin;
    private final SplittableUniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian gaussian;
    private final double meanWorkUs;
    private final double workLogMean;
    private final int slots;
    private final int maxQueuedJobs;
    private final int maxConnections;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private int busySlots;
    private int generation;
    /** Keys cached since the latest restart; null before the first one, when the cache is warm. */
    private LruKeySet cachedKeys;

    /** Time of the latest restart; {@link Long#MIN_VALUE} before the first one. */
    long startedUs = Long.MIN_VALUE;

    /** Whether the process runs. */
    boolean up = true;
    /** State that the next published change of the node carries; requests are refused unless it is READY. */
    Router.NodeState state = Router.NodeState.READY;

    /** Open connections. */
    int connections;
    /** Largest number of open connections since a measurement last reset it. */
    int peakConnections;
    /** Connections accepted. */
    long handshakes;
    /** Connections refused. */
    long refusedDials;
    /** Requests received. */
    long requests;
    /** Requests refused as overloaded. */
    long overloadRefusals;
    /** Requests whose work is done. */
    long served;
    /** Reads that missed the cache. */
    long misses;

    /** Version of the node list that announced the latest restart; {@link Integer#MAX_VALUE} until one does. */
    int startListVersion;
    /** Window of requests since the latest restart; null before the first one. */
    ColdWindow coldWindow;

    CacheNode(
            int id,
            int zone,
            FleetConfig config,
            EventClock clock,
            Origin origin,
            SplittableUniformRandomProvider random) {
        this.id = id;
        this.zone = zone;
        this.config = config;
        this.clock = clock;
        this.origin = origin;
        this.random = random;
        gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        meanWorkUs = config.meanWorkUs();
        workLogMean = Math.log(meanWorkUs) - config.workSigma * config.workSigma / 2;
        slots = config.nodeCores * config.slotsPerCore;
        maxQueuedJobs = (int) (config.queueMs * 1000 * config.nodeCores / meanWorkUs);
        maxConnections = config.maxConnectionsPerCore * config.nodeCores;
    }

    /**
     * Starts a new process with an empty cache. The earlier process's work is dropped; the caller resets its attempts
     * through {@link Clients#nodeStopped}.
     */
    void restart() {
        generation++;
        up = true;
        startedUs = clock.now();
        busySlots = 0;
        queue.clear();
        connections = 0;
        cachedKeys = new LruKeySet(config.keysHeldPerNode);
        startListVersion = Integer.MAX_VALUE;
        coldWindow = new ColdWindow(config, startedUs);
    }

    /** Stops the process; its work is dropped, and the caller resets its attempts. */
    void stop() {
        generation++;
        up = false;
        connections = 0;
        busySlots = 0;
        queue.clear();
    }

    /** Generation of the process, counted by restarts and stops: connections and work of an earlier one are ignored. */
    int generation() {
        return generation;
    }

    // ---- connections ----

    /**
     * Accepts a connection and runs {@code onReady} once the handshake's work is done.
     *
     * @return false if the node is down or holds as many connections as it may
     */
    boolean acceptConnection(Runnable onReady) {
        if (!up || connections >= maxConnections) {
            refusedDials++;
            return false;
        }
        handshakes++;
        connections++;
        peakConnections = Math.max(peakConnections, connections);
        Job handshake = new Job(null, config.handshakeWorkShare * meanWorkUs, onReady);
        if (busySlots < slots) {
            submit(handshake);
        } else {
            // Handshakes go ahead of requests, because a full queue would delay them too long.
            queue.addFirst(handshake);
        }
        return true;
    }

    /** Counts a connection as closed, unless it belonged to an earlier process. */
    void connectionClosed(int connectionGeneration) {
        if (connectionGeneration == generation && up) {
            connections--;
        }
    }

    // ---- requests ----

    /**
     * Handles a request that has arrived in full: serves or queues it, or refuses it as overloaded if the queue is full
     * or the node is not in the state READY.
     */
    void receive(Attempt attempt) {
        requests++;
        if (coldWindow != null) {
            coldWindow.count(clock.now(), attempt.clientTry.proxy.listVersion >= startListVersion);
        }
        if (queue.size() >= maxQueuedJobs && busySlots >= slots || state != Router.NodeState.READY) {
            overloadRefusals++;
            sendAnswer(attempt, Router.Outcome.OVERLOADED, Router.CacheStatus.NONE);
            return;
        }
        // The first two classes of FleetConfig are reads, the others writes.
        boolean write = attempt.clientTry.request.requestClass >= 2;
        boolean hit = write || hitsCache(attempt.clientTry.request.key);
        double workUs = Math.exp(workLogMean + config.workSigma * gaussian.sample());
        misses += hit ? 0 : 1;
        submit(new Job(
                attempt, hit ? workUs : workUs * (1 + config.missWorkShare), () -> finishRequest(attempt, hit, write)));
    }

    /** Whether a read hits the cache; on a restarted node this also adds the key to the cache. */
    private boolean hitsCache(long key) {
        boolean warmHit = random.nextDouble() < config.hitShare;
        if (cachedKeys == null) {
            return warmHit;
        }
        return cachedKeys.put(key, true) != null && warmHit;
    }

    private void submit(Job job) {
        if (busySlots < slots) {
            busySlots++;
            startJob(job);
        } else {
            queue.add(job);
        }
    }

    private void startJob(Job job) {
        int startGeneration = generation;
        double coresPerSlot = (double) config.nodeCores / slots;
        clock.scheduleAfter(
                (long) (job.workUs / ColdWindow.capacityShare(config, startedUs, clock.now()) / coresPerSlot), () -> {
                    if (startGeneration != generation) {
                        return;
                    }
                    Job next = queue.poll();
                    while (next != null && next.attempt != null && !next.attempt.pending) {
                        next = queue.poll(); // The attempt was given up while it was queued.
                    }
                    if (next == null) {
                        busySlots--;
                    } else {
                        startJob(next);
                    }
                    job.onDone.run();
                });
    }

    private void finishRequest(Attempt attempt, boolean hit, boolean write) {
        served++;
        if (hit) {
            sendAnswer(attempt, Router.Outcome.OK, write ? Router.CacheStatus.NONE : Router.CacheStatus.HIT);
            return;
        }
        int startGeneration = generation;
        origin.fetch(ok -> {
            if (startGeneration == generation) {
                sendAnswer(attempt, ok ? Router.Outcome.OK : Router.Outcome.ERROR, Router.CacheStatus.MISS);
            }
        });
    }

    private void sendAnswer(Attempt attempt, Router.Outcome outcome, Router.CacheStatus cacheStatus) {
        SimulatedProxy proxy = attempt.clientTry.proxy;
        clock.scheduleAfter(proxy.delayToUs(this), () -> proxy.onAnswer(attempt, outcome, cacheStatus));
    }
}
