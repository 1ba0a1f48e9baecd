package holdproxy.scale.real;

import holdproxy.net.ControlPlaneProxy;
import holdproxy.scale.Experiment;
import holdproxy.scale.Measurement;
import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures what one proxy spends on applying a node list, from the socket to the routing policy, in processor time
 * and bytes.
 */
public final class ListExperiment implements Experiment {
    private static final int WARM_UP_ROUNDS = 1000;
    private static final long APPLY_TIMEOUT_S = 30;

    @Override
    public String name() {
        return "list";
    }

    @Override
    public String about() {
        return "processor time and bytes per whole list and per change of one node at one proxy; in real time";
    }

    @Override
    public Map<String, String> inputs() {
        Map<String, String> inputs = new LinkedHashMap<>();
        inputs.put("nodes", "cache nodes");
        inputs.put("lists", "number of lists and of changes to measure, after 1000 of each as warm-up (500)");
        return inputs;
    }

    @Override
    public List<String> differences() {
        return List.of("The processor time is that of the event loop, without garbage collection; a real proxy also "
                + "creates or closes a connection pool for each node that is added or removed.");
    }

    @Override
    public Map<String, Measurement> run(Scenario.Point point, long seed, Progress progress) throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        try (RunResources resources = new RunResources()) {
            return measure(point, seed, loops, resources, progress);
        } finally {
            loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).await();
        }
    }

    private static Map<String, Measurement> measure(
            Scenario.Point point,
            long seed,
            MultiThreadIoEventLoopGroup loops,
            RunResources resources,
            Progress progress)
            throws Exception {
        EventLoop loop = loops.next();
        NodeList list = new NodeList(1);
        List<NodeList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < point.count("nodes"); i++) {
            entries.add(createEntry(i));
        }
        list.publish(entries);
        list.discardChanges();
        StandInDiscovery service = new StandInDiscovery(loops.next(), list, new StandInDiscovery.Capacity(0, 0, 0));
        StandInDiscovery.Endpoint endpoint = service.openEndpoint(0, (d, v) -> {});
        Map<String, Double> parameters = new LinkedHashMap<>(point.parameters());
        ProxyConfig config = new ProxyConfig(
                resources.folder().resolve("n0.json"),
                new Scenario.Point(point.sizes(), parameters),
                0,
                1,
                seed,
                list.wholeList().bytes());
        config.write(endpoint.address());
        DeliveryTracker tracker = new DeliveryTracker(1);
        ControlPlaneProxy proxy = loop.submit(() -> new ControlPlaneProxy(
                        config.environment("127.0.0.1:0", endpoint.address()),
                        loop,
                        (p, hash) -> tracker.recordDelivery(0, list.versionByHash(hash), System.nanoTime())))
                .get();
        proxy.start();
        long loopThreadId = loop.submit(() -> Thread.currentThread().getId()).get();
        Map<String, Measurement> measured = new LinkedHashMap<>();
        int rounds = point.count("lists", 500);
        int nextNode = entries.size();
        for (String kind : List.of("delta", "whole")) {
            progress.step(kind);
            long cpuNs = 0;
            long startBytes = 0;
            for (int i = -WARM_UP_ROUNDS; i < rounds; i++) {
                if (i == 0) {
                    cpuNs = ManagementFactory.getThreadMXBean().getThreadCpuTime(loopThreadId);
                    startBytes = endpoint.traffic().bytes();
                }
                List<NodeList.Entry> change = kind.equals("whole")
                        ? List.of(list.entries().get(0).withState("DELETED"), createEntry(nextNode++))
                        : List.of(list.entries().get(0).withState(i % 2 == 0 ? "DRAINING" : "SERVING"));
                awaitApplied(tracker, kind.equals("whole") ? service.publishWhole(change) : service.publish(change));
            }
            cpuNs = ManagementFactory.getThreadMXBean().getThreadCpuTime(loopThreadId) - cpuNs;
            measured.put(kind + ".cpu", new Measurement(cpuNs / 1e3 / rounds, "us"));
            measured.put(
                    kind + ".bytes", new Measurement((endpoint.traffic().bytes() - startBytes) / (double) rounds, "B"));
        }
        service.close();
        return measured;
    }

    private static void awaitApplied(DeliveryTracker tracker, NodeList.Version version) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(APPLY_TIMEOUT_S);
        while (tracker.deliveredCount(version, 0, 1) == 0) {
            if (System.nanoTime() > deadlineNs) {
                throw new IllegalStateException("the proxy did not apply a list in time");
            }
            Thread.sleep(0, 100_000);
        }
    }

    private static NodeList.Entry createEntry(int number) {
        return new NodeList.Entry(
                "s-" + number, "127.0.0.1:11211", ProxyConfig.zoneName(number), "m", number % 4, "SERVING", 0);
    }
}
