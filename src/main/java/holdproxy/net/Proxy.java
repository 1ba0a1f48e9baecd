package holdproxy.net;

import holdproxy.BadInput;
import holdproxy.Router;
import holdproxy.RoutingPolicy;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * The proxy on real sockets. It turns socket events into events of the {@link Router}, and the router's actions
 * into I/O. Both are handled on one thread, the event loop, so there are no locks and nothing there may block.
 */
public final class Proxy implements Router.Actions, NodeListListener {
    /** File descriptors reserved for the process itself: libraries, selector, listener and discovery. */
    private static final int RESERVED_DESCRIPTORS = 48;
    /** Limits the value bytes of all open write requests. */
    private static final long MAX_OPEN_VALUE_BYTES = 6L << 20;
    /** Limits the bytes of values that clients have announced and not sent completely yet. */
    private static final long MAX_ARRIVING_VALUE_BYTES = 4L << 20;
    /** Limits the undecoded bytes of all sessions, beyond what each session may buffer on its own. */
    private static final long MAX_SHARED_UNDECODED_BYTES = 1L << 20;
    /** Limits the open requests; the setting {@code caps.openCap} may limit them further. */
    private static final int MAX_OPEN_REQUESTS = 4096;
    /** How long the id of a request without a deadline is kept after its end. */
    private static final long MAX_ID_MEMORY_US = 60_000_000;
    /** The retry-after time of a request that the proxy refuses without asking the router. */
    private static final long DEFAULT_RETRY_AFTER_US = 500_000;
    /** Time for the transit of request and answer, since the client's wait starts when it sends the request. */
    private static final long TRANSIT_US = 5_000;
    /** A request that the router leaves unanswered for this long after it is due is failed by the proxy. */
    private static final long UNANSWERED_TIMEOUT_US = 15_000;
    /** A pause of the event loop that is longer than this is logged. */
    private static final long LOGGED_PAUSE_US = 50_000;
    /**
     * A pause of the event loop that is longer than this makes new attempts wait until pending input has been
     * read. An attempt must not start later than 0.1 s after its client disconnected; this is about a third of that.
     */
    private static final long CATCH_UP_PAUSE_US = 30_000;
    /** How long binding is retried: the previous process, with any settings, may still be answering requests. */
    static final long MAX_BIND_US = Drain.MAX_DURATION_US + 1_000_000;

    /** How long the exit waits for an event loop that does not run. SIGKILL comes sooner. */
    private static final long EXIT_WAIT_MS = 1000;

    private final Config config;
    private final ClientListener listener;
    private final Log log = new Log();
    private final EventLoop loop;
    /** The {@link System#nanoTime} at which the router's clock reads 0. */
    private final long clockOriginNanos = System.nanoTime();
    /** The Unix time in microseconds at which the router's clock reads 0. */
    private final long unixAtClockOriginUs;

    private final Command.Names names;
    private final ByteBudget arrivingBudget = new ByteBudget(MAX_ARRIVING_VALUE_BYTES);
    /** Undecoded bytes of sessions with many open requests, beyond what each session may buffer on its own. */
    final ByteBudget undecodedBudget = new ByteBudget(MAX_SHARED_UNDECODED_BYTES);

    /** Limits the decoding of one pass of the event loop. */
    final DecodeBudget decodeBudget;

    private final NodePools pools;
    final Discovery discovery;
    /** Membership among the proxies; null unless the configuration enables it. */
    final PeerLink peerLink;

    private final Router router;
    /** The open requests by their id: those not answered yet, and those with attempts still in flight. */
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    /** The opaque tokens that clients gave to the open requests. */
    private final Set<String> openOpaques = new HashSet<>();
    /** Those of ended requests that may have run and must not run twice. */
    private final RecentIds recentOpaques = new RecentIds();

    final Admission admission;
    /** Counts and logs the client connections that the proxy closes. */
    final CloseLog closeLog = new CloseLog(log);
    /** The memory of the answers that clients have not taken yet. */
    final UnwrittenAnswers unwrittenAnswers;

    final CatchUp catchUp;
    private final Router.Request request = new Router.Request();
    private final Router.LoadReport report = new Router.LoadReport();
    /** The ids of the nodes on the node list, draining ones included. */
    private final Set<Integer> listedNodes = new HashSet<>();
    /** Calls to the router that wait until the running one returns. */
    private final ArrayDeque<Runnable> pendingCalls = new ArrayDeque<>();

    private final Drain drain;
    /** Whether a call to the router is running. */
    private boolean inCall;

