package holdproxy.scale.virtual;

import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.Arrays;

/** Restarts many proxies under traffic and measures the effect on cache nodes, discovery and clients. */
final class RestartStormExperiment extends VirtualExperiment {
    private static final double CALM_S = 6;

    RestartStormExperiment() {
        super(
                "restart-storm",
                "requests served, handshakes, connections and calls to discovery when proxies restart "
                        + "together, and the time until all have the current list; in virtual time");
        addInput("restarted", "share of the proxies that restart (0.1)");
        addInput("withinS", "seconds over which the restarts are spread (0)");
        addInput("afterS", "seconds measured after the last restart (12)");
    }

    @Override
    void run(Scenario.Point point, long seed, Progress progress, Measurements out) {
        FleetConfig config = readConfig(point);
        double[] quotas = quotas(config, config.tenants);
        long[] targetLatenciesUs = Arrays.stream(config.settings(0, quotas).classes)
                .mapToLong(c -> c.targetUs)
                .toArray();
        double withinS = point.number("withinS", 0);
        double endS = CALM_S + withinS + point.number("afterS", 12);
        RequestCounts counts = new RequestCounts(1, q -> 0, targetLatenciesUs, 100_000, endS + 4);
        Simulation simulation = new Simulation(config, seed, quotas, counts);
        simulation.clients.start(allTenantsStream(config, quotas));
        simulation.runUntil(CALM_S);
        LoadMeter load = new LoadMeter(simulation);
        int restarts = (int) Math.ceil(point.number("restarted", 0.1) * config.proxies);
        for (int i = 0; i < restarts; i++) {
            simulation.runUntil(CALM_S + withinS * i / restarts);
            simulation.restart(simulation.proxies[(int) ((long) i * config.proxies / restarts)]);
        }
        double restartedS = CALM_S + withinS;
        simulation.runUntil(restartedS);
        // The restarted proxies receive this change only once they watch discovery again.
        simulation.nodes[0].state = holdproxy.Router.NodeState.DRAINING;
        simulation.discovery.publish(simulation.nodes[0]);
        progress.step(restarts + " proxies restarted");
        simulation.runUntil(endS);
        load.report("storm", out);
        simulation.clients.stop();
        // Lets the open requests end: the longest deadline of a class is 3 s.
        simulation.runUntil(endS + 3.1);
        out.put("calm.inTime", counts.share(counts.inTime, 0, 1, CALM_S), "share");
        out.put("storm.inTime", counts.share(counts.inTime, 0, CALM_S, restartedS + 2), "share");
        out.put("storm.refused", counts.share(counts.refused, 0, CALM_S, restartedS + 2), "share");
        out.put("after.inTime", counts.share(counts.inTime, 0, restartedS + 2, endS), "share");
        double[] receiptDelaysS = Arrays.stream(simulation.discovery.receivedUs)
                .filter(t -> t >= 0)
                .mapToDouble(t -> Math.max(0, t / 1e6 - restartedS))
                .sorted()
                .toArray();
        out.put("told.p50", quantile(receiptDelaysS, 0.5), "s");
        out.put("told.p99", quantile(receiptDelaysS, 0.99), "s");
        out.put("told.most", quantile(receiptDelaysS, 1), "s");
        out.put("told.none", config.proxies - receiptDelaysS.length, "proxies");
        out.put(
                "unanswered",
                Arrays.stream(simulation.proxies).mapToLong(x -> x.unanswered).sum(),
                "requests");
        out.put("events", simulation.clock.executedEvents(), "events");
    }
}
