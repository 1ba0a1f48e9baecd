package holdproxy.scale.virtual;

import holdproxy.Router;
import holdproxy.RoutingPolicy;

/**
 * A simulated proxy without sockets: it runs the real routing policy, counts its connections to the cache nodes and
 * calls the simulated discovery.
 */
final class SimulatedProxy implements Router.Actions {
    /** Longest message that the routing policy may send to another proxy. */
    static final int MAX_MESSAGE_BYTES = 256;
    /** Bytes that the headers of IPv4 and UDP add to a message. */
    static final int MESSAGE_HEADER_BYTES = 28;

    final int index;
    final int zone;
    private final Simulation simulation;
    private final EventClock clock;
    private final Router.Settings settings;
    private final ConnectionPool[] pools;
    private final Router.LoadReport emptyReport = new Router.LoadReport();
    private final Router.Request routerRequest = new Router.Request();
    private Router router;
    private int generation;
    boolean running;
    /** Version of the node list that the routing policy holds. */
    int listVersion;
    /** The latest call for a watch that has not failed; null if there is none. */
    DiscoveryCall watch;
    /** Time of the latest start of the process. */
    long startedUs;
    /** Tries that clients have sent. */
    long requests;
    /** Attempts at cache nodes. */
    long attempts;
    /** Tries that the routing policy has refused. */
    long refusals;
    /** Tries that the routing policy has answered with a failure. */
    long failures;
    /** Tries that the routing policy had not answered when their time ended. */
    long unanswered;
    /** Calls to discovery, for lists and watches. */
    long listCalls;
    /** Bytes of messages sent to other proxies, headers included. */
    long peerBytesSent;
    /** Bytes of messages received from other proxies, headers included. */
    long peerBytesReceived;
    /** Lines that the routing policy has logged. */
    long logLines;

    SimulatedProxy(Simulation simulation, int index, Router.Settings settings) {
        this.simulation = simulation;
        this.index = index;
        this.settings = settings;
        clock = simulation.clock;
        zone = simulation.config.zoneOfProxy(index);
        pools = new ConnectionPool[simulation.nodes.length];
        for (int i = 0; i < pools.length; i++) {
            pools[i] = new ConnectionPool(clock, simulation.nodes[i], simulation.config);
        }
    }

    /** Generation of the process, counted by kills: timers, tries and calls of an earlier one are ignored. */
    int generation() {
        return generation;
    }

    /** Starts a process with a new routing policy, which receives the current node list as its cached list. */
    void start(long seed) {
        running = true;
        startedUs = clock.now();
        router = new RoutingPolicy(settings, seed, clock.now(), this);
        listVersion = simulation.discovery.version();
        Router.Node[] list = simulation.discovery.list();
        router.onNodeList(clock.now(), Router.NodeListEvent.CACHED, list, list.length, this);
        if (!settings.requiresSubscription) {
            // Where an agent pushes the lists, the real data path subscribes without a request of the policy.
            subscribe();
        }
    }

    /** Kills the process: its watch ends, its idle connections close, and its open tries are ignored from now on. */
    void kill() {
        generation++;
        running = false;
        simulation.discovery.dropWatch(this);
        for (ConnectionPool pool : pools) {
            pool.closeIdle();
        }
    }

    /** The connections to a cache node. */
    ConnectionPool pool(int node) {
        return pools[node];
    }

    /** Draws the one-way delay of a message to a cache node. */
    long delayToUs(CacheNode node) {
        return simulation.network.delayUs(zone, node.zone);
    }

    // ---- requests ----

    /** Handles a client's try, which has just arrived. */
    void receive(ClientTry clientTry) {
        requests++;
        ClientRequest request = clientTry.request;
        routerRequest.id = clientTry.id;
        routerRequest.requestClass = request.requestClass;
        routerRequest.tenant = request.tenant;
        routerRequest.key = request.key;
        routerRequest.dueUs = clientTry.dueUs;
        routerRequest.isClientRetry = request.issuedUs != clock.now();
        // The first two classes of FleetConfig are reads, the others writes.
        routerRequest.isWrite = request.requestClass >= 2;
        router.onRequest(clock.now(), routerRequest, this);
    }

