package holdproxy.scale.virtual;

import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.Arrays;

/** Cuts a region off from the others under traffic and reconnects it; its clients stay with its own proxies. */
final class RegionCutExperiment extends VirtualExperiment {
    private static final int INSIDE = 0;
    private static final int OUTSIDE = 1;
    private static final double CALM_S = 6;

    RegionCutExperiment() {
        super(
                "region-cut",
                "requests served inside and outside a region that is cut off, dials, handshakes and "
                        + "calls to discovery, during the cut and after it; in virtual time");
        addInput("cutS", "seconds for which a region is cut off (10)");
        addInput("afterS", "seconds measured after the cut (10)");
        addInput("tenants", "number of tenants (4)");
    }

    @Override
    void run(Scenario.Point point, long seed, Progress progress, Measurements out) {
        FleetConfig config = readConfig(point);
        config.retryAtAnyProxy = false;
        double[] quotas = quotas(config, point.count("tenants", config.tenants));
        long[] targetLatenciesUs = Arrays.stream(config.settings(0, quotas).classes)
                .mapToLong(c -> c.targetUs)
                .toArray();
        double cutEndS = CALM_S + point.number("cutS", 10);
        double endS = cutEndS + point.number("afterS", 10);
        int region = config.regions - 1;
        RequestCounts counts = new RequestCounts(
                2,
                q -> config.regionOfZone(config.zoneOfProxy(q.firstProxy)) == region ? INSIDE : OUTSIDE,
                targetLatenciesUs,
                100_000,
                endS + 4);
        Simulation simulation = new Simulation(config, seed, quotas, counts);
        simulation.clients.start(allTenantsStream(config, quotas));
        simulation.runUntil(CALM_S);
        simulation.setCutOff(region, true);
        progress.step("region cut off");
        LoadMeter cutLoad = new LoadMeter(simulation);
        simulation.runUntil(cutEndS);
        cutLoad.report("cut", out);
        simulation.setCutOff(region, false);
        progress.step("region reconnected");
        LoadMeter afterLoad = new LoadMeter(simulation);
        simulation.runUntil(endS);
        afterLoad.report("after", out);
        simulation.clients.stop();
        // Lets the open requests end: the longest deadline of a class is 3 s.
        simulation.runUntil(endS + 3.1);
        for (int group = INSIDE; group <= OUTSIDE; group++) {
            String side = group == INSIDE ? "inside" : "outside";
            out.put("calm." + side + ".inTime", counts.share(counts.inTime, group, 1, CALM_S), "share");
            out.put("cut." + side + ".inTime", counts.share(counts.inTime, group, CALM_S, cutEndS), "share");
            out.put("cut." + side + ".refused", counts.share(counts.refused, group, CALM_S, cutEndS), "share");
            out.put("after." + side + ".inTime", counts.share(counts.inTime, group, cutEndS, endS), "share");
            out.put("after." + side + ".refused", counts.share(counts.refused, group, cutEndS, endS), "share");
            out.put("after." + side + ".inTimeLast", counts.share(counts.inTime, group, endS - 2, endS), "share");
        }
        out.put("peers.bytesPerSEach", simulation.peerBytesPerSEach(), "B/s");
        out.put(
                "unanswered",
                Arrays.stream(simulation.proxies).mapToLong(x -> x.unanswered).sum(),
                "requests");
        out.put("events", simulation.clock.executedEvents(), "events");
    }
}
