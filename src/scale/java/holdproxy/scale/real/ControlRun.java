package holdproxy.scale.real;

import holdproxy.net.ControlPlaneProxy;
import holdproxy.scale.Measurement;
import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures one point of {@link ControlExperiment}: creates the proxies and discovery, then runs the phases one after
 * the other.
 */
final class ControlRun implements AutoCloseable {
    private static final int PROXY_LOOPS = 2;
    private static final long RETIRE_DELAY_MS = 1500;

    /** Port of the first node if there are no real proxies, and so no stand-in node; nothing listens on these ports. */
    private static final int FIRST_NODE_PORT = 11211;

    /** Objects that the first collection finalizes are freed by the next one. */
    private static final int GC_ROUNDS = 3;

    private static final long GC_PAUSE_MS = 50;

    private final Scenario.Point point;
    private final Progress progress;
    private final int proxyCount;
    private final int regionCount;
    private final long deliveryTimeoutNs;
    private final RunResources resources = new RunResources();
    private final MultiThreadIoEventLoopGroup proxyLoops = createLoops(PROXY_LOOPS, "proxies");
    private final MultiThreadIoEventLoopGroup serviceLoops = createLoops(2, "discovery");
    private final MultiThreadIoEventLoopGroup clientLoops = createLoops(1, "clients");
    private final NodeList list = new NodeList(1);
    private final List<ProxyConfig> configs = new ArrayList<>();
    private final List<ControlPlaneProxy> controlPlaneProxies = new ArrayList<>();
    private final List<StandInDiscovery.Endpoint> endpoints = new ArrayList<>();
    private final List<Long> loopThreadIds = new ArrayList<>();
    private final DeliveryTracker tracker;
    private final List<ProxyConfig> realConfigs = new ArrayList<>();
    private final List<RealProxy> realProxies = new ArrayList<>();
    private final List<StandInDiscovery.Endpoint> realEndpoints = new ArrayList<>();
    private final DeliveryTracker realTracker;
    private final int realProxyCount;
    private final UniformRandomProvider random;
    private final Map<String, Measurement> measured = new LinkedHashMap<>();
    private final StandInDiscovery service;
    private StandInNode node;
    private long baseHeapBytes;
    private int replacementCount;
    private NodeList reloadedList;

    ControlRun(Scenario.Point point, long seed, Progress progress) throws Exception {
        this.point = point;
        this.progress = progress;
        proxyCount = point.count("proxies");
        regionCount = Math.max(1, Math.min(proxyCount, point.count("regions", 4)));
        deliveryTimeoutNs = (long) (point.number("mostS", 25) * 1e9);
        tracker = new DeliveryTracker(proxyCount);
        realProxyCount = point.count("real", 0);
        realTracker = new DeliveryTracker(realProxyCount);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        service = new StandInDiscovery(serviceLoops.next(), list, capacity());
        if (realProxyCount > 0) {
            RunResources.runCommand(); // Reports a missing jar before any phase is run.
            node = new StandInNode(serviceLoops.next(), (long) point.number("serviceUs", 500));
        }
    }

