package holdproxy.scale.virtual;

import holdproxy.DiscoveryTiming;
import holdproxy.Router;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.SplittableUniformRandomProvider;

/**
 * The simulated discovery service. It answers calls one at a time at a limited rate, keeps watches, sends each change
 * to each proxy after a delay of its own, and can be down, silent or cut off from a region. The byte counts follow the
 * list format of the discovery protocol.
 */
final class DiscoveryService {
    /** A call that is not answered for this long fails. The real proxy makes a second call beside it before that. */
    static final long CALL_TIMEOUT_US = DiscoveryTiming.MAX_CALL_WAIT_US;
    /** A call whose connection is not open after this long fails. */
    static final long CONNECT_TIMEOUT_US = 2_000_000;
    /** Size of one entry of a list. */
    static final int ENTRY_BYTES = 125;
    /** Size of a list without its entries. */
    static final int LIST_OVERHEAD_BYTES = 45;
    /** Size of the header of a request or of an answer. */
    static final int HEADER_BYTES = 160;
    /** Size of an empty line that keeps a watch alive. */
    static final int EMPTY_LINE_BYTES = 6;
    /** The zone in which discovery runs. */
    private static final int DISCOVERY_ZONE = 0;

    private static final Router.Node[] NO_NODES = {};

    /** UP: calls are answered; DOWN: connections are refused; SILENT: nothing is answered. */
    enum ServiceState {
        UP,
        DOWN,
        SILENT
    }

    /** A version of the list with the entries that it changed. */
    private record Change(int version, Router.Node[] entries, long publishedUs) {}

    private final Simulation simulation;
    private final EventClock clock;
    private final SplittableUniformRandomProvider random;
    private final Router.Node[] list;
    private final List<Change> changes = new ArrayList<>();
    private final ArrayDeque<DiscoveryCall> queue = new ArrayDeque<>();
    /** Whether a call is being handled at present. */
    private boolean handlingCall;

    private ServiceState state = ServiceState.UP;
    private int version = 1;

    /** Calls received. */
    long calls;
    /** Calls answered. */
    long answers;
    /** Calls and watches that failed. */
    long failures;
    /** Bytes of requests, answers and lists, without the empty lines on watches. */
    long listBytes;
    /** Largest number of calls in one second of the clock since a measurement last reset it. */
    long peakCallsPerS;

    private long currentSecond = -1;
    private long callsThisSecond;
    /** Time at which each proxy received the current version; -1 if it has not. All are 0 before the first change. */
    final long[] receivedUs;

    DiscoveryService(Simulation simulation, SplittableUniformRandomProvider random) {
        this.simulation = simulation;
        this.random = random;
        clock = simulation.clock;
        list = new Router.Node[simulation.nodes.length];
        receivedUs = new long[simulation.config.proxies];
        for (int i = 0; i < list.length; i++) {
            list[i] = entry(simulation.nodes[i]);
        }
    }

    private static Router.Node entry(CacheNode node) {
        Router.Node entry = new Router.Node();
        entry.id = node.id;
        entry.zone = node.zone;
        entry.cell = node.id / 4;
        entry.state = node.state;
        entry.startedUs = node.startedUs;
        return entry;
    }

    /** The current entries of all nodes; the array changes with each published change. */
    Router.Node[] list() {
        return list;
    }

    /** The current version of the list, counted from 1. */
    int version() {
        return version;
    }

    // ---- changes ----

    /**
     * Publishes the present state of these nodes as a new version. If the service is up, every proxy that watches
     * receives it after a delay of its own.
     */
    void publish(CacheNode... nodes) {
        version++;
        Router.Node[] entries = new Router.Node[nodes.length];
        for (int i = 0; i < nodes.length; i++) {
            entries[i] = entry(nodes[i]);
            list[nodes[i].id] = entries[i];
        }
        changes.add(new Change(version, entries, clock.now()));
        java.util.Arrays.fill(receivedUs, -1);
        if (state != ServiceState.UP) {
            return;
        }
        long minDelayUs = (long) (simulation.config.listMinDelayUs * (1 + random.nextDouble()));
        for (SimulatedProxy proxy : simulation.proxies) {
            long delayUs = minDelayUs + (long) (random.nextDouble() * simulation.config.listSpreadUs);
            clock.scheduleAfter(delayUs, () -> sendChange(proxy));
        }
    }

    private void sendChange(SimulatedProxy proxy) {
        if (proxy.running
                && proxy.watch != null
                && proxy.watch.established
                && state == ServiceState.UP
                && !isCutOff(proxy)) {
            sendMissing(proxy, false);
        }
    }

    /**
     * Sends a proxy all changes since its version, or the whole list if it is not longer than the changes.
     *
     * @param evenIfEmpty whether an empty change is sent if the proxy's list is current
     */
    private void sendMissing(SimulatedProxy proxy, boolean evenIfEmpty) {
        int missingVersions = version - proxy.listVersion;
        if (missingVersions == 0) {
            if (evenIfEmpty) {
                proxy.receiveList(Router.NodeListEvent.DELTA, NO_NODES, version);
            }
            return;
        }
        List<Router.Node> entries = new ArrayList<>();
        for (Change change : changes.subList(Math.max(0, changes.size() - missingVersions), changes.size())) {
            entries.addAll(List.of(change.entries));
        }
        boolean sendsWholeList = entries.size() >= list.length;
        Router.Node[] sent = sendsWholeList ? list : entries.toArray(NO_NODES);
        listBytes += LIST_OVERHEAD_BYTES + (long) sent.length * ENTRY_BYTES;
        proxy.receiveList(sendsWholeList ? Router.NodeListEvent.FULL : Router.NodeListEvent.DELTA, sent, version);
    }