    @Override
    public void send(long request, int node, long timeoutUs) {
        ClientTry clientTry = requireTry(request);
        attempts++;
        int number = clientTry.attemptCount;
        Attempt attempt = new Attempt(clientTry, number, simulation.nodes[node], pools[node], clock.now());
        if (number >= clientTry.attempts.length) {
            throw new IllegalStateException("the routing policy made more attempts than maxAttempts allows");
        }
        clientTry.attempts[clientTry.attemptCount++] = attempt;
        if (clientTry.answered || clock.now() >= clientTry.dueUs) {
            clock.scheduleAfter(0, () -> endAttempt(attempt, Router.Outcome.NOT_SENT, Router.CacheStatus.NONE));
            return;
        }
        if (timeoutUs > 0) {
            clock.scheduleAfter(timeoutUs, () -> giveUp(attempt, Router.Outcome.TIMEOUT));
        }
        if (attempt.pool.takeIdle()) {
            transmit(attempt);
        } else {
            dial(attempt);
        }
    }

    private void dial(Attempt attempt) {
        CacheNode node = attempt.node;
        if (!simulation.network.canReach(zone, node.zone)) {
            clock.scheduleAfter(
                    settings.dialTimeoutUs,
                    () -> endAttempt(attempt, Router.Outcome.CONNECT_FAILED, Router.CacheStatus.NONE));
            return;
        }
        long oneWayUs = delayToUs(node);
        clock.scheduleAfter(oneWayUs, () -> {
            attempt.nodeGeneration = node.generation();
            boolean accepted = node.acceptConnection(() -> clock.scheduleAfter(
                    (2L * simulation.config.handshakeRoundTrips - 1) * oneWayUs, () -> onConnected(attempt)));
            if (!accepted) {
                clock.scheduleAfter(
                        oneWayUs, () -> endAttempt(attempt, Router.Outcome.CONNECT_FAILED, Router.CacheStatus.NONE));
            }
        });
    }

    /** Uses a new connection for its attempt, or keeps it idle if the attempt has ended meanwhile. */
    private void onConnected(Attempt attempt) {
        attempt.pool.addOpened();
        if (attempt.clientTry.proxyGeneration != generation) {
            attempt.pool.close(attempt.nodeGeneration);
        } else if (attempt.pending) {
            transmit(attempt);
        } else {
            attempt.pool.release();
        }
    }

    private void transmit(Attempt attempt) {
        attempt.connected = true;
        attempt.nodeGeneration = attempt.node.generation();
        if (!simulation.network.canReach(zone, attempt.node.zone)) {
            return; // No answer comes back, and the attempt ends with its time-out.
        }
        clock.scheduleAfter(delayToUs(attempt.node), () -> {
            if (attempt.node.up && attempt.nodeGeneration == attempt.node.generation()) {
                attempt.node.receive(attempt);
            } else {
                onAnswer(attempt, Router.Outcome.RESET, Router.CacheStatus.NONE);
            }
        });
    }

    /** Handles a node's answer or a reset; it is dropped if the proxy has restarted or cannot reach the node. */
    void onAnswer(Attempt attempt, Router.Outcome outcome, Router.CacheStatus cacheStatus) {
        if (attempt.clientTry.proxyGeneration != generation || !simulation.network.canReach(zone, attempt.node.zone)) {
            return;
        }
        endAttempt(attempt, outcome, cacheStatus);
    }

    private void giveUp(Attempt attempt, Router.Outcome outcome) {
        if (attempt.clientTry.proxyGeneration == generation) {
            endAttempt(attempt, outcome, Router.CacheStatus.NONE);
        }
    }

    /** Ends a pending attempt: releases or closes its connection and reports the outcome to the routing policy. */
    private void endAttempt(Attempt attempt, Router.Outcome outcome, Router.CacheStatus cacheStatus) {
        if (!attempt.pending || attempt.clientTry.proxyGeneration != generation) {
            return;
        }
        attempt.pending = false;
        if (attempt.connected) {
            // A connection is reused only after a complete answer.
            if (outcome == Router.Outcome.OK
                    || outcome == Router.Outcome.OVERLOADED
                    || outcome == Router.Outcome.ERROR) {
                attempt.pool.release();
            } else {
                attempt.pool.close(attempt.nodeGeneration);
            }
        }
        ClientTry clientTry = attempt.clientTry;
        boolean firstAnswer = outcome == Router.Outcome.OK && !clientTry.answered;
        if (firstAnswer) {
            clientTry.answered = true;
            simulation.clients.tryServed(clientTry);
        }
        router.onOutcome(
                clock.now(),
                clientTry.id,
                attempt.number,
                outcome,
                clock.now() - attempt.sentUs,
                clientTry.answered,
                cacheStatus,
                emptyReport,
                this);
    }

    /**
     * Handles the end of a try's time. Attempts that are still pending time out; a try that the routing policy has not
     * answered even then is counted as unanswered and fails.
     */
    void expire(ClientTry clientTry) {
        if (clientTry.proxyGeneration != generation) {
            return;
        }
        for (int i = 0; i < clientTry.attemptCount; i++) {
            endAttempt(clientTry.attempts[i], Router.Outcome.TIMEOUT, Router.CacheStatus.NONE);
        }
        if (!clientTry.answered) {
            unanswered++;
            clientTry.answered = true;
            router.onClientGone(clock.now(), clientTry.id, this);
            simulation.clients.tryFailed(clientTry);
        }
    }

