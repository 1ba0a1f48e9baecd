package holdproxy.scale.virtual;

import holdproxy.Router;

/**
 * Sizes, capacities and behaviour of a simulated fleet, and the settings of its proxies. Where the operators' plan
 * gives a figure, it is the default. The other defaults are assumptions modelled on the site files in
 * {@code deploy/sites}, except that a request takes milliseconds of work instead of tens of milliseconds, so that
 * 83 nodes can serve 480,000 requests a second.
 */
final class FleetConfig {
    /** Number of proxies. */
    int proxies = 730;
    /** Number of cache nodes. */
    int nodes = 83;
    /** Number of regions; the zones are assigned to them round-robin. */
    int regions = 4;
    /** Number of zones; proxies and nodes are assigned to them round-robin. */
    int zones = 9;
    /** Requests a second of all clients under normal load. */
    double requestsPerS = 480_000;
    /** Share of the nodes' capacity that the requests use under normal load. */
    double load = 0.62;

    /** Cores of each cache node. */
    int nodeCores = 16;
    /** Requests that a node works on at the same time, for each core. */
    int slotsPerCore = 1;
    /** Length of a node's queue, in milliseconds of work of all its cores; it refuses requests beyond that. */
    double queueMs = 1000;
    /** Standard deviation of the natural logarithm of a request's work. */
    double workSigma = 0.5;

    /** Additional work of a cache miss, as a share of the request's work. */
    double missWorkShare = 0.3;
    /** Share of reads that hit in a warm node's cache. */
    double hitShare = 0.9;
    /** Keys that the cache of a restarted node holds; beyond that the least recently used key is evicted. */
    int keysHeldPerNode = 1 << 17;
    /** Largest number of connections that a node accepts, for each core; the site files give 600 to 900. */
    int maxConnectionsPerCore = 750;
    /**
     * Work of a connection's handshake, as a share of a mean request's work; the site files give 2.5 to 4.5 ms for a
     * handshake and 64 to 240 ms for a request.
     */
    double handshakeWorkShare = 0.03;

    /** Round trips between dialing a node and the first request on the connection. */
    int handshakeRoundTrips = 2;
    /** Capacity of the origin, as a multiple of the rate of cache misses under normal load. */
    double originHeadroom = 2.4;

    /** Duration of one fetch from the origin. */
    double originFetchUs = 20_000;
    /** Length of the origin's queue, in seconds of fetches at its full rate. */
    double originQueueS = 1;

    /** Shortest one-way network delay within a zone. */
    double sameZoneDelayUs = 230;
    /** Shortest one-way network delay between zones of one region. */
    double otherZoneDelayUs = 600;
    /** Shortest one-way network delay between regions. */
    double otherRegionDelayUs = 8_000;
    /** Mean of the exponentially distributed jitter that is added to a delay, as a share of the delay. */
    double jitterShare = 0.15;

    /** Number of distinct keys. */
    int keys = 1 << 20;
    /** Exponent of the Zipf-Mandelbrot distribution of the keys' popularity. */
    double zipfExponent = 0.9;
    /** Offset that this distribution adds to a key's rank. */
    double zipfOffset = 10;
    /** Number of tenants. */
    int tenants = 4;
    /** Exponent of the Zipf distribution of the tenants' shares of the requests; 0: all tenants have equal shares. */
    double tenantZipfExponent = 0.6;
    /** Quota of each tenant, as a multiple of its request rate under normal load. */
    double quotaMultiple = 1.25;

    /** Retries that a client makes for a request after the first try. */
    int clientRetries = 3;
    /** Time-out of a try, as a share of the deadline of the request's class. */
    double tryTimeoutShare = 0.55;
    /** Share of refusals after which the client waits for the advised retry-after time. */
    double retryAfterHonouredShare = 0.2;

    /** Mean wait before a retry; each wait is drawn evenly from half of it to one and a half times it. */
    double backoffMs = 60;
    /**
     * True: a request of a stream that enters at all proxies is retried at a proxy drawn anew. False: every request is
     * retried at the proxy of its first try.
     */
    boolean retryAtAnyProxy = true;