    /** Records the time at which a proxy first holds the current version. */
    void recordReceipt(SimulatedProxy proxy) {
        if (proxy.listVersion == version && receivedUs[proxy.index] < 0) {
            receivedUs[proxy.index] = clock.now();
        }
    }

    private boolean isCutOff(SimulatedProxy proxy) {
        return !simulation.network.canReach(proxy.zone, DISCOVERY_ZONE);
    }

    // ---- calls ----

    /** Handles a proxy's call for the whole list, or for a watch if {@code isWatch} is true. */
    void call(SimulatedProxy proxy, boolean isWatch) {
        calls++;
        listBytes += HEADER_BYTES;
        long nowS = clock.now() / 1_000_000;
        callsThisSecond = nowS == currentSecond ? callsThisSecond + 1 : 1;
        currentSecond = nowS;
        peakCallsPerS = Math.max(peakCallsPerS, callsThisSecond);
        DiscoveryCall call = new DiscoveryCall(proxy, isWatch);
        if (isWatch) {
            proxy.watch = call;
        }
        if (isCutOff(proxy)) {
            clock.scheduleAfter(CONNECT_TIMEOUT_US, () -> failCall(call, Router.NodeListEvent.FAILED));
            return;
        }
        if (state == ServiceState.DOWN) {
            clock.scheduleAfter(1000, () -> failCall(call, Router.NodeListEvent.FAILED));
            return;
        }
        clock.scheduleAfter(CALL_TIMEOUT_US, () -> {
            if (!call.established) {
                failCall(call, Router.NodeListEvent.SILENT);
            }
        });
        if (state == ServiceState.UP) {
            clock.scheduleAfter(1000, () -> {
                queue.add(call);
                handleNextCall();
            });
        }
    }

    /** Starts on the next queued call unless one is being handled. */
    private void handleNextCall() {
        if (handlingCall || state != ServiceState.UP) {
            return;
        }
        DiscoveryCall call = queue.poll();
        while (call != null && (call.finished || call.proxyGeneration != call.proxy.generation())) {
            call = queue.poll();
        }
        if (call == null) {
            return;
        }
        handlingCall = true;
        DiscoveryCall next = call;
        clock.scheduleAfter((long) (1e6 / simulation.config.callsPerS), () -> {
            handlingCall = false;
            answer(next);
            handleNextCall();
        });
    }

    private void answer(DiscoveryCall call) {
        if (call.finished
                || call.proxyGeneration != call.proxy.generation()
                || state != ServiceState.UP
                || isCutOff(call.proxy)) {
            return;
        }
        answers++;
        call.established = true;
        listBytes += HEADER_BYTES;
        if (!call.isWatch) {
            call.finished = true;
            listBytes += LIST_OVERHEAD_BYTES + (long) list.length * ENTRY_BYTES;
            call.proxy.receiveList(Router.NodeListEvent.FULL, list, version);
        } else {
            sendMissing(call.proxy, true);
        }
    }

    /** Ends a call or watch as a failure of the given kind. */
    private void failCall(DiscoveryCall call, Router.NodeListEvent failure) {
        if (call.finished || call.proxyGeneration != call.proxy.generation()) {
            return;
        }
        call.finished = true;
        call.established = false;
        failures++;
        if (call.proxy.watch == call) {
            call.proxy.watch = null;
        }
        call.proxy.receiveList(failure, NO_NODES, 0);
    }

    /** Drops the watch of a proxy that has been killed. */
    void dropWatch(SimulatedProxy proxy) {
        proxy.watch = null;
    }

    // ---- faults ----

    /** Changes the state of the service. DOWN breaks all watches; SILENT lets them run into the proxies' time-out. */
    void setState(ServiceState newState) {
        state = newState;
        if (newState == ServiceState.UP) {
            handlingCall = false;
            handleNextCall();
            return;
        }
        queue.clear();
        for (SimulatedProxy proxy : simulation.proxies) {
            DiscoveryCall watch = proxy.watch;
            if (watch != null && watch.established) {
                if (newState == ServiceState.DOWN) {
                    clock.scheduleAfter(1000, () -> failCall(watch, Router.NodeListEvent.FAILED));
                } else {
                    scheduleSilenceTimeout(watch);
                }
            }
        }
    }

    /** Lets the watches of all proxies that cannot reach discovery any more run into the proxies' time-out. */
    void silenceCutOffWatches(int region) {
        for (SimulatedProxy proxy : simulation.proxies) {
            DiscoveryCall watch = proxy.watch;
            if (watch != null && watch.established && isCutOff(proxy)) {
                scheduleSilenceTimeout(watch);
            }
        }
    }

    /** Schedules the time-out of a watch that goes silent now; its latest empty line came up to 2 s ago. */
    private void scheduleSilenceTimeout(DiscoveryCall watch) {
        long sinceEmptyLineUs = (long) (random.nextDouble() * DiscoveryTiming.EMPTY_LINE_INTERVAL_US);
        clock.scheduleAfter(
                DiscoveryTiming.WATCH_SILENCE_US - sinceEmptyLineUs,
                () -> failCall(watch, Router.NodeListEvent.SILENT));
    }

    /** Bytes a second of the empty lines on one open watch; {@link #listBytes} leaves these out. */
    static double emptyLineBytesPerS() {
        return EMPTY_LINE_BYTES * 1e6 / DiscoveryTiming.EMPTY_LINE_INTERVAL_US;
    }
}