    /** Resets the try's pending attempts on open connections to a node that has stopped. */
    void resetAttempts(ClientTry clientTry, CacheNode node) {
        for (int i = 0; i < clientTry.attemptCount; i++) {
            Attempt attempt = clientTry.attempts[i];
            if (attempt.node == node && attempt.pending && attempt.connected) {
                clock.scheduleAfter(
                        delayToUs(node), () -> onAnswer(attempt, Router.Outcome.RESET, Router.CacheStatus.NONE));
            }
        }
    }

    /** The open try with this id; any other id is a fault of the routing policy. */
    private ClientTry requireTry(long request) {
        ClientTry clientTry = simulation.clients.findTry(request);
        if (clientTry == null || clientTry.proxy != this || clientTry.proxyGeneration != generation) {
            throw new IllegalStateException(
                    "the routing policy acted on request " + request + ", which is not open at proxy " + index);
        }
        return clientTry;
    }

    @Override
    public void refuse(long request, long retryAfterUs) {
        ClientTry clientTry = requireTry(request);
        if (!clientTry.answered) {
            clientTry.answered = true;
            refusals++;
            clock.scheduleAfter(0, () -> simulation.clients.tryRefused(clientTry, retryAfterUs));
        }
    }

    @Override
    public void fail(long request) {
        ClientTry clientTry = requireTry(request);
        if (!clientTry.answered) {
            clientTry.answered = true;
            failures++;
            clock.scheduleAfter(0, () -> simulation.clients.tryFailed(clientTry));
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        ClientTry clientTry = requireTry(request);
        Attempt cancelled = clientTry.attempts[attempt];
        clock.scheduleAfter(0, () -> giveUp(cancelled, Router.Outcome.CANCELLED));
    }

    @Override
    public void setTimer(long delayUs, long label) {
        int timerGeneration = generation;
        clock.scheduleAfter(delayUs, () -> {
            if (timerGeneration == generation) {
                router.onTimer(clock.now(), label, this);
            }
        });
    }

    @Override
    public void probe(int node) {
        throw new IllegalStateException("probes are not simulated");
    }

    @Override
    public void closeIdleConnections(int node) {
        pools[node].closeIdle();
    }

    // ---- discovery ----

    @Override
    public void subscribe() {
        listCalls++;
        simulation.discovery.call(this, true);
    }

    @Override
    public void fetchNodes() {
        listCalls++;
        simulation.discovery.call(this, false);
    }

    /** Passes a node list or the failure of a call to discovery on to the routing policy. */
    void receiveList(Router.NodeListEvent kind, Router.Node[] list, int newVersion) {
        if (kind == Router.NodeListEvent.DELTA || kind == Router.NodeListEvent.FULL) {
            listVersion = Math.max(listVersion, newVersion);
            simulation.discovery.recordReceipt(this);
        }
        router.onNodeList(clock.now(), kind, list, list.length, this);
    }

    // ---- peers ----

    @Override
    public void sendToPeer(int to, byte[] data) {
        if (!settings.mayMessagePeers || data.length > MAX_MESSAGE_BYTES) {
            throw new IllegalStateException(
                    data.length + " bytes to another proxy: the message is too long, or messages are disabled");
        }
        byte[] copy = data.clone();
        if (to == ALL_PEERS) {
            for (SimulatedProxy proxy : simulation.proxies) {
                sendToPeer(proxy, copy);
            }
        } else if (to >= 0 && to < simulation.proxies.length) {
            sendToPeer(simulation.proxies[to], copy);
        }
    }

    private void sendToPeer(SimulatedProxy to, byte[] data) {
        if (to == this) {
            return;
        }
        peerBytesSent += data.length + MESSAGE_HEADER_BYTES;
        if (simulation.network.canReach(zone, to.zone)
                && simulation.peerRandom.nextDouble() >= simulation.config.peerLoss) {
            clock.scheduleAfter(
                    simulation.network.addJitterUs(simulation.config.peerDelayUs),
                    () -> to.receiveFromPeer(index, data));
        }
    }

    private void receiveFromPeer(int from, byte[] data) {
        if (running) {
            peerBytesReceived += data.length + MESSAGE_HEADER_BYTES;
            router.onPeerMessage(clock.now(), from, data, this);
        }
    }

    @Override
    public void log(String line) {
        logLines++;
    }
}
