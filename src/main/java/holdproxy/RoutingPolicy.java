package holdproxy;

import java.util.Arrays;

// The interface with its types, events and actions is declared in Router.java.

/**
 * The routing decisions of holdproxy. Each proxy runs stochastic fair BLUE as described in "FAIR: Allocating
 * Resources Fairly at Scale" (M. Sathe), and chooses between two hashed candidate nodes per key. Comments state where
 * and under which conditions the code departs from FAIR. All times are in microseconds.
 */
public final class RoutingPolicy implements Router {
    // A node's ejection probability decays to 1/e in this time, if the proxy sends it enough requests.
    static final double NODE_DECAY_US = 5e6;
    // A proxy with few requests rarely sends one to a given node, so the decay time spans at least about this many.
    static final double NODE_DECAY_REQUESTS = 2;
    // Maximum of that decay time.
    static final double MAX_NODE_DECAY_US = 60e6;
    // Weight of a time-out or late answer, which is weaker evidence against a node than a broken connection, an error
    // or a full queue.
    static final double WEAK_EVIDENCE_WEIGHT = 0.5;
    // Minimum of Pi for a node. Pi, BLUE's increase step for a failure, is adapted to the request rate as a tenant's
    // is. With a minimum of 0.1, every node was passed over when one connection in seven broke.
    static final double MIN_NODE_PI = 0.005;
    // Maximum of Pi for a node.
    static final double MAX_NODE_PI = 0.8;
    // Pi is chosen so that a node whose attempts all fail reaches the maximum probability in this many seconds.
    static final double NODE_FILL_TIME_S = 3;
    // Pd, the decrease step for a success, is this share of Pi.
    static final double NODE_PD_SHARE_OF_PI = 0.2;
    // Approximate share of all requests that go on to the origin; it only sets the steps of the origin's probability.
    static final double ORIGIN_TRAFFIC_SHARE = 0.1;
    // Weight of a failure of the origin. The origin serves every proxy, so its refusal probability has to be in
    // equilibrium when about a sixth of the fetches fail, not when half of them fail.
    static final double ORIGIN_FAILURE_WEIGHT = 3;
    // Number of candidate nodes for a key.
    static final int CANDIDATES = 2;
    // Number of nodes ranked for a key: nodes after the first two replace candidates that fail, are cold or have been
    // tried.
    static final int RANKED_NODES = 6;
    // Smallest difference of attempts in flight that counts as a difference in load. A difference of one or two is
    // random: if it decided, a key would alternate between its candidates and be cached by both, which halves the
    // fleet's memory.
    static final int MIN_LOAD_DIFFERENCE = 5;
    // With equally many attempts in flight, the second candidate is chosen if the first one's share of busy cores is
    // higher by this.
    static final double MIN_BUSY_SHARE_DIFFERENCE = 0.2;
    // A reported share of busy cores decays to 1/e in this time.
    static final double BUSY_SHARE_DECAY_US = 10e6;
    // A key can only be hot if its decayed count of earlier requests is at least this.
    static final double MIN_HOT_KEY_COUNT = 0.3;
    // A key is hot if it alone would make up this share of a node's even share of requests.
    static final double HOT_KEY_NODE_SHARE = 0.5;
    // A count of keys decays to 1/e in this time.
    static final double KEY_COUNT_DECAY_US = 20e6;
    // Buckets per level of the table that counts keys.
    static final int KEY_COUNT_BUCKETS = 256;
    // Amount that a successful attempt adds to the retry budget, on which further attempts and hedged requests draw.
    static final double RETRY_BUDGET_PER_SUCCESS = 0.1;
    // Maximum of the retry budget.
    static final double MAX_RETRY_BUDGET = 10;
    // The retry budget at the start.
    static final double INITIAL_RETRY_BUDGET = 1;
    // Cost of a further attempt after a broken connection or a rejection. After a broken connection, at most one node
    // has worked on the request, without being able to answer; after a rejection, none has. Such an attempt therefore
    // amplifies load only a little. At the full cost, these attempts would use up the budget where one connection in
    // seven breaks or where half the nodes reject a tenant. A further attempt after one that reached no node amplifies
    // nothing and is free.
    static final double UNPROCESSED_RETRY_COST = 0.25;
    // Cost of a hedged request. It exceeds that of another attempt, as the hedge may be unnecessary and usually
    // causes a miss at the second node.
    static final double HEDGE_COST = 5;
    // A hedged request is sent when the usual latency is exceeded, but no earlier and no later than these shares of
    // the latency target.
    static final double MIN_HEDGE_DELAY_SHARE = 0.3;
    static final double MAX_HEDGE_DELAY_SHARE = 0.6;
    // The adaptive idle time-out is the configured one divided by e to the power of the reduction. A failure adds
    // this step to the reduction, and a successful use of a connection that was idle subtracts it.
    static final double IDLE_REDUCTION_STEP = 1;
    // Maximum of the reduction. It keeps the time-out above the usual idle time of connections in use: at 12 the
    // time-out fell to 0.2 ms, so that no idle connection was reused and the time-out could not recover.
    static final double MAX_IDLE_REDUCTION = 4;
    // The reduction decays to 1/e in this time.
    static final double IDLE_REDUCTION_DECAY_US = 60e6;
    // A node that refuses a connection but answers on another one within this time has reached its connection limit;
    // one that does not answer is down. When nodes that were down also reduced the idle time-out, 15 of them caused a
    // new connection for each request.
    static final long CONNECTION_LIMIT_WINDOW_US = 2_000_000;
    // Minimum time between log lines.
    static final long LOG_INTERVAL_US = 20_000_000;
    static final String LOG_FORMAT = "%s: origin chance %.2f, failures running %.0f, list calls failed %d";
    // Maximum number of attempts per request, whatever the settings allow.
    static final int MAX_ATTEMPTS = 8;
    // Kinds of timers: the low three bits of a timer label. The other bits hold the request id.
    static final int TIMER_SUBSCRIBE = 0;
    static final int TIMER_HEDGE = 1;