    private static MultiThreadIoEventLoopGroup createLoops(int count, String name) {
        return new MultiThreadIoEventLoopGroup(count, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    private StandInDiscovery.Capacity capacity() {
        return new StandInDiscovery.Capacity(
                point.number("linesPerS", 20_000),
                (long) point.number("callWaitMs", 2000),
                point.count("callsWaiting", 0));
    }

    Map<String, Measurement> measure() throws Exception {
        int nodes = point.count("nodes");
        for (int region = 0; region < regionCount; region++) {
            int port = point.count("port", 0);
            endpoints.add(service.openEndpoint(port == 0 ? 0 : port + region, (d, v) -> {}));
        }
        for (int i = 0; i < realProxyCount; i++) {
            realEndpoints.add(openRealEndpoint(service, i));
        }
        list.publish(createEntries(nodes));
        list.discardChanges();
        createProxies();
        runPhase("start", 0, proxyCount, 0, this::startProxies);
        for (RealProxy proxy : realProxies) {
            proxy.awaitReady();
        }
        runPhase("rest", 0, proxyCount, point.number("restS", 6), () -> list.latest());
        put("rest.heapEach", (usedHeapBytes() - baseHeapBytes) / (double) proxyCount, "B");
        putResidentMemory("rest");
        if (point.count("replaced", 8) > 0) {
            runPhase("rolling", 0, proxyCount, 0, this::replaceNodes);
        }
        if (point.number("restartS", 3) > 0 && regionCount > 1) {
            runPhase("restart", firstProxyOf(1), firstProxyOf(2), 0, this::restartRegion);
        }
        if (point.number("lossS", 6) > 0) {
            runPhase("loss", 0, proxyCount, 0, this::interruptDiscovery);
        }
        if (point.number("cutS", 8) > 0) {
            runPhase("region", 0, firstProxyOf(1), 0, this::cutOffFirstRegion);
        }
        if (point.count("reload", 1) > 0) {
            runPhase("reload", 0, proxyCount, 0, this::reloadConfigurations);
        }
        if (realProxyCount > 0 && point.number("loadPerS", 200) > 0) {
            runPhase("load", 0, proxyCount, 0, this::runClientLoad);
            putResidentMemory("load");
        }
        return measured;
    }

    private StandInDiscovery.Endpoint openRealEndpoint(StandInDiscovery discovery, int number) {
        return discovery.openEndpoint(0, (d, v) -> realTracker.recordDelivery(number, v, System.nanoTime()));
    }

    private NodeList.Version startProxies() throws IOException {
        tracker.countDelaysFrom(0, proxyCount, System.nanoTime());
        realTracker.countDelaysFrom(0, realProxyCount, System.nanoTime());
        for (int i = 0; i < realProxyCount; i++) {
            byte[] address = {
                127, (byte) random.nextInt(1, 250), (byte) random.nextInt(256), (byte) random.nextInt(2, 250)
            };
            realProxies.add(new RealProxy(
                    resources, realConfigs.get(i), realEndpoints.get(i).address(), i, address));
        }
        controlPlaneProxies.forEach(ControlPlaneProxy::start);
        return list.latest();
    }

    private void putResidentMemory(String phase) throws IOException {
        if (realProxyCount > 0) {
            long sum = 0;
            for (RealProxy proxy : realProxies) {
                sum += proxy.residentBytes();
            }
            put("real." + phase + ".residentEach", sum / 1048576.0 / realProxyCount, "MiB");
        }
    }

    /** Creates all proxies with their configurations. They have their initial list, but make no calls yet. */
    private void createProxies() throws Exception {
        progress.step("creating " + proxyCount + " control-plane proxies");
        for (int i = 0; i < proxyCount + realProxyCount; i++) {
            ProxyConfig config = new ProxyConfig(
                    resources.folder().resolve("n" + i + ".json"),
                    point,
                    i,
                    proxyCount + realProxyCount,
                    random.nextLong(),
                    outdated(list.wholeList().bytes()));
            boolean controlPlane = i < proxyCount;
            config.write(
                    controlPlane
                            ? endpoints.get(regionOf(i)).address()
                            : realEndpoints.get(i - proxyCount).address());
            (controlPlane ? configs : realConfigs).add(config);
        }
        EventLoop[] usedLoops = new EventLoop[PROXY_LOOPS];
        for (int i = 0; i < PROXY_LOOPS; i++) {
            usedLoops[i] = proxyLoops.next();
            loopThreadIds.add(
                    usedLoops[i].submit(() -> Thread.currentThread().getId()).get());
        }
        baseHeapBytes = usedHeapBytes();
        for (int i = 0; i < proxyCount; i++) {
            int number = i;
            EventLoop loop = usedLoops[i % PROXY_LOOPS];
            Map<String, String> env = configs.get(i)
                    .environment("127.0.0.1:0", endpoints.get(regionOf(i)).address());
            controlPlaneProxies.add(loop.submit(
                            () -> new ControlPlaneProxy(env, loop, (p, hash) -> onListApplied(number, hash)))
                    .get());
        }
        put("list.heapEach", (usedHeapBytes() - baseHeapBytes) / (double) proxyCount, "B");
    }

    /** An outdated list for the proxies to start with: one version older, and with a node that no longer exists. */
    private static byte[] outdated(byte[] whole) {
        return new String(whole, StandardCharsets.UTF_8)
                .replace("\"version\":1,", "\"version\":0,")
                .replace("\"id\":\"s-0\"", "\"id\":\"s-old\"")
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Records that a proxy applied a list. Without a version of that content, as for the initial list, the proxy
     * counts as restarted.
     */
    private void onListApplied(int proxy, long hash) {
        NodeList.Version version = list.versionByHash(hash);
        NodeList reloaded = reloadedList;
        if (version == null && reloaded != null) {
            version = reloaded.versionByHash(hash);
        }
        if (version == null) {
            tracker.recordRestart(proxy, System.nanoTime());
        } else {
            tracker.recordDelivery(proxy, version, System.nanoTime());
        }
    }

    /** The region of a proxy; each region is a contiguous range of proxies. */
    private int regionOf(int proxy) {
        return (int) ((long) proxy * regionCount / proxyCount);
    }

    /** The first proxy of a region, or the number of proxies for the region after the last one. */
    private int firstProxyOf(int region) {
        return (int) (((long) region * proxyCount + regionCount - 1) / regionCount);
    }

    private List<NodeList.Entry> createEntries(int count) {
        List<NodeList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(createEntry("s-" + i, i, 0));
        }
        return entries;
    }

    private NodeList.Entry createEntry(String id, int number, long startedMs) {
        String address = node != null ? node.address() : "127.0.0.1:" + (FIRST_NODE_PORT + number);
        return new NodeList.Entry(id, address, ProxyConfig.zoneName(number), "m", number % 4, "SERVING", startedMs);
    }

    // Phases: each method returns the version that all proxies have to receive before the phase ends.

    /** Replaces nodes one after the other: the oldest one drains and is deleted, then a new one is added. */
    private NodeList.Version replaceNodes() throws InterruptedException {
        long intervalMs = (long) point.number("changeEveryMs", 250);
        NodeList.Version version = list.latest();
        for (int i = 0; i < point.count("replaced", 8); i++) {
            NodeList.Entry old = list.entries().get(0);
            version = service.publish(List.of(old.withState("DRAINING")));
            Thread.sleep(intervalMs);
            version = service.publish(List.of(old.withState("DELETED")));
            Thread.sleep(intervalMs);
            version = service.publish(List.of(createNewEntry()));
            Thread.sleep(intervalMs);
        }
        return version;
    }

    private NodeList.Entry createNewEntry() {
        return createEntry("s-new-" + replacementCount++, replacementCount, System.currentTimeMillis());
    }

    private List<NodeList.Entry> replaceOldest() {
        return List.of(list.entries().get(0).withState("DELETED"), createNewEntry());
    }

    /** Restarts the proxies of the second region one by one. */
    private NodeList.Version restartRegion() throws InterruptedException {
        int count = firstProxyOf(2) - firstProxyOf(1);
        long pauseNs = (long) (point.number("restartS", 3) * 1e9 / count);
        controlPlaneProxies.subList(firstProxyOf(1), firstProxyOf(2)).forEach(p -> p.restartWhenNextCallEnds(0));
        long nextNs = System.nanoTime();
        for (int i = 0; i < count; i++) {
            endpoints.get(1).closeOldestWatch();
            nextNs += pauseNs;
            TimeUnit.NANOSECONDS.sleep(nextNs - System.nanoTime());
        }
        return list.latest();
    }

    /** Interrupts all of discovery, and replaces a node before it returns. */
    private NodeList.Version interruptDiscovery() throws InterruptedException {
        boolean silent = point.count("lossSilent", 0) > 0;
        service.setState(silent ? StandInDiscovery.State.SILENT : StandInDiscovery.State.DOWN);
        TimeUnit.MILLISECONDS.sleep((long) (point.number("lossS", 6) * 1000));
        list.publish(replaceOldest());
        list.discardChanges();
        tracker.countDelaysFrom(0, proxyCount, System.nanoTime());
        realTracker.countDelaysFrom(0, realProxyCount, System.nanoTime());
        service.setState(StandInDiscovery.State.UP);
        return list.latest();
    }

    /** Cuts the first region and the real proxies off from discovery, and replaces a node meanwhile. */
    private NodeList.Version cutOffFirstRegion() throws InterruptedException, IOException {
        endpoints.get(0).cutOff();
        realEndpoints.forEach(StandInDiscovery.Endpoint::cutOff);
        long durationMs = (long) (point.number("cutS", 8) * 1000);
        TimeUnit.MILLISECONDS.sleep(durationMs / 2);
        NodeList.Version version = service.publish(replaceOldest());
        TimeUnit.MILLISECONDS.sleep(durationMs - durationMs / 2);
        tracker.countDelaysFrom(0, firstProxyOf(1), System.nanoTime());
        realTracker.countDelaysFrom(0, realProxyCount, System.nanoTime());
        endpoints.get(0).restoreNetwork();
        for (StandInDiscovery.Endpoint endpoint : realEndpoints) {
            endpoint.restoreNetwork();
        }
        return version;
    }

    /**
     * Starts another discovery service whose list has one more node, writes its address into all configuration
     * files, then has all proxies reload them.
     */
    private NodeList.Version reloadConfigurations() throws IOException, InterruptedException {
        NodeList newList = new NodeList(1);
        List<NodeList.Entry> entries = new ArrayList<>(list.entries());
        entries.add(createNewEntry());
        newList.publish(entries);
        newList.discardChanges();
        StandInDiscovery newService = new StandInDiscovery(serviceLoops.next(), newList, capacity());
        List<StandInDiscovery.Endpoint> newEndpoints = new ArrayList<>();
        for (int region = 0; region < regionCount; region++) {
            newEndpoints.add(newService.openEndpoint(0, (d, v) -> {}));
        }
        reloadedList = newList;
        for (int i = 0; i < proxyCount; i++) {
            configs.get(i).write(newEndpoints.get(regionOf(i)).address());
        }
        endpoints.addAll(newEndpoints);
        for (int i = 0; i < realProxyCount; i++) {
            StandInDiscovery.Endpoint endpoint = openRealEndpoint(newService, i);
            realConfigs.get(i).write(endpoint.address());
            realEndpoints.add(endpoint);
        }
        tracker.countDelaysFrom(0, proxyCount, System.nanoTime());
        realTracker.countDelaysFrom(0, realProxyCount, System.nanoTime());
        controlPlaneProxies.forEach(ControlPlaneProxy::reload);
        for (RealProxy proxy : realProxies) {
            proxy.sendHangup(resources);
        }
        service.retire(RETIRE_DELAY_MS);
        return newList.latest();
    }

    /** Sends client requests through the real proxies while the control-plane proxies are idle. */
    private NodeList.Version runClientLoad() throws InterruptedException {
        double requestsPerS = point.number("loadPerS", 200);
        int tenants = point.count("tenants", 4);
        long connectionsBefore = node.connections();
        List<ClientLoad> loads = new ArrayList<>();
        for (RealProxy proxy : realProxies) {
            loads.add(new ClientLoad(clientLoops.next(), proxy.address(), requestsPerS, tenants, random));
        }
        TimeUnit.MILLISECONDS.sleep((long) (point.number("loadS", 5) * 1000));
        loads.forEach(ClientLoad::stop);
        Histogram latencies = new Histogram(3);
        loads.forEach(l -> latencies.add(l.latencies()));
        put("real.load.requests", loads.stream().mapToLong(ClientLoad::sent).sum(), "requests");
        put("real.load.failed", loads.stream().mapToLong(ClientLoad::failed).sum(), "requests");
        put("real.load.latencyP50", latencies.getValueAtPercentile(50) / 1e3, "ms");
        put("real.load.latencyP99", latencies.getValueAtPercentile(99) / 1e3, "ms");
        put("real.load.connections", node.connections() - connectionsBefore, "connections to nodes");
        return (reloadedList != null ? reloadedList : list).latest();
    }

    /**
     * Counters at the start of a phase, for one kind of proxies.
     *
     * @param startNs start of the phase according to {@link System#nanoTime()}
     * @param traffic traffic so far at each endpoint
     * @param cpuS processor time used so far, in seconds
     */
    private record PhaseStart(long startNs, List<StandInDiscovery.Traffic> traffic, double cpuS) {}

    private PhaseStart capturePhaseStart(List<StandInDiscovery.Endpoint> measuredEndpoints, double cpuS) {
        return new PhaseStart(
                System.nanoTime(),
                measuredEndpoints.stream()
                        .map(StandInDiscovery.Endpoint::traffic)
                        .toList(),
                cpuS);
    }

    /**
     * Runs a phase and records its measurements. After the events it waits until the proxies first..end-1 and the
     * real proxies have received the version that the events return, for at most {@link #deliveryTimeoutNs}.
     *
     * @param minSeconds minimum length of the phase in seconds
     */
    private void runPhase(String name, int first, int end, double minSeconds, Callable<NodeList.Version> events)
            throws Exception {
        progress.step(name);
        PhaseStart controlPlaneStart = capturePhaseStart(endpoints, loopCpuS());
        PhaseStart realStart = capturePhaseStart(realEndpoints, realCpuS());
        tracker.startMeasuring(first, end);
        realTracker.startMeasuring(0, realProxyCount);
        long startNs = System.nanoTime();
        NodeList.Version version = events.call();
        long waitStartNs = System.nanoTime();
        while (undeliveredCount(version, first, end) > 0 && System.nanoTime() - waitStartNs < deliveryTimeoutNs
                || System.nanoTime() - startNs < minSeconds * 1e9) {
            Thread.sleep(10);
        }
        double endCpuS = loopCpuS();
        double endRealCpuS = realCpuS();
        double seconds = (System.nanoTime() - startNs) / 1e9;
        put(name + ".seconds", seconds, "s");
        putCosts(name, endpoints, controlPlaneStart, seconds, proxyCount, endCpuS - controlPlaneStart.cpuS);
        putDelays(name, tracker, end - first - tracker.deliveredCount(version, first, end));
        if (realProxyCount > 0) {
            putCosts("real." + name, realEndpoints, realStart, seconds, realProxyCount, endRealCpuS - realStart.cpuS);
            putDelays(
                    "real." + name,
                    realTracker,
                    realProxyCount - realTracker.deliveredCount(version, 0, realProxyCount));
        }
    }

    private int undeliveredCount(NodeList.Version version, int first, int end) {
        return end
                - first
                - tracker.deliveredCount(version, first, end)
                + realProxyCount
                - realTracker.deliveredCount(version, 0, realProxyCount);
    }

    private void putCosts(
            String name,
            List<StandInDiscovery.Endpoint> measuredEndpoints,
            PhaseStart start,
            double seconds,
            int proxiesMeasured,
            double cpuS) {
        StandInDiscovery.Traffic sum = new StandInDiscovery.Traffic(0, 0, 0, 0);
        for (int i = 0; i < measuredEndpoints.size(); i++) {
            StandInDiscovery.Traffic trafficBefore =
                    i < start.traffic.size() ? start.traffic.get(i) : new StandInDiscovery.Traffic(0, 0, 0, 0);
            sum = sum.plus(measuredEndpoints.get(i).traffic().since(trafficBefore));
        }
        put(name + ".calls", sum.calls(), "calls");
        put(name + ".callsPerS", sum.calls() / seconds, "calls/s");
        put(
                name + ".peakCallsPerS",
                EventSeries.peakPerS(measuredEndpoints.stream().flatMap(d -> d.callsSince(start.startNs).stream())),
                "calls/s");
        put(name + ".failedCalls", sum.failedCalls(), "calls");
        put(name + ".listLines", sum.lines(), "lines");
        put(
                name + ".peakLinesPerS",
                EventSeries.peakPerS(measuredEndpoints.stream().flatMap(d -> d.linesSince(start.startNs).stream())),
                "lines/s");
        put(name + ".bytesEach", sum.bytes() / (double) proxiesMeasured, "B");
        put(name + ".bytesPerSEach", sum.bytes() / seconds / proxiesMeasured, "B/s");
        put(name + ".cpuEach", cpuS * 100 / seconds / proxiesMeasured, "% of a core");
    }

    private void putDelays(String name, DeliveryTracker source, int untold) {
        Histogram delays = source.delays();
        if (delays.getTotalCount() > 0) {
            put(name + ".toldP50", delays.getValueAtPercentile(50) / 1e3, "ms");
            put(name + ".toldP99", delays.getValueAtPercentile(99) / 1e3, "ms");
            put(name + ".toldMost", delays.getMaxValue() / 1e3, "ms");
        }
        put(name + ".untold", untold, "proxies");
    }

    private void put(String name, double value, String unit) {
        measured.put(name, new Measurement(value, unit));
    }

    private double loopCpuS() {
        return loopThreadIds.stream()
                        .mapToLong(ManagementFactory.getThreadMXBean()::getThreadCpuTime)
                        .sum()
                / 1e9;
    }

    private double realCpuS() throws IOException {
        double sum = 0;
        for (RealProxy proxy : realProxies) {
            sum += proxy.cpuS();
        }
        return sum;
    }

    /** Bytes of heap in use after garbage collections. */
    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
            Thread.sleep(GC_PAUSE_MS);
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    @Override
    public void close() throws Exception {
        resources.close();
        for (MultiThreadIoEventLoopGroup group : List.of(proxyLoops, clientLoops, serviceLoops)) {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).await();
        }
    }
}
