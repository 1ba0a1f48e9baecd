package holdproxy.scale.virtual;

import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.Arrays;
import java.util.Comparator;

/** Restarts cache nodes cold and measures the fullest window of requests at one of them against its budget. */
final class ColdRampExperiment extends VirtualExperiment {
    private static final double CALM_S = 4;

    ColdRampExperiment() {
        super("cold-ramp", "the fullest window of requests at a cold cache node against its budget, in virtual time");
        addInput("restarted", "share of the cache nodes that stop and start again cold; at least one does (0.1)");
        addInput("downS", "seconds until they start again; 0: at once, and the proxies learn of it later (3)");
        addInput("burst", "request rate from their start on, as a multiple of the normal rate (1)");
        addInput("hottest", "1: the nodes that got the most requests stop; 0: evenly chosen nodes (0)");
        addInput("proxiesRestarted", "share of the proxies that restart when the first node starts (0)");
        addInput("withinS", "seconds over which the starts of the nodes are spread (0)");
    }

    @Override
    void run(Scenario.Point point, long seed, Progress progress, Measurements out) {
        FleetConfig config = readConfig(point);
        double[] quotas = quotas(config, config.tenants);
        double downS = point.number("downS", 3);
        double startS = CALM_S + downS;
        double withinS = point.number("withinS", 0);
        double endS = startS + withinS + config.coldPeriodUs / 1e6 + 1;
        long[] targetLatenciesUs = Arrays.stream(config.settings(0, quotas).classes)
                .mapToLong(c -> c.targetUs)
                .toArray();
        RequestCounts counts = new RequestCounts(1, q -> 0, targetLatenciesUs, 100_000, endS + 4);
        Simulation simulation = new Simulation(config, seed, quotas, counts);
        Clients.RequestStream traffic = allTenantsStream(config, quotas);
        simulation.clients.start(traffic);
        simulation.runUntil(CALM_S);
        int restartCount = (int) Math.max(1, Math.round(point.number("restarted", 0.1) * config.nodes));
        CacheNode[] restarted = new CacheNode[restartCount];
        CacheNode[] candidates = simulation.nodes.clone();
        if (point.number("hottest", 0) > 0) {
            Arrays.sort(
                    candidates,
                    Comparator.comparingLong((CacheNode n) -> -n.requests).thenComparingInt(n -> n.id));
        }
        for (int i = 0; i < restartCount; i++) {
            restarted[i] =
                    candidates[point.number("hottest", 0) > 0 ? i : (int) ((long) i * config.nodes / restartCount)];
        }
        if (downS > 0) {
            simulation.stopNodes(restarted);
            simulation.runUntil(startS);
        }
        for (int i = 0; i < restartCount; i++) {
            simulation.runUntil(startS + withinS * i / restartCount);
            if (downS == 0) {
                simulation.clients.nodeStopped(restarted[i]);
            }
            simulation.startNodes(restarted[i]);
            if (i == 0) {
                restartProxies(simulation, point.number("proxiesRestarted", 0));
                simulation.clients.setRate(traffic, config.requestsPerS * point.number("burst", 1));
            }
        }
        progress.step("nodes start again at " + startS + " s");
        simulation.runUntil(endS);
        double[] worstShares = Arrays.stream(restarted)
                .mapToDouble(n -> n.coldWindow.worstShare)
                .sorted()
                .toArray();
        CacheNode worstNode = restarted[0];
        for (CacheNode node : restarted) {
            worstNode = node.coldWindow.worstShare > worstNode.coldWindow.worstShare ? node : worstNode;
        }
        out.put("worstWindow", worstNode.coldWindow.worstShare, "share");
        out.put("medianWindow", quantile(worstShares, 0.5), "share");
        out.put(
                "nodesOver",
                Arrays.stream(restarted)
                        .filter(n -> n.coldWindow.worstShare > 1)
                        .count(),
                "nodes");
        out.put("nodesCold", restartCount, "nodes");
        out.put("worstWindow.fromTold", worstNode.coldWindow.worstInformedShare, "share");
        out.put("worstWindow.afterStart", (worstNode.coldWindow.worstAtUs - worstNode.startedUs) / 1e6, "s");
        out.put("cold.inTime", counts.share(counts.inTime, 0, startS, endS), "share");
        out.put("cold.refused", counts.share(counts.refused, 0, startS, endS), "share");
        out.put("calm.inTime", counts.share(counts.inTime, 0, 1, CALM_S), "share");
        out.put("budgetAtStart", ColdWindow.budget(config, config.coldCapacityShare), "requests");
        out.put("peers.bytesPerSEach", simulation.peerBytesPerSEach(), "B/s");
        out.put("events", simulation.clock.executedEvents(), "events");
    }

    private static void restartProxies(Simulation simulation, double share) {
        int count = (int) Math.round(share * simulation.proxies.length);
        for (int i = 0; i < count; i++) {
            simulation.restart(simulation.proxies[(int) ((long) i * simulation.proxies.length / count)]);
        }
    }
}