    private final Settings settings;
    private final int attemptLimit;
    private final SplitMix64 random;
    private final TenantAdmission tenantAdmission;
    /** Decaying count of requests by key, approximate. */
    private final Blue keyCounts;

    /** Decaying count of all requests with a key. */
    private final DecayingValue keyedRequests = new DecayingValue(KEY_COUNT_DECAY_US);

    private final DiscoveryPacing discoveryPacing;
    private final SlowStart slowStart;
    private double retryBudget = INITIAL_RETRY_BUDGET;
    private final ArrivalRate arrivals;
    private final double minUtility;
    /** Moving average of the ejection probability of the nodes that attempts were sent to. */
    private double meanEjectionProbability;

    /** Time before which no further line is logged. */
    private long nextLogAt = Long.MIN_VALUE;

    /** Moving average of the latency of successful reads. */
    private double meanLatencyUs;

    /** Moving average of the absolute deviation from that latency. */
    private double latencyDeviationUs;

    private final LongMap<InFlightRequest> openRequests = new LongMap<>();
    private final Fleet fleet;
    /** Probability with which a request is not sent on to the origin: a BLUE value. */
    private final DecayingValue originRefusalProbability = new DecayingValue(NODE_DECAY_US);

    /** Reduction of the idle time-out, as the exponent of e. */
    private final DecayingValue idleReduction = new DecayingValue(IDLE_REDUCTION_DECAY_US);

    /**
     * Creates a router and sets its first timer if it has to subscribe to the node list.
     *
     * @param settings the settings, which must not change afterwards
     * @param seed determines all random decisions
     * @param nowUs the current time on the caller's clock
     * @param actions receives the router's actions
     * @throws IllegalArgumentException if a router cannot work with the settings
     */
    public RoutingPolicy(Settings settings, long seed, long nowUs, Actions actions) {
        settings.validate();
        this.settings = settings;
        attemptLimit = Math.min(MAX_ATTEMPTS, settings.maxAttempts);
        random = new SplitMix64(seed);
        long liveSeed = random.nextLong();
        long shadowSeed = random.nextLong();
        keyCounts = new Blue(TenantAdmission.LEVELS, KEY_COUNT_BUCKETS, KEY_COUNT_DECAY_US, random.nextLong());
        long firstRotationAt =
                nowUs + (long) (TenantAdmission.ROTATION_INTERVAL_US * (0.5 + 0.5 * random.nextDouble()));
        tenantAdmission = new TenantAdmission(settings, random, liveSeed, shadowSeed, firstRotationAt);
        arrivals = new ArrivalRate(nowUs);
        fleet = new Fleet(settings);
        slowStart = new SlowStart(settings, fleet, keyedRequests, arrivals, random.nextLong());
        discoveryPacing = new DiscoveryPacing(settings, random);
        minUtility = Math.max(
                1e-6,
                Arrays.stream(this.settings.classes)
                        .mapToDouble(c -> c.utility)
                        .min()
                        .orElse(1));
        if (settings.requiresSubscription) {
            actions.setTimer(discoveryPacing.firstDelayUs(), TIMER_SUBSCRIBE);
        }
    }