    private long nextRequestId = 1;
    private final LoopLag loopLag = new LoopLag();
    /** Value bytes of the open requests. */
    private long openValueBytes;
    /** Whether a client other than the warm-up has connected. */
    private boolean clientSeen;

    private Proxy(Config config, EventLoop loop) {
        this.config = config;
        this.loop = loop;
        listener = new ClientListener(config.listenAddress, loop, log, this::setUpConnection);
        unixAtClockOriginUs = System.currentTimeMillis() * 1000;
        int available = config.maxDescriptors - RESERVED_DESCRIPTORS;
        int maxSessions = available / 2;
        admission = new Admission(this, maxSessions, config.maxDescriptors / 4, loop);
        unwrittenAnswers = new UnwrittenAnswers(admission::sessions, log);
        drain = new Drain(config.settings, this::now, loop, log, listener, admission, this::endOpenRequests);
        catchUp = new CatchUp(loop);
        decodeBudget = new DecodeBudget(loop);
        names = new Command.Names(new HashMap<>(), new HashMap<>());
        for (int i = 0; i < config.settings.classes.length; i++) {
            names.classes().put(config.settings.classes[i].name, i);
        }
        for (int i = 0; i < config.settings.tenants.length; i++) {
            names.tenants().put(config.settings.tenants[i].name, i);
        }
        pools = new NodePools(this, config, loop, log, available - maxSessions - Admission.MAX_BEYOND_LIMIT);
        discovery = new Discovery(this, config, loop, log);
        peerLink = config.cluster == null ? null : new PeerLink(config, loop, log, this::now);
        // The router is created last: its constructor sets timers, and a proxy that cannot start because of an
        // invalid node list must not call any other process.
        router = new RoutingPolicy(config.settings, config.seed, now(), this);
    }

