package holdproxy.scale.virtual;

/** Measures the load on a fleet's cache nodes and on discovery since the construction of this object. */
final class LoadMeter {
    private final Simulation simulation;
    private final long startUs;
    private final long[] handshakesBefore;
    private final long requestsBefore;
    private final long refusedDialsBefore;
    private final long callsBefore;

    /** Starts the measurement and resets the peaks that the nodes and discovery keep. */
    LoadMeter(Simulation simulation) {
        this.simulation = simulation;
        startUs = simulation.clock.now();
        handshakesBefore = new long[simulation.nodes.length];
        long requestSum = 0;
        long refusedDials = 0;
        for (int i = 0; i < handshakesBefore.length; i++) {
            CacheNode node = simulation.nodes[i];
            handshakesBefore[i] = node.handshakes;
            node.peakConnections = node.connections;
            requestSum += node.requests;
            refusedDials += node.refusedDials;
        }
        requestsBefore = requestSum;
        refusedDialsBefore = refusedDials;
        callsBefore = simulation.discovery.calls;
        simulation.discovery.peakCallsPerS = 0;
    }

    /** Adds the measurements since the construction, under names that begin with {@code phase}. */
    void report(String phase, Measurements out) {
        double seconds = (simulation.clock.now() - startUs) / 1e6;
        double handshakeSum = 0;
        double mostHandshakes = 0;
        int mostConnections = 0;
        long refusedDials = 0;
        long requestSum = 0;
        for (int i = 0; i < handshakesBefore.length; i++) {
            CacheNode node = simulation.nodes[i];
            long nodeHandshakes = node.handshakes - handshakesBefore[i];
            handshakeSum += nodeHandshakes;
            mostHandshakes = Math.max(mostHandshakes, nodeHandshakes);
            mostConnections = Math.max(mostConnections, node.peakConnections);
            refusedDials += node.refusedDials;
            requestSum += node.requests;
        }
        out.put(phase + ".nodeRequestsPerS", (requestSum - requestsBefore) / seconds / handshakesBefore.length, "1/s");
        out.put(phase + ".handshakesPerS", handshakeSum / seconds / handshakesBefore.length, "1/s");
        out.put(phase + ".handshakesMostPerS", mostHandshakes / seconds, "1/s");
        out.put(phase + ".connectionsMost", mostConnections, "connections");
        out.put(phase + ".dialsRefused", refusedDials - refusedDialsBefore, "dials");
        out.put(phase + ".callsPerS", (simulation.discovery.calls - callsBefore) / seconds, "1/s");
        out.put(phase + ".callsMostPerS", simulation.discovery.peakCallsPerS, "1/s");
    }
}