    // ---- the node list ----

    @Override
    public void onNodeList(long now, NodeListEvent event, Node[] entries, int count, Actions actions) {
        if (event == NodeListEvent.FAILED || event == NodeListEvent.SILENT) {
            logState(now, "node list call failed", actions);
            actions.setTimer(discoveryPacing.recordFailure(now, event), TIMER_SUBSCRIBE);
            return;
        }
        discoveryPacing.recordList(event);
        fleet.apply(event, entries, count);
        slowStart.onNodeListChanged();
    }

    // ---- arrival and admission by tenant ----

    @Override
    public void onRequest(long now, Request request, Actions actions) {
        int tenant = tenantAdmission.validIndex(request.tenant);
        tenantAdmission.recordArrival(tenant, request.isClientRetry, now);
        arrivals.recordArrival(now);
        double probability = tenantAdmission.refusalProbability(tenant, now);
        if (probability > 0 && random.nextDouble() < probability) {
            logState(now, "refusing requests", actions);
            actions.refuse(request.id, retryAfterUs(probability));
            return;
        }
        tenantAdmission.recordAdmission(tenant, now);
        int classIndex = Math.max(0, Math.min(request.requestClass, settings.classes.length - 1));
        InFlightRequest inFlight = new InFlightRequest(request, settings.classes[classIndex], tenant, now);
        openRequests.put(inFlight.id, inFlight);
        if (inFlight.key != 0) {
            keyCounts.add(inFlight.key, 1, Double.MAX_VALUE, now);
            keyedRequests.count(now);
        }
        sendFirstAttempt(inFlight, now, actions);
    }

    /** Logs the state for operators, at most once per log interval. */
    private void logState(long now, String reason, Actions actions) {
        if (now >= nextLogAt) {
            nextLogAt = now + LOG_INTERVAL_US;
            double consecutiveFailures = tenantAdmission.consecutiveFailures();
            actions.log(String.format(
                    LOG_FORMAT,
                    reason,
                    originRefusalProbability.get(now),
                    consecutiveFailures,
                    discoveryPacing.failedCalls()));
        }
    }

    /** Returns the retry-after time in microseconds: longer for a higher refusal probability; 0 where not allowed. */
    private long retryAfterUs(double refusalProbability) {
        return settings.maySendRetryAfter ? (long) (settings.maxRetryAfterUs * Math.max(0.2, refusalProbability)) : 0;
    }

    // ---- choosing a node ----

    /** Sends the first attempt of an admitted request and sets the timer for a hedged request. */
    private void sendFirstAttempt(InFlightRequest request, long now, Actions actions) {
        if (settings.usesCacheAside && request.isWrite) {
            sendToOrigin(request, now, actions);
        } else {
            send(request, chooseNode(request, now), now, actions);
        }
        if (!request.isConcluded && settings.mayHedge) {
            double targetUs = request.requestClass.targetUs;
            double delayUs = Math.max(
                    MIN_HEDGE_DELAY_SHARE * targetUs,
                    Math.min(MAX_HEDGE_DELAY_SHARE * targetUs, meanLatencyUs + 4 * latencyDeviationUs));
            actions.setTimer((long) delayUs, request.id << 3 | TIMER_HEDGE);
        }
    }

