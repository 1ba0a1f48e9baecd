package holdproxy.scale.virtual;

import holdproxy.Router;
import holdproxy.RoutingPolicy;
import holdproxy.scale.Experiment;
import holdproxy.scale.Measurement;
import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Measures the processor time and memory of one routing policy, in real time, on one thread with warm caches. */
final class DecisionCostExperiment implements Experiment {
    private static final int ROUNDS = 7;
    private static final int POLICIES = 40;

    @Override
    public String name() {
        return "decision-cost";
    }

    @Override
    public String about() {
        return "processor time of a list, a delta and a decision, and memory of one routing policy, in real time; "
                + "needs an otherwise idle machine";
    }

    @Override
    public Map<String, String> inputs() {
        Map<String, String> inputs = new LinkedHashMap<>();
        inputs.put("nodes", "number of cache nodes (83)");
        inputs.put("tenants", "number of tenants (4)");
        inputs.put("failing", "share of attempts that fail (0.001)");
        inputs.put("decisions", "decisions in each of 7 rounds, which follow 3 rounds of warm-up (200000)");
        inputs.put("inFlight", "requests in flight while memory is measured (0)");
        return inputs;
    }

    @Override
    public List<String> differences() {
        return List.of(
                "matches the deployed proxy only with the compiler flags of the deploy file, which deploy/scale sets",
                "one routing policy on one thread with warm caches, without the data path, timers and clock readings");
    }

    /**
     * Records the node of the latest attempt and, where {@link #timers} is set, timers and messages to peers. Ignores
     * all other actions.
     */
    private static final class RecordingActions implements Router.Actions {
        /** Node of the latest attempt; -1: none. Other negative numbers are ids of nodes. */
        int lastNode = -1;
        /** Time of the call in progress, in microseconds, from which timers count. */
        long nowUs;
        /** Due time and label of each timer; null: neither timers nor messages are recorded. */
        PriorityQueue<long[]> timers;
        /** Messages to other proxies. */
        final List<byte[]> messages = new ArrayList<>();

        @Override
        public void send(long request, int to, long timeoutUs) {
            lastNode = to;
        }

        @Override
        public void refuse(long request, long retryAfterUs) {}

        @Override
        public void fail(long request) {}

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void setTimer(long delayUs, long label) {
            if (timers != null) {
                timers.add(new long[] {nowUs + delayUs, label});
            }
        }

        @Override
        public void probe(int to) {}

        @Override
        public void closeIdleConnections(int to) {}

        @Override
        public void subscribe() {}

        @Override
        public void fetchNodes() {}

        @Override
        public void sendToPeer(int router, byte[] data) {
            if (timers != null) {
                messages.add(data.clone());
            }
        }

        @Override
        public void log(String line) {}
    }

    @Override
    public Map<String, Measurement> run(Scenario.Point point, long seed, Progress progress) {
        FleetConfig config = new FleetConfig();
        config.nodes = point.count("nodes", config.nodes);
        config.requiresSubscription = false;
        double[] quotas = VirtualExperiment.quotas(config, point.count("tenants", config.tenants));
        Router.Settings settings = config.settings(0, quotas);
        Router.Node[] list = createNodes(config.nodes);
        Measurements out = new Measurements();
        int decisions = point.count("decisions", 200_000);
        double[] durationsUs = new double[ROUNDS];
        for (int round = -3; round < ROUNDS; round++) {
            double meanUs = measureDecisionUs(settings, list, seed + round, decisions, point.number("failing", 0.001));
            if (round >= 0) {
                durationsUs[round] = meanUs;
            }
        }
        Arrays.sort(durationsUs);
        out.put("decision", durationsUs[ROUNDS / 2], "us");
        out.put("decision.least", durationsUs[0], "us");
        out.put("decision.most", durationsUs[ROUNDS - 1], "us");
        out.put("decision.share", durationsUs[ROUNDS / 2] * 657.5 / 1e6, "cores");
        out.put("list", measureListUs(settings, list, list, seed), "us");
        out.put("delta", measureListUs(settings, list, new Router.Node[] {list[0]}, seed), "us");
        measureMessages(settings, list, seed, out);
        measureMemory(settings, list, seed, point.count("inFlight", 0), out);
        progress.step("measured");
        return out.asMap();
    }

