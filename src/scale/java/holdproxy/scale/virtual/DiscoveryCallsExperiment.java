package holdproxy.scale.virtual;

import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.Arrays;

/**
 * Measures the routing policies' calls to discovery without any requests: after the start, at rest, after an outage of
 * discovery and after a region was cut off.
 */
final class DiscoveryCallsExperiment extends VirtualExperiment {
    private static final double REST_FROM_S = 30;
    private static final double REST_TO_S = 60;

    DiscoveryCallsExperiment() {
        super(
                "discovery-calls",
                "calls to discovery a second and the time until every proxy has the current list, at rest, "
                        + "after an outage of 8 s and after a region was cut off for 60 s; in virtual time");
        addInput("lossS", "seconds for which the whole service fails (8)");
        addInput("cutS", "seconds for which a region is cut off (60)");
        addInput("silent", "1: the failed service accepts calls and answers nothing; 0: it refuses connections (0)");
        addInput("pushed", "1: an agent pushes the lists; 0: the routing policy asks for them (0)");
    }

    @Override
    void run(Scenario.Point point, long seed, Progress progress, Measurements out) {
        FleetConfig config = readConfig(point);
        config.requiresSubscription = point.number("pushed", 0) == 0;
        double[] quotas = quotas(config, config.tenants);
        Simulation simulation =
                new Simulation(config, seed, quotas, new RequestCounts(1, q -> 0, new long[4], 1_000_000, 1));
        DiscoveryService discovery = simulation.discovery;
        // A change at the start gives the proxies something to receive.
        simulation.nodes[0].state = holdproxy.Router.NodeState.DRAINING;
        discovery.publish(simulation.nodes[0]);
        simulation.runUntil(REST_FROM_S);
        reportReceipt(out, "start", simulation, 0);
        long callsBefore = discovery.calls;
        long bytesBefore = discovery.listBytes;
        simulation.runUntil(REST_TO_S);
        out.put("rest.callsPerS", (discovery.calls - callsBefore) / (REST_TO_S - REST_FROM_S), "1/s");
        out.put(
                "rest.bytesPerSEach",
                (discovery.listBytes - bytesBefore) / (REST_TO_S - REST_FROM_S) / config.proxies
                        + DiscoveryService.emptyLineBytesPerS(),
                "B/s");

        double outageEndS = REST_TO_S + point.number("lossS", 8);
        discovery.setState(
                point.number("silent", 0) > 0
                        ? DiscoveryService.ServiceState.SILENT
                        : DiscoveryService.ServiceState.DOWN);
        simulation.runUntil(outageEndS - 1);
        simulation.nodes[1 % config.nodes].state = holdproxy.Router.NodeState.DRAINING;
        discovery.publish(simulation.nodes[1 % config.nodes]);
        simulation.runUntil(outageEndS);
        callsBefore = discovery.calls;
        bytesBefore = discovery.listBytes;
        discovery.setState(DiscoveryService.ServiceState.UP);
        discovery.peakCallsPerS = 0;
        simulation.runUntil(outageEndS + 30);
        out.put("loss.calls", discovery.calls - callsBefore, "calls");
        out.put("loss.callsMostPerS", discovery.peakCallsPerS, "1/s");
        out.put("loss.bytesEach", (double) (discovery.listBytes - bytesBefore) / config.proxies, "B");
        reportReceipt(out, "loss", simulation, outageEndS);

        double cutStartS = outageEndS + 30;
        double cutEndS = cutStartS + point.number("cutS", 60);
        int region = config.regions - 1;
        if (region > 0) {
            simulation.setCutOff(region, true);
            simulation.runUntil(cutEndS - 30);
            simulation.nodes[2 % config.nodes].state = holdproxy.Router.NodeState.DRAINING;
            discovery.publish(simulation.nodes[2 % config.nodes]);
            long callsBeforeLastPart = discovery.calls;
            simulation.runUntil(cutEndS);
            out.put("cut.callsPerSWhileCut", (discovery.calls - callsBeforeLastPart) / 30.0, "1/s");
            callsBefore = discovery.calls;
            simulation.setCutOff(region, false);
            discovery.peakCallsPerS = 0;
            simulation.runUntil(cutEndS + 30);
            out.put("cut.calls", discovery.calls - callsBefore, "calls");
            out.put("cut.callsMostPerS", discovery.peakCallsPerS, "1/s");
            reportReceipt(out, "cut", simulation, cutEndS);
        }
        out.put("events", simulation.clock.executedEvents(), "events");
    }

    /**
     * Adds how long after {@code fromS} the proxies received the current list, under names that begin with
     * {@code phase}. A proxy that received it before counts as 0. The measurement toldLate counts the proxies that
     * received it after more than 6 s.
     */
    private static void reportReceipt(Measurements out, String phase, Simulation simulation, double fromS) {
        long fromUs = (long) (fromS * 1e6);
        double[] delaysS = Arrays.stream(simulation.discovery.receivedUs)
                .filter(t -> t >= 0)
                .mapToDouble(t -> Math.max(0, t - fromUs) / 1e6)
                .sorted()
                .toArray();
        out.put(phase + ".toldP50", quantile(delaysS, 0.5), "s");
        out.put(phase + ".toldP99", quantile(delaysS, 0.99), "s");
        out.put(phase + ".toldMost", quantile(delaysS, 1), "s");
        out.put(phase + ".notTold", simulation.proxies.length - delaysS.length, "proxies");
        out.put(phase + ".toldLate", Arrays.stream(delaysS).filter(t -> t > 6).count(), "proxies");
    }
}