    /**
     * Returns the first of the key's two candidates, or the second if it is clearly less loaded; null if no node may
     * be used.
     */
    private Backend chooseNode(InFlightRequest request, long now) {
        long key = request.key != 0 ? request.key : random.nextLong();
        int pairs = request.key != 0 ? candidatePairs(request.key, now) : 1;
        request.isHotKey = pairs > 1;
        if (pairs > 1) {
            key ^= (long) (random.nextDouble() * pairs) << 48;
        }
        Backend[] ranked = fleet.rankNodes(key, RANKED_NODES);
        Backend best = null;
        int candidates = 0;
        for (int i = 0; i < ranked.length && ranked[i] != null && candidates < CANDIDATES; i++) {
            Backend node = ranked[i];
            boolean mayUse = !request.hasTried(node) && mayResend(request, node, now);
            if (mayUse && slowStart.admits(node, request, key, now) && !isEjected(node, key, now)) {
                best = candidates++ == 0 || isLessLoaded(request, node, best, now) ? node : best;
            }
        }
        return best;
    }

    /**
     * Returns whether the second candidate is clearly less loaded or, for a write, saves a handshake. It compares this
     * proxy's attempts in flight; with few requests per proxy these are mostly equal, and then the load reports decide.
     */
    private boolean isLessLoaded(InFlightRequest request, Backend second, Backend first, long now) {
        int fewer = first.inFlight - second.inFlight;
        if (request.isWrite
                && Math.abs(fewer) < MIN_LOAD_DIFFERENCE
                && hasIdleConnection(second, now) != hasIdleConnection(first, now)) {
            // Caches do not keep written values, so a write gains nothing from its key's first node, while a
            // handshake takes a part of its latency target.
            return hasIdleConnection(second, now);
        }
        return fewer >= MIN_LOAD_DIFFERENCE
                || fewer == 0 && first.busyShare.get(now) > second.busyShare.get(now) + MIN_BUSY_SHARE_DIFFERENCE;
    }

    /** Returns whether a connection to the node is known to be idle, as no attempt is in flight on any. */
    private boolean hasIdleConnection(Backend node, long now) {
        return node.inFlight == 0
                && node.idleSince != Long.MIN_VALUE
                && now - node.idleSince <= adaptiveIdleTimeoutUs(now);
    }

    /**
     * Returns the number of candidate pairs over which to spread a key: 1, except for a hot key, which alone would
     * overload its nodes.
     */
    private int candidatePairs(long key, long now) {
        double keyedCount = keyedRequests.get(now);
        // without this request and without the expected number of hash collisions
        double earlierCount = keyCounts.min(key, now) - 1 - keyedCount / KEY_COUNT_BUCKETS;
        double pairs = earlierCount < MIN_HOT_KEY_COUNT
                ? 1
                : 1 + earlierCount / keyedCount * fleet.readyCount / HOT_KEY_NODE_SHARE;
        return (int) Math.min(fleet.readyCount, pairs);
    }

    /**
     * Outlier ejection: returns whether to pass the node over for this key. The probability is the excess of the
     * node's ejection probability over the mean m of the other nodes, divided by 1 - m. It stays below 1 so that the
     * node still gets some trial requests. If all nodes are slow, moving a key to another node gains nothing and costs
     * a fetch. A hash of key and node decides instead of a random number, so that all proxies move the same keys first
     * and each is cached in only one other place.
     */
    private boolean isEjected(Backend node, long key, long now) {
        double own = node.ejectionProbability.get(now);
        double others = own > 0 ? fleet.meanEjectionProbabilityWithout(node, now) : 0;
        double excess = (own - others) / (1 - others);
        return excess > 0 && Blue.toUnitInterval(Blue.mix(key - 31 * Blue.mix(node.id))) < excess;
    }

    /** Returns the origin server with the fewest attempts in flight; null if there is none. */
    private Backend leastLoadedOrigin() {
        Backend best = null;
        for (Backend origin : fleet.origins) {
            if (best == null || origin.inFlight < best.inFlight) {
                best = origin;
            }
        }
        return best;
    }

    // ---- attempts ----

