package holdproxy.scale.virtual;

import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.Arrays;

/** Measures the connections that a cache node holds and the handshakes that it makes, at rest and in a burst. */
final class ConnectionsExperiment extends VirtualExperiment {
    private static final double REST_S = 10;
    private static final double BURST_S = 5;

    ConnectionsExperiment() {
        super(
                "connections",
                "connections at a cache node and handshakes a second, at rest and in a burst, in virtual time: "
                        + "simulated for one request at a time on each connection, computed for shared connections");
        addInput("burst", "request rate in the burst of 5 s, as a multiple of the normal rate (1.5)");
        addInput("tenants", "number of tenants (4)");
    }

    @Override
    void run(Scenario.Point point, long seed, Progress progress, Measurements out) {
        FleetConfig config = readConfig(point);
        double[] quotas = quotas(config, point.count("tenants", config.tenants));
        // A limit that is never reached: connections are counted here, not limited.
        config.maxConnectionsPerCore = 1_000_000;
        long[] targetLatenciesUs = Arrays.stream(config.settings(0, quotas).classes)
                .mapToLong(c -> c.targetUs)
                .toArray();
        RequestCounts counts = new RequestCounts(1, q -> 0, targetLatenciesUs, 100_000, REST_S + BURST_S + 4);
        Simulation simulation = new Simulation(config, seed, quotas, counts);
        Clients.RequestStream traffic = allTenantsStream(config, quotas);
        simulation.clients.start(traffic);
        double fromS = REST_S - 3;
        simulation.runUntil(fromS);
        progress.step("rest");
        measure("rest", simulation, fromS, REST_S, out);
        simulation.clients.setRate(traffic, config.requestsPerS * point.number("burst", 1.5));
        progress.step("burst");
        measure("burst", simulation, REST_S, REST_S + BURST_S, out);
        double pairRequestsPerS = config.requestsPerS / config.proxies / config.nodes;
        // The proxy closes an idle connection earlier than the node, see ConnectionPool.
        double idleTimeoutS = (config.idleTimeoutUs - config.idleTimeoutUs / 5) / 1e6;
        // A proxy and a node share one connection. It closes when no request has come for the idle time, and the gaps
        // between the requests of a Poisson stream are exponentially distributed.
        double heldShare = 1 - Math.exp(-pairRequestsPerS * idleTimeoutS);
        out.put("shared.connections", config.proxies * heldShare, "connections");
        out.put(
                "shared.handshakesPerS",
                config.proxies * pairRequestsPerS * Math.exp(-pairRequestsPerS * idleTimeoutS),
                "1/s");
        out.put("inTime", counts.share(counts.inTime, 0, 1, REST_S + BURST_S - 1), "share");
        out.put("pair.requestsPerS", pairRequestsPerS, "1/s");
        out.put("events", simulation.clock.executedEvents(), "events");
    }

    /** Runs from one time to another and adds the measurements under names that begin with {@code phase}. */
    private static void measure(String phase, Simulation simulation, double fromS, double toS, Measurements out) {
        long[] handshakesBefore =
                Arrays.stream(simulation.nodes).mapToLong(n -> n.handshakes).toArray();
        long requestsBefore =
                Arrays.stream(simulation.nodes).mapToLong(n -> n.requests).sum();
        for (CacheNode node : simulation.nodes) {
            node.peakConnections = node.connections;
        }
        double connectionSum = 0;
        int samples = 0;
        double peakHandshakesPerS = 0;
        long[] handshakesAtSecond = handshakesBefore.clone();
        for (int i = 1; fromS + 0.1 * i <= toS + 1e-9; i++) {
            simulation.runUntil(fromS + 0.1 * i);
            connectionSum += Arrays.stream(simulation.nodes)
                    .mapToInt(n -> n.connections)
                    .average()
                    .orElse(0);
            samples++;
            if (i % 10 == 0) {
                for (int n = 0; n < simulation.nodes.length; n++) {
                    peakHandshakesPerS =
                            Math.max(peakHandshakesPerS, simulation.nodes[n].handshakes - handshakesAtSecond[n]);
                    handshakesAtSecond[n] = simulation.nodes[n].handshakes;
                }
            }
        }
        long handshakes =
                Arrays.stream(simulation.nodes).mapToLong(n -> n.handshakes).sum()
                        - Arrays.stream(handshakesBefore).sum();
        long requests =
                Arrays.stream(simulation.nodes).mapToLong(n -> n.requests).sum() - requestsBefore;
        out.put(phase + ".connections", connectionSum / samples, "connections");
        out.put(
                phase + ".connectionsMost",
                Arrays.stream(simulation.nodes)
                        .mapToInt(n -> n.peakConnections)
                        .max()
                        .orElse(0),
                "connections");
        out.put(phase + ".handshakesPerS", handshakes / (toS - fromS) / simulation.nodes.length, "1/s");
        out.put(phase + ".handshakesMostPerS", peakHandshakesPerS, "1/s");
        out.put(phase + ".handshakesPerRequest", (double) handshakes / requests, "share");
        out.put(
                phase + ".connectionsEach",
                Arrays.stream(simulation.nodes).mapToInt(n -> n.connections).sum() / (double) simulation.proxies.length,
                "connections");
    }
}