    private static Router.Node[] createNodes(int nodes) {
        Router.Node[] list = new Router.Node[nodes];
        for (int i = 0; i < nodes; i++) {
            list[i] = new Router.Node();
            list[i].id = i * 0x9e3779b1;
            list[i].zone = i % 9;
            list[i].cell = i / 4;
        }
        return list;
    }

    private static RoutingPolicy createPolicy(
            Router.Settings settings, Router.Node[] list, long seed, RecordingActions actions) {
        RoutingPolicy policy = new RoutingPolicy(settings, seed, 0, actions);
        policy.onNodeList(0, Router.NodeListEvent.CACHED, list, list.length, actions);
        return policy;
    }

    /**
     * Mean time of a decision in microseconds. Requests come at the rate of the operators' plan, and each is answered
     * before the next one comes.
     */
    private static double measureDecisionUs(
            Router.Settings settings, Router.Node[] list, long seed, int count, double failShare) {
        SplittableRandom random = new SplittableRandom(seed);
        RecordingActions actions = new RecordingActions();
        RoutingPolicy policy = createPolicy(settings, list, seed, actions);
        Router.Request request = new Router.Request();
        Router.LoadReport emptyReport = new Router.LoadReport();
        long[] keys = new long[1 << 16];
        int[] tenants = new int[1 << 16];
        boolean[] fails = new boolean[1 << 16];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = random.nextLong() | 1;
            tenants[i] = random.nextInt(settings.tenants.length);
            fails[i] = random.nextDouble() < failShare;
        }
        long startNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            // An interval of 1521 us is the plan's rate of 657.5 requests a second.
            long nowUs = i * 1521L;
            int index = i & keys.length - 1;
            request.id = i;
            request.key = keys[index];
            request.tenant = tenants[index];
            request.dueUs = nowUs + 1_500_000;
            actions.lastNode = -1;
            policy.onRequest(nowUs, request, actions);
            for (int attempt = 0; actions.lastNode >= 0 || actions.lastNode < -1; attempt++) {
                boolean fail = attempt == 0 && fails[index];
                actions.lastNode = -1;
                policy.onOutcome(
                        nowUs + 5000,
                        i,
                        attempt,
                        fail ? Router.Outcome.RESET : Router.Outcome.OK,
                        5000,
                        !fail,
                        Router.CacheStatus.HIT,
                        emptyReport,
                        actions);
            }
        }
        return (System.nanoTime() - startNanos) / 1000.0 / count;
    }

    /** Median time of processing the list or change {@code update}, in microseconds. */
    private static double measureListUs(Router.Settings settings, Router.Node[] list, Router.Node[] update, long seed) {
        RecordingActions actions = new RecordingActions();
        RoutingPolicy policy = createPolicy(settings, list, seed, actions);
        Router.NodeListEvent kind = update == list ? Router.NodeListEvent.FULL : Router.NodeListEvent.DELTA;
        double[] durationsUs = new double[2000];
        for (int i = 0; i < 2 * durationsUs.length; i++) {
            long startNanos = System.nanoTime();
            policy.onNodeList(i, kind, update, update.length, actions);
            durationsUs[i % durationsUs.length] = (System.nanoTime() - startNanos) / 1000.0;
        }
        Arrays.sort(durationsUs);
        return durationsUs[durationsUs.length / 2];
    }

    /**
     * Runs a minute of requests with the policy's timers and counts its messages to peers, then times another policy
     * that receives these messages.
     */
    private static void measureMessages(Router.Settings settings, Router.Node[] list, long seed, Measurements out) {
        RecordingActions actions = new RecordingActions();
        actions.timers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        RoutingPolicy policy = createPolicy(settings, list, seed, actions);
        Router.Request request = new Router.Request();
        Router.LoadReport emptyReport = new Router.LoadReport();
        long intervalUs = (long) (1e6 / VirtualExperiment.PEAK_REQUESTS_PER_S_PER_PROXY);
        int count = (int) (60_000_000 / intervalUs);
        for (int i = 0; i < count; i++) {
            actions.nowUs = i * intervalUs;
            while (!actions.timers.isEmpty() && actions.timers.peek()[0] <= actions.nowUs) {
                policy.onTimer(actions.nowUs, actions.timers.poll()[1], actions);
            }
            request.id = i;
            request.key = i * 0x9e3779b97f4a7c15L | 1;
            request.tenant = i % settings.tenants.length;
            request.dueUs = actions.nowUs + 1_500_000;
            actions.lastNode = -1;
            policy.onRequest(actions.nowUs, request, actions);
            if (actions.lastNode != -1) {
                policy.onOutcome(
                        actions.nowUs,
                        i,
                        0,
                        Router.Outcome.OK,
                        5000,
                        true,
                        Router.CacheStatus.HIT,
                        emptyReport,
                        actions);
            }
        }
        out.put("told.perS", actions.messages.size() / 60.0, "1/s");
        out.put(
                "told.bytes",
                actions.messages.stream().mapToInt(m -> m.length).average().orElse(0),
                "B");
        if (!actions.messages.isEmpty()) {
            RoutingPolicy receiver = createPolicy(settings, list, seed + 1, new RecordingActions());
            RecordingActions receiverActions = new RecordingActions();
            double[] durationsUs = new double[20_000];
            for (int i = 0; i < 2 * durationsUs.length; i++) {
                byte[] message = actions.messages.get(i % actions.messages.size());
                long startNanos = System.nanoTime();
                receiver.onPeerMessage(
                        actions.nowUs + i, 1 + i % Math.max(1, settings.routerCount - 1), message, receiverActions);
                durationsUs[i % durationsUs.length] = (System.nanoTime() - startNanos) / 1000.0;
            }
            Arrays.sort(durationsUs);
            out.put("told.heard", durationsUs[durationsUs.length / 2], "us");
        }
    }

    /** Measures the heap of idle policies, and what requests in flight add to it. */
    private static void measureMemory(
            Router.Settings settings, Router.Node[] list, long seed, int inFlight, Measurements out) {
        RecordingActions actions = new RecordingActions();
        RoutingPolicy[] policies = new RoutingPolicy[POLICIES];
        long heapBefore = usedHeapBytes();
        for (int m = 0; m < POLICIES; m++) {
            policies[m] = createPolicy(settings, list, seed + m, actions);
        }
        long heapIdle = usedHeapBytes();
        Router.Request request = new Router.Request();
        for (RoutingPolicy policy : policies) {
            for (int i = 0; i < inFlight; i++) {
                request.id = i;
                request.key = i + 1L;
                request.dueUs = 1_500_000;
                policy.onRequest(i, request, actions);
            }
        }
        long heapWithRequests = usedHeapBytes();
        out.put("memory", Math.max(0, heapIdle - heapBefore) / 1024.0 / POLICIES, "KB");
        if (inFlight > 0) {
            out.put("memory.perRequest", (heapWithRequests - heapIdle) / (double) POLICIES / inFlight, "B");
        }
        if (policies[POLICIES - 1] == null) {
            throw new IllegalStateException("a routing policy was released before its memory was measured");
        }
    }

    /** Bytes of heap in use: the least of four readings, each after a garbage collection. */
    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        long leastBytes = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            System.gc();
            leastBytes = Math.min(leastBytes, runtime.totalMemory() - runtime.freeMemory());
        }
        return leastBytes;
    }
}