    /** Returns whether a further attempt at this node now cannot repeat the request's effect. */
    private boolean mayResend(InFlightRequest request, Backend node, long now) {
        RequestClass requestClass = request.requestClass;
        if (requestClass.effect == Effect.SAFE || request.mayHaveRunMask == 0) {
            return true;
        }
        if (requestClass.effect == Effect.UNSAFE) {
            return false;
        }
        int first = Integer.numberOfTrailingZeros(request.mayHaveRunMask);
        // The attempt may have to wait for a connection and must still arrive within the window.
        if (now - request.sentAt[first]
                >= requestClass.deduplicationWindowUs - 2 * settings.tickUs - settings.dialTimeoutUs) {
            return false;
        }
        Backend firstNode = request.nodes[first];
        return switch (requestClass.deduplicationScope) {
            case ALL -> true;
            case ZONE -> firstNode.zone == node.zone;
            case CELL -> firstNode.cell == node.cell;
        };
    }

    /** Returns whether the request may be refused, which tells the client that sending it again is harmless. */
    private boolean mayRefuse(InFlightRequest request) {
        return request.requestClass.effect == Effect.SAFE
                || request.mayHaveRunMask == 0
                || request.requestClass.effect == Effect.KEYED
                        && request.requestClass.deduplicationScope == DeduplicationScope.ALL;
    }

    /**
     * Returns the time at which waiting becomes useless: the due time, or the latency target if late answers earn
     * nothing.
     */
    private long giveUpAt(InFlightRequest request) {
        return request.requestClass.lateUtilityShare > 0
                ? request.dueAt
                : Math.min(request.dueAt, request.arrivedAt + request.requestClass.targetUs - 2 * settings.tickUs);
    }

    /**
     * Sends the next attempt to the node; without node, time or attempts left, ends the request if none is in flight.
     */
    private void send(InFlightRequest request, Backend node, long now, Actions actions) {
        long remainingUs = giveUpAt(request) - now;
        if (node == null || remainingUs <= 0 || request.attempts >= attemptLimit) {
            if (request.inFlightMask == 0) {
                refuseOrFail(request, now, actions); // otherwise an attempt in flight may still bring the answer
            }
            return;
        }
        if (node.idleSince != Long.MIN_VALUE && now - node.idleSince > adaptiveIdleTimeoutUs(now)) {
            closeIdleConnections(node, actions);
        }
        request.idledUs[request.attempts] = node.idleSince != Long.MIN_VALUE ? now - node.idleSince : -1;
        slowStart.spendToken(node, now);
        request.recordSend(node, now);
        actions.send(request.id, node.id, giveUpAt(request) < request.dueAt ? remainingUs : 0);
    }

    /** Returns the adaptive idle time-out in microseconds, after which an idle connection is not reused. */
    private double adaptiveIdleTimeoutUs(long now) {
        return settings.idleTimeoutUs * Math.exp(-idleReduction.get(now));
    }

    /**
     * Updates the adaptive idle time-out after an attempt. Two kinds of failure shorten it: no answer on a connection
     * that was idle and has been dropped by the network unnoticed, and a node that answers but accepts no new
     * connection, since idle ones use up its connection limit. The first is detected in {@link #onTimer}. A connection
     * that would exceed the time-out before its next use is closed at once, which leaves room for others; if
     * handshakes are penalized, only after such failures have been seen.
     */
    private void updateIdleTimeout(InFlightRequest request, int attempt, Outcome outcome, long now, Actions actions) {
        Backend node = request.nodes[attempt];
        double timeoutUs = adaptiveIdleTimeoutUs(now);
        if (outcome == Outcome.NOT_SENT) {
            return; // no connection was used
        }
        if (fleet.isOrigin(node)) {
            return; // all proxies share the origin, and handshakes cost most while it is slow
        }
        if (outcome == Outcome.CONNECT_FAILED) {
            node.connectFailedAt = now;
        } else if (outcome == Outcome.RESET) {
            node.idleSince = Long.MIN_VALUE;
        } else {
            if (outcome == Outcome.OK && request.idledUs[attempt] > timeoutUs / 4) {
                idleReduction.add(-IDLE_REDUCTION_STEP, MAX_IDLE_REDUCTION, now);
            }
            if (outcome == Outcome.OK && node.connectFailedAt != Long.MIN_VALUE) {
                idleReduction.add(
                        now - node.connectFailedAt < CONNECTION_LIMIT_WINDOW_US ? IDLE_REDUCTION_STEP : 0,
                        MAX_IDLE_REDUCTION,
                        now);
                node.connectFailedAt = Long.MIN_VALUE;
            }
            node.idleSince = now;
            boolean closesEarly = settings.handshakePenalty == 0 || timeoutUs < settings.idleTimeoutUs / 2.0;
            if (outcome == Outcome.TIMEOUT
                    || closesEarly && fleet.readyCount / arrivals.perSecond(now) * 1e6 > timeoutUs) {
                closeIdleConnections(node, actions);
            }
        }
    }

