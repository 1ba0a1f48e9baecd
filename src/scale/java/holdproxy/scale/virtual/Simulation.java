package holdproxy.scale.virtual;

import holdproxy.Router;
import org.apache.commons.rng.SplittableUniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A simulated fleet with its network, origin, discovery and clients. The configuration and the seed determine the
 * whole run.
 */
final class Simulation {
    final FleetConfig config;
    final EventClock clock = new EventClock();
    final Network network;
    final Origin origin;
    final CacheNode[] nodes;
    final DiscoveryService discovery;
    final Clients clients;
    final SimulatedProxy[] proxies;
    /** Decides which messages between proxies are lost. */
    final SplittableUniformRandomProvider peerRandom;
    /** Settings of the first proxy; the others' differ in index and zone only. */
    final Router.Settings settings;

    /** Draws the seeds of the routing policies. */
    private final SplittableUniformRandomProvider seeds;

    /**
     * Builds the fleet and starts all proxies at time 0.
     *
     * @param quotas the quota of each tenant in requests a second
     */
    Simulation(FleetConfig config, long seed, double[] quotas, Clients.RequestListener listener) {
        this.config = config;
        SplittableUniformRandomProvider root = (SplittableUniformRandomProvider) RandomSource.L64_X128_MIX.create(seed);
        network = new Network(config, root.split());
        double missesPerS = config.requestsPerS * (1 - config.hitShare);
        origin = new Origin(clock, missesPerS * config.originHeadroom, config.originFetchUs, config.originQueueS);
        nodes = new CacheNode[config.nodes];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new CacheNode(i, i % config.zones, config, clock, origin, root.split());
        }
        proxies = new SimulatedProxy[config.proxies];
        discovery = new DiscoveryService(this, root.split());
        seeds = root.split();
        settings = config.settings(0, quotas);
        for (int i = 0; i < proxies.length; i++) {
            Router.Settings proxySettings = config.settings(0, quotas);
            proxySettings.index = i;
            proxySettings.zone = config.zoneOfProxy(i);
            proxySettings.tenants = settings.tenants;
            proxySettings.classes = settings.classes;
            proxies[i] = new SimulatedProxy(this, i, proxySettings);
        }
        clients = new Clients(this, root.split(), listener);
        peerRandom = root.split();
        for (SimulatedProxy proxy : proxies) {
            proxy.start(seeds.nextLong());
        }
    }

    /** Runs the simulation up to this time, in seconds from its start. */
    void runUntil(double untilS) {
        clock.runUntil((long) (untilS * 1e6));
    }

    /** Mean bytes a second that a proxy sent to and received from other proxies so far, headers included. */
    double peerBytesPerSEach() {
        long bytes = 0;
        for (SimulatedProxy proxy : proxies) {
            bytes += proxy.peerBytesSent + proxy.peerBytesReceived;
        }
        return bytes * 1e6 / clock.now() / proxies.length;
    }

    /** Kills a proxy and starts it again at once, with no state but the current node list. */
    void restart(SimulatedProxy proxy) {
        int generation = proxy.generation();
        proxy.kill();
        clients.proxyKilled(proxy, generation);
        proxy.start(seeds.nextLong());
    }

    /** Cuts a region off from all others, or reconnects it. */
    void setCutOff(int region, boolean isCutOff) {
        network.setCutOff(region, isCutOff);
        if (isCutOff) {
            discovery.silenceCutOffWatches(region);
        }
    }

    /** Stops cache nodes, which resets their connections, and publishes the change of the node list. */
    void stopNodes(CacheNode... stopped) {
        for (CacheNode node : stopped) {
            clients.nodeStopped(node);
            node.stop();
            node.state = Router.NodeState.GONE;
        }
        discovery.publish(stopped);
    }

    /** Starts or restarts cache nodes with empty caches and publishes the change of the node list. */
    void startNodes(CacheNode... started) {
        for (CacheNode node : started) {
            node.restart();
            node.state = Router.NodeState.READY;
        }
        discovery.publish(started);
        for (CacheNode node : started) {
            node.startListVersion = discovery.version();
        }
    }
}