    /**
     * Starts a proxy that runs until SIGTERM. It is called on a thread other than the event loop and returns once
     * the proxy listens and the socket warm-up is over.
     *
     * @param env the environment variables
     * @throws BadInput if the configuration is invalid or the proxy cannot start
     */
    public static void serve(Map<String, String> env) {
        // Set explicitly, because Netty's search for other logging libraries would lengthen the start.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Config config = Config.load(env);
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Proxy proxy = create(config, loop);
        new Reload(env, proxy.log, proxy::reload).reloadOnSignal();
        // Registered before the proxy listens: clients that connect during the start must get their answers too.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            proxy.drain(Drain.ACCEPT_MS);
                            proxy.exit(() -> Runtime.getRuntime().halt(0));
                        },
                        "drain"));
        proxy.openWithWarmup();
    }

    /** Creates a proxy and opens it without any warm-up. */
    static Proxy start(Config config, EventLoop loop) {
        Proxy proxy = create(config, loop);
        proxy.open();
        return proxy;
    }

    /**
     * Creates a proxy on the event loop; it does not listen yet.
     *
     * @throws BadInput if the creation fails, for example because the node list in the configuration is malformed,
     *     or if the calling thread is interrupted
     */
    static Proxy create(Config config, EventLoop loop) {
        try {
            return loop.submit(() -> new Proxy(config, loop)).get();
        } catch (ExecutionException e) {
            throw new BadInput("failed to start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new BadInput("interrupted while starting");
        }
    }

    /**
     * Warms up the request path without sockets, listens, and then warms up the socket code until the first
     * client connects. That client is served at once, because its deadline may be shorter than the warm-up.
     */
    void openWithWarmup() {
        openWithWarmup(this::warmUpSockets);
    }

    /**
     * Warms up the request path without sockets and listens.
     *
     * @param afterListening run on the calling thread once the proxy listens; clients are served meanwhile
     */
    void openWithWarmup(Runnable afterListening) {
        try {
            loop.submit(() -> Warmup.run(this, config, names)).await();
        } catch (InterruptedException e) {
            throw new BadInput("interrupted while warming up");
        }
        if (open()) {
            afterListening.run();
        }
    }

    private void warmUpSockets() {
        try {
            int rounds = SocketWarmup.run(loop, address(), () -> !clientSeen);
            if (rounds < SocketWarmup.ROUNDS) {
                log.line("socket warm-up ended after " + rounds + " rounds");
            }
        } catch (InterruptedException e) {
            throw new BadInput("interrupted while warming up sockets");
        }
    }

    /**
     * Starts the timers and the discovery client and binds the listen address, retrying while it is in use.
     * Returns false if the proxy was told to drain before it could listen.
     */
    private boolean open() {
        try {
            loop.submit(this::startComponents).get();
            return listener.open(MAX_BIND_US);
        } catch (ExecutionException e) {
            throw new BadInput("failed to start: " + e.getCause().getMessage());
        } catch (InterruptedException e) {
            throw new BadInput("interrupted while opening the listener");
        }
    }

    /** Applies a new configuration that has been validated; only the address of discovery may change. */
    void reload(Config newConfig) {
        loop.execute(() -> discovery.moveTo(newConfig.discoveryAddress));
    }

    /** Starts the loop-lag timer, the discovery client and membership. */
    private void startComponents() {
        tick();
        discovery.deliverInitialList();
        if (!config.settings.requiresSubscription) {
            discovery.openWatch();
        }
        if (peerLink != null) {
            peerLink.open();
        }
    }

    /** Adds the handlers of a client connection. */
    private void setUpConnection(Channel connection) {
        Command.Decoder decoder = new Command.Decoder(names, arrivingBudget);
        connection.pipeline().addLast(decoder, new ClientSession(this, decoder));
        clientSeen |= !SocketWarmup.isOwnConnection((InetSocketAddress) connection.remoteAddress(), address());
    }

    /** The address to which the listener is bound. */
    InetSocketAddress address() {
        return listener.address();
    }

    /** Measures the lag of the event loop and schedules the next measurement. */
    private void tick() {
        long lateUs = loopLag.tick(now());
        if (lateUs > LOGGED_PAUSE_US) {
            log.line("event loop was blocked for " + lateUs / 1000 + " ms");
        }
        if (lateUs > CATCH_UP_PAUSE_US) {
            catchUp.begin();
        }
        loop.schedule(this::tick, LoopLag.PERIOD_US, TimeUnit.MICROSECONDS);
    }

    /**
     * Whether an attempt must not start yet, because the disconnect of a client that arrived during a pause of
     * the event loop may still be unread.
     *
     * @param caughtUp whether the attempt has already waited for that input to be read
     */
    boolean mustCatchUp(boolean caughtUp) {
        if (loopLag.overdueUs(now()) > CATCH_UP_PAUSE_US) {
            catchUp.begin();
            return true;
        }
        return !caughtUp && catchUp.isRunning();
    }

    /** The router's monotonic clock, in microseconds. */
    long now() {
        return (System.nanoTime() - clockOriginNanos) / 1000;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Both clocks are read only once, at the start, so that the same Unix time always gives the same result.
     */
    @Override
    public long toMonotonicUs(long unixMs) {
        return unixMs * 1000 - unixAtClockOriginUs;
    }

    /**
     * Runs a call to the router. Calls do not nest: if an action that the router requests during a call leads to
     * another call, that one is queued and runs after the current one returns. An exception is logged.
     */
    void callRouter(Runnable call) {
        pendingCalls.add(call);
        if (inCall) {
            return;
        }
        inCall = true;
        for (Runnable next = pendingCalls.poll(); next != null; next = pendingCalls.poll()) {
            try {
                next.run();
            } catch (RuntimeException | Error e) {
                StackTraceElement[] trace = e.getStackTrace();
                log.line("unexpected exception: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
            }
        }
        inCall = false;
    }

    // ---- client connections ----

    /** The session has no open request, and its answers have been written. */
    void onSessionIdle(ClientSession session) {
        admission.onIdle(session);
        if (drain.closesSessions()) {
            session.closeWhenAnswered(CloseReason.DRAIN);
        }
    }

    /** The connection of the session is closed. */
    void onSessionClosed(ClientSession session) {
        admission.onClosed(session);
        drain.onSessionClosed();
    }

    // ---- requests ----

    /**
     * Accepts a request and passes it to the router, or answers it with an error.
     *
     * @param decodeDelayUs how long the command was buffered undecoded, which counts towards the client's wait
     */
    void handleRequest(ClientSession session, AnswerQueue.Slot slot, Command command, long decodeDelayUs) {
        long now = now();
        if (isIdInUse(command)) {
            session.answer(slot, "CLIENT_ERROR the id is in use");
            return;
        }
        if (isAboutToExit()
                || exchanges.size() >= Math.min(MAX_OPEN_REQUESTS, config.settings.maxOpenRequests)
                || openValueBytes + command.valueBytes() > MAX_OPEN_VALUE_BYTES) {
            session.answer(slot, busyAnswer());
            return;
        }
        openOpaques.add(command.opaque);
        long classDeadlineUs = config.settings.classes[command.requestClass].deadlineUs;
        long waitUs = command.waitMs == Command.WAIT_NOT_STATED ? classDeadlineUs : command.waitMs * 1000L;
        // A client cannot keep a request open for longer than the deadline of its class.
        waitUs = classDeadlineUs > 0 ? Math.min(waitUs, classDeadlineUs) : waitUs;
        long reserveUs = TRANSIT_US + loopLag.reserveUs();
        long readDelayUs = Math.max(loopLag.blockedUs(now), decodeDelayUs);
        long dueUs = drain.latestDueUs(now + Math.max(waitUs / 2, waitUs - reserveUs) - readDelayUs);
        Exchange exchange = new Exchange(nextRequestId++, command, session, slot, dueUs);
        slot.open(exchange);
        exchanges.put(exchange.id, exchange);
        openValueBytes += command.valueBytes();
        exchange.overdueTimer = loop.schedule(
                () -> failUnanswered(exchange),
                Math.max(0, dueUs - now) + UNANSWERED_TIMEOUT_US,
                TimeUnit.MICROSECONDS);
        callRouter(() -> {
            command.copyTo(request);
            request.id = exchange.id;
            request.dueUs = exchange.dueUs;
            router.onRequest(now(), request, this);
        });
    }

    /** Whether the last answers have been given, so that requests are refused until the process exits. */
    boolean isAboutToExit() {
        return drain.refusesRequests(now());
    }

    /**
     * Whether another request has or had the id of this one. Clients use a new id for every request. With a duplicate,
     * a client could get the answer to another client's request, or a request could run twice. It must not be refused
     * either, since a refusal promises that the request did not run.
     */
    boolean isIdInUse(Command command) {
        return openOpaques.contains(command.opaque) || recentOpaques.contains(command.opaque, now());
    }

    /** Fails a request that the router has left unanswered. */
    private void failUnanswered(Exchange exchange) {
        if (!exchange.answered) {
            log.line("failing a request that the router left unanswered");
            answerFailed(exchange);
            callRouter(() -> router.onClientGone(now(), exchange.id, this));
        }
    }

    /**
     * Ends an open request before its time with a final answer, to free the memory of the answers that wait behind it
     * or because the process is about to exit. The answer is a refusal only if no cache node can have run the request.
     */
    void giveUp(Exchange exchange) {
        boolean mayHaveRun = exchange.attempts.stream().anyMatch(attempt -> attempt.writeStarted);
        onClientGone(exchange);
        exchange.session.answer(exchange.slot, mayHaveRun ? "SERVER_ERROR failed" : refusal());
    }

    /** The client of an open request has disconnected. */
    void onClientGone(Exchange exchange) {
        if (!exchange.answered) {
            markAnswered(exchange);
            // The settings may not allow the router to cancel attempts, but attempts that have not been started were
            // never sent and can always be withdrawn.
            exchange.attempts.stream()
                    .filter(a -> !a.ended && !a.writeStarted)
                    .toList()
                    .forEach(this::withdraw);
            callRouter(() -> router.onClientGone(now(), exchange.id, this));
        }
    }

    /** Marks the request as answered; this is called once for each request. */
    private void markAnswered(Exchange exchange) {
        exchange.answered = true;
        exchange.overdueTimer.cancel(false);
        removeIfDone(exchange);
    }

    /** Removes the request once it is answered and has no attempt in flight. */
    private void removeIfDone(Exchange exchange) {
        if (exchange.answered && exchange.attemptsInFlight == 0 && exchanges.remove(exchange.id) != null) {
            openValueBytes -= exchange.command.valueBytes();
            openOpaques.remove(exchange.command.opaque);
            rememberIfRepeatIsHarmful(exchange);
        }
    }

    /** A client that has left may come back until the deadline of the class, which covers all of its tries. */
    private void rememberIfRepeatIsHarmful(Exchange exchange) {
        Router.RequestClass requestClass = config.settings.classes[exchange.command.requestClass];
        if (requestClass.effect != Router.Effect.SAFE
                && exchange.attempts.stream().anyMatch(attempt -> attempt.mayHaveRun)) {
            long now = now();
            long keptUs = requestClass.deadlineUs > 0 ? requestClass.deadlineUs : MAX_ID_MEMORY_US;
            recentOpaques.add(exchange.command.opaque, now + keptUs, now);
        }
    }

    /** Logs that a request is refused for lack of capacity, and returns the answer line without its end. */
    String busyAnswer() {
        log.line("refusing a request: too many open requests, buffered bytes or connections");
        return refusal();
    }

    /** The answer line of a request that the proxy refuses without asking the router, without its end. */
    private String refusal() {
        Router.Settings settings = config.settings;
        // "busy" promises that the request did not run; it was not sent to any node.
        return busyAnswer(settings.maySendRetryAfter ? Math.min(DEFAULT_RETRY_AFTER_US, settings.maxRetryAfterUs) : 0);
    }

    /** The answer line of a refused request, with a retry-after time in milliseconds unless it is 0. */
    private String busyAnswer(long retryAfterUs) {
        return retryAfterUs > 0 ? "SERVER_ERROR busy " + Math.max(1, retryAfterUs / 1000) : "SERVER_ERROR busy";
    }

    private void answerFailed(Exchange exchange) {
        markAnswered(exchange);
        exchange.session.answer(exchange.slot, "SERVER_ERROR failed");
    }

    /**
     * An attempt has ended. The first successful one answers the client, and each is reported to the router.
     *
     * @param answer the node's answer; null if there was none
     */
    void onAttemptEnded(Attempt attempt, Router.Outcome outcome, Answer answer) {
        Exchange exchange = attempt.exchange;
        attempt.ended = true;
        attempt.mayHaveRun = attempt.written && !outcome.neverRan;
        attempt.timer.cancel(false);
        exchange.attemptsInFlight--;
        if (outcome == Router.Outcome.OK && !exchange.answered) {
            markAnswered(exchange);
            exchange.session.answer(exchange.slot, answer.encode());
        } else if (answer != null && answer.rejected && !exchange.answered) {
            // Every node would reject the request, so further attempts would only count as failures of nodes.
            markAnswered(exchange);
            exchange.session.answer(exchange.slot, "CLIENT_ERROR bad request");
        }
        removeIfDone(exchange);
        long now = now();
        Router.Outcome reported = endedByPause(attempt, outcome, now) ? Router.Outcome.CANCELLED : outcome;
        callRouter(() -> {
            if (answer != null) {
                answer.readLoadReport(report);
            } else {
                report.clear();
            }
            router.onOutcome(
                    now(),
                    exchange.id,
                    attempt.number,
                    reported,
                    now - attempt.sentUs,
                    exchange.answered,
                    answer == null ? Router.CacheStatus.NONE : answer.cacheStatus,
                    report,
                    this);
        });
    }

    /**
     * Whether the attempt timed out, or the node found its deadline expired, during a pause of the event loop.
     * That says nothing about the node or the load. If such attempts were reported as failures, a single pause
     * would make the router refuse requests for seconds.
     */
    private static boolean endedByPause(Attempt attempt, Router.Outcome outcome, long now) {
        return (outcome == Router.Outcome.TIMEOUT || outcome == Router.Outcome.OVERLOADED)
                && now - attempt.sentUs > attempt.waitUs + LoopLag.PERIOD_US;
    }

    /** Withdraws an attempt that has not been started; the router may choose another node for the request. */
    void withdraw(Attempt attempt) {
        abandon(attempt, Router.Outcome.NOT_SENT);
    }

    /** Ends an attempt that is still in flight with the given outcome. */
    private void abandon(Attempt attempt, Router.Outcome outcome) {
        if (!attempt.ended) {
            // A request that was not written completely cannot run, so the router may refuse it or send it to
            // another node.
            boolean neverRan = !attempt.connection.giveUp(attempt) && outcome == Router.Outcome.TIMEOUT;
            onAttemptEnded(attempt, neverRan ? Router.Outcome.CONNECT_FAILED : outcome, null);
        }
    }

    // ---- the node list ----

    @Override
    public void onNodeList(Router.NodeListEvent kind, List<NodeListEntry> entries) {
        Router.Node[] nodes = new Router.Node[entries.size()];
        Set<Integer> namedNodes = new HashSet<>();
        for (int i = 0; i < nodes.length; i++) {
            NodeListEntry entry = entries.get(i);
            nodes[i] = entry.node();
            namedNodes.add(entry.node().id);
            if (entry.node().state != Router.NodeState.GONE) {
                pools.put(entry.node().id, entry.name(), entry.address());
                listedNodes.add(entry.node().id);
            }
        }
        callRouter(() -> router.onNodeList(now(), kind, nodes, nodes.length, this));
        for (Router.Node node : nodes) {
            if (node.state != Router.NodeState.READY) {
                stopSending(node.id, node.state == Router.NodeState.GONE);
            }
        }
        if (kind == Router.NodeListEvent.FULL || kind == Router.NodeListEvent.CACHED) {
            for (Integer id : List.copyOf(listedNodes)) {
                if (!namedNodes.contains(id)) {
                    stopSending(id, true);
                }
            }
        }
    }

    /** The number of nodes on the node list, draining ones included; not to be called on the event loop. */
    int listedNodeCount() {
        return loop.submit(listedNodes::size).syncUninterruptibly().getNow();
    }

    /** Sends nothing more to a node that drains or has left the node list. */
    private void stopSending(int id, boolean gone) {
        pools.retire(id, gone);
        if (gone) {
            listedNodes.remove(id);
            // Also for a node that was never listed: its number would otherwise be kept forever.
            discovery.forget(id);
        }
    }

    // ---- actions of the router ----

    @Override
    public void send(long requestId, int nodeId, long timeoutUs) {
        Exchange exchange = exchanges.get(requestId);
        NodePool pool = pools.get(nodeId);
        if (exchange == null) {
            throw new IllegalStateException("the router sent an attempt of an unknown request");
        }
        long now = now();
        long untilDueUs = exchange.dueUs - now;
        long waitUs = timeoutUs != 0 ? Math.min(timeoutUs, untilDueUs) : untilDueUs;
        Attempt attempt = new Attempt(exchange, exchange.attempts.size(), now, waitUs);
        exchange.attempts.add(attempt);
        exchange.attemptsInFlight++;
        attempt.timer = loop.schedule(
                () -> abandon(attempt, Router.Outcome.TIMEOUT), Math.max(0, waitUs), TimeUnit.MICROSECONDS);
        if (exchange.answered || waitUs <= 0 || pool == null || attempt.number >= config.settings.maxAttempts) {
            onAttemptEnded(attempt, Router.Outcome.NOT_SENT, null);
        } else {
            pool.send(attempt);
        }
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.answered) {
            markAnswered(exchange);
            exchange.session.answer(exchange.slot, busyAnswer(retryAfterUs));
        }
    }

    @Override
    public void fail(long requestId) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.answered) {
            answerFailed(exchange);
        }
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && attempt < exchange.attempts.size()) {
            abandon(exchange.attempts.get(attempt), Router.Outcome.CANCELLED);
        }
    }

    @Override
    public void setTimer(long delayUs, long label) {
        loop.schedule(
                () -> callRouter(() -> router.onTimer(now(), label, this)),
                Math.max(0, delayUs),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(int nodeId) {
        // The router in use sends no probes. One that did would learn that its probe was not sent.
        callRouter(() -> {
            report.clear();
            router.onProbeResult(now(), nodeId, Router.Outcome.NOT_SENT, 0, report, this);
        });
    }

    @Override
    public void closeIdleConnections(int nodeId) {
        NodePool pool = pools.get(nodeId);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public void subscribe() {
        discovery.openWatch();
    }

    @Override
    public void fetchNodes() {
        discovery.fetch();
    }

    @Override
    public void sendToPeer(int routerIndex, byte[] data) {
        log.line("dropped a message of the router to other proxies: the settings do not enable such messages");
    }

    @Override
    public void log(String line) {
        log.line(line);
    }

    // ---- shutdown ----

    /**
     * Shuts down after SIGTERM; see {@link Drain}. Blocks until all connections are closed or the time for it is over.
     *
     * @param acceptMs how long the proxy accepts connections
     */
    void drain(long acceptMs) {
        loop.execute(() -> {
            log.line("draining: " + exchanges.size() + " requests open");
            if (peerLink != null) {
                peerLink.close();
            }
            drain.begin(acceptMs);
        });
        try {
            drain.awaitEnd();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Ends the process on the event loop, where no request can have been read that is not handled yet.
     *
     * @param halt ends the process; it is run on the calling thread if the event loop does not run for long
     */
    void exit(Runnable halt) {
        Future<?> exit = loop.submit(() -> {
            admission.sessions().forEach(session -> session.abort(CloseReason.DRAIN));
            closeLog.logCounts();
            halt.run();
        });
        if (!exit.awaitUninterruptibly(EXIT_WAIT_MS)) {
            halt.run();
        }
    }

    /** Gives every open request its final answer, because the process is about to exit. */
    private void endOpenRequests() {
        for (Exchange exchange : List.copyOf(exchanges.values())) {
            if (!exchange.answered) {
                giveUp(exchange);
            }
        }
    }
}