    /** Closes the proxy's idle connections to the node. */
    private static void closeIdleConnections(Backend node, Actions actions) {
        node.idleSince = Long.MIN_VALUE;
        actions.closeIdleConnections(node.id);
    }

    /**
     * Sends the next attempt to the origin, or ends the request with a probability that follows the origin's
     * failures.
     */
    private void sendToOrigin(InFlightRequest request, long now, Actions actions) {
        double probability = originRefusalProbability.get(now);
        // Raising the probability to the power of the class's relative utility refuses the most useful classes last.
        boolean isRefused = probability > 0
                && random.nextDouble() < Math.pow(probability, request.requestClass.utility / minUtility);
        Backend origin = isRefused ? null : leastLoadedOrigin();
        // An attempt before the cache miss may have run.
        origin = origin == null || mayResend(request, origin, now) ? origin : null;
        request.isSentToOrigin |= origin != null;
        send(request, origin, now, actions);
    }

    /**
     * Sends a further attempt if the retry budget covers its cost. The budget is earned by successful attempts, so
     * that retries do not amplify an overload. An attempt while another one is in flight is a hedged request.
     */
    private void retry(InFlightRequest request, double cost, long now, Actions actions) {
        boolean toOrigin = settings.usesCacheAside && request.isWrite;
        cost = request.inFlightMask != 0 ? HEDGE_COST : cost;
        boolean mayRetry =
                retryBudget >= cost && giveUpAt(request) > now && (request.inFlightMask == 0 || settings.mayHedge);
        Backend node = !mayRetry || request.attempts >= attemptLimit
                ? null
                : toOrigin ? leastLoadedOrigin() : chooseNode(request, now);
        if (node == null || !mayResend(request, node, now)) {
            send(request, null, now, actions);
            return;
        }
        retryBudget -= cost;
        if (toOrigin) {
            sendToOrigin(request, now, actions);
        } else {
            send(request, node, now, actions);
        }
    }

    /** Gives the request its final answer without a success: a refusal if that is allowed, otherwise a failure. */
    private void refuseOrFail(InFlightRequest request, long now, Actions actions) {
        if (request.isConcluded) {
            return;
        }
        if (mayRefuse(request)) {
            actions.refuse(request.id, retryAfterUs(tenantAdmission.refusalProbability(request.tenant, now)));
        } else {
            actions.fail(request.id);
        }
        conclude(request, actions);
    }

    /** Marks the request as concluded, cancels its attempts in flight if allowed, and forgets it if there are none. */
    private void conclude(InFlightRequest request, Actions actions) {
        for (int i = 0; i < request.attempts && settings.mayCancel && !request.isConcluded; i++) {
            if (request.isInFlight(i)) {
                actions.cancel(request.id, i);
            }
        }
        request.isConcluded = true;
        if (request.inFlightMask == 0) {
            openRequests.remove(request.id);
        }
    }

    // ---- outcomes ----