    /** True: the routing policy has to subscribe to the node list; false: an agent pushes the list to each proxy. */
    boolean requiresSubscription = true;
    /** Share of its full capacity that a node has at a cold start. */
    double coldCapacityShare = 0.33;
    /** Time after a cold start until a node has its full capacity. */
    long coldPeriodUs = 8_700_000;
    /** A node is overloaded by this multiple of the requests that it can serve within {@link #nodeOverloadUs}. */
    double nodeOverloadMultiple = 2.5;
    /** Length of the window over which the requests at a cold node are counted. */
    long nodeOverloadUs = 2_000_000;
    /** Idle time after which a cache node closes a connection. */
    long idleTimeoutUs = 10_000_000;
    /** Time after which a connection that is not open counts as failed. */
    long dialTimeoutUs = 120_000;
    /** Whether the proxies may send messages to each other. */
    boolean peersEnabled = true;
    /** Whether the routing policy may hedge requests. */
    boolean hedging = true;
    /** Shortest delay of a message between two proxies. */
    double peerDelayUs = 15_000;
    /** Share of the messages between proxies that are lost. */
    double peerLoss = 0.01;

    /** Least delay until a change of the node list is sent; each change draws from this up to twice this time. */
    double listMinDelayUs = 200_000;

    /** Further delay of a change, drawn evenly for each proxy from 0 up to this time. */
    double listSpreadUs = 1_000_000;
    /** Calls a second that discovery can answer; it handles one call at a time. */
    double callsPerS = 250;

    /** Time-out of a call to discovery. */
    long callTimeoutUs = 3_000_000;

    /** Requests a second at each proxy under normal load. */
    double requestsPerSPerProxy() {
        return requestsPerS / proxies;
    }

    /** Mean work of a request in microseconds on one core, computed so that the nodes' load is {@link #load}. */
    double meanWorkUs() {
        return load * nodes * nodeCores * 1e6 / requestsPerS / (1 + (1 - hitShare) * missWorkShare);
    }

    /** Requests of mean work a second that a warm node can serve. */
    double nodeRequestsPerS() {
        return requestsPerS / load / nodes;
    }

    int zoneOfProxy(int proxy) {
        return proxy % zones;
    }

    int regionOfZone(int zone) {
        return zone % regions;
    }

    private static Router.RequestClass requestClass(
            String name, Router.Effect effect, long targetMs, long deadlineMs, double utility) {
        Router.RequestClass result = new Router.RequestClass();
        result.name = name;
        result.effect = effect;
        result.targetUs = targetMs * 1000;
        result.deadlineUs = deadlineMs * 1000;
        result.deduplicationWindowUs = 2_500_000;
        result.lateUtilityShare = 0.5;
        result.utility = utility;
        return result;
    }

    /** Share of the requests in each class of {@link #settings}. */
    static final double[] CLASS_SHARES = {0.52, 0.445, 0.02, 0.015};

    /**
     * Settings of a proxy.
     *
     * @param index the proxy's index in the fleet
     * @param quotas the quota of each tenant in requests a second
     */
    Router.Settings settings(int index, double[] quotas) {
        Router.Settings settings = new Router.Settings();
        settings.index = index;
        settings.routerCount = proxies;
        settings.zone = zoneOfProxy(index);
        settings.classes = new Router.RequestClass[] {
            requestClass("feed", Router.Effect.SAFE, 300, 1500, 3),
            requestClass("audio", Router.Effect.SAFE, 750, 3000, 1),
            requestClass("purchase", Router.Effect.UNSAFE, 300, 750, 10),
            requestClass("publish", Router.Effect.KEYED, 800, 3000, 8)
        };
        settings.tenants = new Router.Tenant[quotas.length];
        for (int i = 0; i < quotas.length; i++) {
            settings.tenants[i] = new Router.Tenant();
            settings.tenants[i].name = "t" + i;
            settings.tenants[i].quotaPerS = quotas[i];
        }
        settings.requiresSubscription = requiresSubscription;
        settings.mayCancel = true;
        settings.mayProbe = true;
        settings.mayHedge = hedging;
        settings.maySendRetryAfter = true;
        settings.maxRetryAfterUs = 1_500_000;
        settings.maxAttempts = 5;
        settings.tickUs = 5_000;
        settings.idleTimeoutUs = idleTimeoutUs;
        settings.dialTimeoutUs = dialTimeoutUs;
        settings.streamsPerConnection = 100;
        settings.reportSource = Router.ReportSource.PROBES;
        settings.clientsMarkRetries = true;
        settings.mayMessagePeers = peersEnabled;
        settings.overQuotaUtilityShare = 0.2;
        settings.originOverloadMultiple = 3;
        settings.originOverloadUs = 3_000_000;
        settings.answerGraceUs = 20_000;
        settings.coldCapacityShare = coldCapacityShare;
        settings.coldPeriodUs = coldPeriodUs;
        settings.drainGraceUs = 500_000;
        settings.nodeOverloadMultiple = nodeOverloadMultiple;
        settings.nodeOverloadUs = nodeOverloadUs;
        return settings;
    }
}
