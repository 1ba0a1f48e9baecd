package holdproxy.scale.virtual;

import holdproxy.scale.Experiment;
import holdproxy.scale.Measurement;
import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Base of the experiments on a simulated fleet: the inputs of its {@link FleetConfig} and shared calculations. */
abstract class VirtualExperiment implements Experiment {
    /** Requests a second at each proxy at the peak of the operators' plan. */
    static final double PEAK_REQUESTS_PER_S_PER_PROXY = 657.5;

    private final String name;
    private final String about;
    private final Map<String, String> inputs = new LinkedHashMap<>();

    VirtualExperiment(String name, String about) {
        this.name = name;
        this.about = about;
        FleetConfig defaults = new FleetConfig();
        addInput("proxies", "number of proxies (" + defaults.proxies + ")");
        addInput("nodes", "number of cache nodes (" + defaults.nodes + ")");
        addInput("thin", "divides the request rate and each node's cores, but not the number of proxies (1)");
        addInput("requestsPerS", "requests a second of all clients (the smaller of proxies x 657.5 and nodes x 5783)");
        addInput("nodeCores", "cores of a cache node before the division by thin (" + defaults.nodeCores + ")");
        addInput(
                "load",
                "share of the nodes' capacity in use under normal load (0.62 at 5783 requests a second a node)");
        addInput("zipf", "exponent of the Zipf-Mandelbrot distribution of the keys (" + defaults.zipfExponent + ")");
        addInput(
                "zipfOffset", "offset added to a key's rank in that distribution (" + (long) defaults.zipfOffset + ")");
        addInput("regions", "number of regions (" + defaults.regions + ")");
        addInput("zones", "number of zones (" + defaults.zones + ")");
        addInput(
                "otherRegionUs",
                "one-way delay between regions, microseconds (" + (long) defaults.otherRegionDelayUs + ")");
        addInput("listSpreadMs", "time over which a change of the list reaches the proxies, milliseconds (1000)");
        addInput("peerLoss", "share of the messages between proxies that are lost (" + defaults.peerLoss + ")");
        addInput(
                "peerDelayMs",
                "delay of a message between proxies, milliseconds (" + (long) defaults.peerDelayUs / 1000 + ")");
        addInput("callsPerS", "calls that discovery can answer a second (" + (long) defaults.callsPerS + ")");
    }

    /** Declares an input that a scenario may set. */
    final void addInput(String inputName, String meaning) {
        inputs.put(inputName, meaning);
    }

    @Override
    public final String name() {
        return name;
    }

    @Override
    public final String about() {
        return about;
    }

    @Override
    public final Map<String, String> inputs() {
        return inputs;
    }

    /** The fleet that a point of a scenario describes. */
    static FleetConfig readConfig(Scenario.Point point) {
        FleetConfig config = new FleetConfig();
        config.proxies = point.count("proxies", config.proxies);
        config.nodes = point.count("nodes", config.nodes);
        double thin = point.number("thin", 1);
        double peakPerNode = config.requestsPerS / new FleetConfig().nodes;
        double requestsPerS = point.number(
                "requestsPerS", Math.min(config.proxies * PEAK_REQUESTS_PER_S_PER_PROXY, config.nodes * peakPerNode));
        double cores = point.number("nodeCores", config.nodeCores);
        config.load = point.number(
                "load", config.load * requestsPerS / (config.nodes * peakPerNode * cores / config.nodeCores));
        config.requestsPerS = requestsPerS / thin;
        config.nodeCores = (int) Math.max(1, Math.round(cores / thin));
        config.zipfExponent = point.number("zipf", config.zipfExponent);
        config.zipfOffset = point.number("zipfOffset", config.zipfOffset);
        config.regions = point.count("regions", config.regions);
        config.zones = Math.max(config.regions, point.count("zones", config.zones));
        config.otherRegionDelayUs = point.number("otherRegionUs", config.otherRegionDelayUs);
        config.listSpreadUs = point.number("listSpreadMs", config.listSpreadUs / 1000) * 1000;
        config.peerLoss = point.number("peerLoss", config.peerLoss);
        config.peerDelayUs = point.number("peerDelayMs", config.peerDelayUs / 1000) * 1000;
        config.callsPerS = point.number("callsPerS", config.callsPerS);
        return config;
    }

    @Override
    public final Map<String, Measurement> run(Scenario.Point point, long seed, Progress progress) {
        Measurements out = new Measurements();
        run(point, seed, progress, out);
        return out.asMap();
    }

    /** Measures at one point and adds the results to {@code out}. */
    abstract void run(Scenario.Point point, long seed, Progress progress, Measurements out);

    /** How a simulated fleet differs from a real one. */
    static final List<String> DIFFERENCES = List.of(
            "no sockets: a proxy's processor time, and its waiting for a processor, take no virtual time",
            "an attempt that is given up closes its connection at once, and its node drops it if it is queued",
            "a restart is a kill: the proxy's clients have to retry, and the proxy serves again at once",
            "the origin never fails, and overloaded cache nodes stay up: their overload is counted only",
            "request work, round trips, hit share, queue and origin are assumptions, see FleetConfig");

    @Override
    public List<String> differences() {
        return DIFFERENCES;
    }

    /** The q-quantile of sorted values; 0 if there are none. */
    static double quantile(double[] sorted, double q) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, Math.ceil(q * sorted.length) - 1)];
    }

    /** Quotas of this many tenants in requests a second, above their request rates under normal load. */
    static double[] quotas(FleetConfig config, int tenants) {
        double[] quotas = ZipfSampler.shares(tenants, config.tenantZipfExponent, 0);
        for (int i = 0; i < tenants; i++) {
            quotas[i] *= config.requestsPerS * config.quotaMultiple;
        }
        return quotas;
    }

    /** The stream of all tenants' requests, in proportion to their quotas, at all proxies. */
    static Clients.RequestStream allTenantsStream(FleetConfig config, double[] quotas) {
        int[] tenants = new int[quotas.length];
        for (int i = 0; i < tenants.length; i++) {
            tenants[i] = i;
        }
        return new Clients.RequestStream(tenants, quotas, config.requestsPerS, 0, config.proxies);
    }
}