    @Override
    public void onOutcome(
            long now,
            long requestId,
            int attempt,
            Outcome outcome,
            long latencyUs,
            boolean isAnswered,
            CacheStatus cacheStatus,
            LoadReport report,
            Actions actions) {
        InFlightRequest request = openRequests.get(requestId);
        if (request == null || !request.isInFlight(attempt)) {
            return;
        }
        Backend node = request.nodes[attempt];
        request.recordEnd(attempt, outcome.neverRan);
        updateIdleTimeout(request, attempt, outcome, now, actions);
        if (report.busyShare >= 0) {
            node.busyShare.set(report.busyShare, now);
        }
        boolean isOrigin = fleet.isOrigin(node);
        if (outcome == Outcome.OK || outcome == Outcome.MISS) {
            node.servedAttempts.count(now);
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
            updateEstimates(request, node, isOrigin, outcome, cacheStatus, latencyUs, now);
        }
        if (request.isConcluded || isAnswered) {
            conclude(request, actions);
        } else if (outcome == Outcome.MISS) {
            sendToOrigin(request, now, actions);
        } else if (isOrigin && !request.isWrite) {
            send(request, null, now, actions);
        } else {
            boolean isUnprocessed = outcome == Outcome.RESET || outcome.neverRan;
            boolean reachedNoNode = outcome == Outcome.CONNECT_FAILED || outcome == Outcome.NOT_SENT;
            retry(request, reachedNoNode ? 0 : isUnprocessed ? UNPROCESSED_RETRY_COST : 1, now, actions);
        }
    }

    /** Updates the estimates of the origin, the node and the tenant from the outcome of an attempt. */
    private void updateEstimates(
            InFlightRequest request,
            Backend node,
            boolean isOrigin,
            Outcome outcome,
            CacheStatus cacheStatus,
            long latencyUs,
            long now) {
        boolean isSuccess = outcome == Outcome.OK || outcome == Outcome.MISS;
        boolean isLate = isSuccess && now - request.arrivedAt > request.requestClass.targetUs;
        // An error answer may lack the cache status. A slow error is taken for a failed fetch from the origin, since
        // a node that fails by itself does so at once.
        boolean isSlowError = outcome == Outcome.ERROR
                && cacheStatus == CacheStatus.NONE
                && latencyUs > request.requestClass.targetUs;
        boolean isFetch = !settings.usesCacheAside
                && !request.isWrite
                && (cacheStatus == CacheStatus.MISS || cacheStatus == CacheStatus.MISS_FETCHING || isSlowError);
        if (isOrigin || isFetch) {
            boolean hasFailed = !isSuccess || isFetch && latencyUs > request.requestClass.targetUs;
            applyStep(
                    originRefusalProbability,
                    hasFailed,
                    arrivals.perSecond(now) * ORIGIN_TRAFFIC_SHARE,
                    ORIGIN_FAILURE_WEIGHT,
                    now);
        }
        if (!isOrigin && (isSuccess || !isFetch)) {
            boolean isLateHit = latencyUs > request.requestClass.targetUs && !isFetch;
            recordNodeOutcome(
                    node,
                    !isSuccess || isLateHit,
                    outcome == Outcome.TIMEOUT || outcome == Outcome.OK ? WEAK_EVIDENCE_WEIGHT : 1,
                    now);
        }
        if (outcome == Outcome.OK && !request.isWrite) {
            latencyDeviationUs += (Math.abs(latencyUs - meanLatencyUs) - latencyDeviationUs) / 8;
            meanLatencyUs += (latencyUs - meanLatencyUs) / 8;
        }
        if (outcome == Outcome.OK) {
            retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRY_BUDGET_PER_SUCCESS);
        }
        if (!request.isConcluded) {
            boolean hasFailed = isLate
                    || outcome == Outcome.TIMEOUT
                    || outcome == Outcome.OVERLOADED
                    || outcome == Outcome.ERROR && !settings.usesCacheAside;
            if (!isOrigin && (hasFailed || outcome == Outcome.OK)) {
                tenantAdmission.recordAttempt(hasFailed);
            }
            // A failure counts less against the tenant if the origin already fails, or if the node fails more than
            // others do. The latter does not spare tenants whose quota ratio is above the mean.
            boolean isAboveMeanQuota = tenantAdmission.isAboveMeanQuotaRatio(request.tenant, now);
            double otherCause = isOrigin || isFetch
                    ? originRefusalProbability.get(now)
                    : isAboveMeanQuota ? 0 : node.ejectionProbability.get(now) - meanEjectionProbability;
            double blameShare = 1 - Math.max(0, otherCause);
            meanEjectionProbability +=
                    (node.ejectionProbability.get(now) - meanEjectionProbability) * TenantAdmission.MEAN_SAMPLE_WEIGHT;
            tenantAdmission.recordOutcome(request, hasFailed, outcome == Outcome.OK, blameShare, now);
        }
    }

    /** Applies a BLUE step to the node's ejection probability and adapts its decay time to the request rate. */
    private void recordNodeOutcome(Backend node, boolean isFailure, double weight, long now) {
        double rate = arrivals.perSecond(now) / Math.max(1, fleet.readyCount);
        applyStep(node.ejectionProbability, isFailure, rate, weight, now);
        node.ejectionProbability.setDecayUs(
                Math.max(NODE_DECAY_US, Math.min(MAX_NODE_DECAY_US, NODE_DECAY_REQUESTS / rate * 1e6)));
    }

    /** Applies BLUE's increase or decrease step to a single value; the step is larger at lower request rates. */
    private static void applyStep(DecayingValue probability, boolean isFailure, double rate, double weight, long now) {
        double step = Math.max(MIN_NODE_PI, Math.min(MAX_NODE_PI, 1 / (rate * NODE_FILL_TIME_S + 1e-9)));
        probability.add(isFailure ? step * weight : -step * NODE_PD_SHARE_OF_PI, TenantAdmission.MAX_PROBABILITY, now);
    }

    // ---- streams, disconnects and timers ----

    @Override
    public void onStreamStarted(long now, long requestId, int attempt, Actions actions) {
        InFlightRequest request = openRequests.get(requestId);
        if (request != null) {
            request.isConcluded = true; // the caller passes the stream on: no further attempts and no other answer
        }
    }

    @Override
    public void onClientGone(long now, long requestId, Actions actions) {
        InFlightRequest request = openRequests.get(requestId);
        if (request != null && !request.isConcluded) {
            conclude(request, actions);
        }
    }

    @Override
    public void onTimer(long now, long label, Actions actions) {
        int timerKind = (int) label & 7;
        InFlightRequest request = timerKind == TIMER_SUBSCRIBE ? null : openRequests.get(label >>> 3);
        if (timerKind == TIMER_SUBSCRIBE && discoveryPacing.beginCall(now)) {
            actions.subscribe();
        } else if (request == null || request.isConcluded) {
            return;
        } else if (timerKind == TIMER_HEDGE
                && request.inFlightMask != 0
                && request.isWrite
                && request.isSentToOrigin
                && request.attempts == 1) {
            // A write still in flight at this time shows a slow origin. Waiting for its time-out would be too late.
            applyStep(
                    originRefusalProbability,
                    true,
                    arrivals.perSecond(now) * ORIGIN_TRAFFIC_SHARE,
                    ORIGIN_FAILURE_WEIGHT * WEAK_EVIDENCE_WEIGHT,
                    now);
        } else if (timerKind == TIMER_HEDGE && request.inFlightMask != 0 && !request.isSentToOrigin) {
            // The slowness counts against the node now, as a node whose hedged requests succeed elsewhere would never
            // be blamed. It counts in full only if the node gets few requests from this proxy. With many, full steps
            // would move keys to other nodes, and the resulting fetches would overload the origin.
            double weight = Math.max(WEAK_EVIDENCE_WEIGHT, Math.min(1, fleet.readyCount / arrivals.perSecond(now)));
            int first = Integer.numberOfTrailingZeros(request.inFlightMask);
            Backend slowNode = request.nodes[first];
            // The hedge may be due only because the latency target is close to the usual latency.
            boolean isUnusual = now - request.arrivedAt >= meanLatencyUs + 4 * latencyDeviationUs;
            if (isUnusual && request.idledUs[first] > settings.idleTimeoutUs * Math.exp(-MAX_IDLE_REDUCTION) / 4) {
                idleReduction.add(IDLE_REDUCTION_STEP, MAX_IDLE_REDUCTION, now);
                closeIdleConnections(slowNode, actions);
            }
            recordNodeOutcome(
                    slowNode,
                    true,
                    weight * Math.min(1, request.waitShare(now - request.arrivedAt) / MIN_HEDGE_DELAY_SHARE),
                    now);
            retry(request, HEDGE_COST, now, actions);
        }
    }
}
