package holdproxy;

/**
 * Slow start of cold nodes. Every proxy admits the same growing set of keys to a cold node; hot keys and further
 * attempts are kept away from it. The load from all proxies still depends on the popularity of the admitted keys, so
 * each proxy also stays within its part of a request budget N: the load of a warm node, times the present capacity of
 * the cold node and the overload multiple at which nodes collapse.
 */
final class SlowStart {
    // Share of a cold node's capacity that the admitted keys may use right after its start. The rest is for cache
    // misses, each of which costs the node extra work.
    static final double INITIAL_KEY_SHARE = 0.4;
    // The token bucket for a cold node holds this share of the tokens that arrive in the overload window, but at
    // least two tokens, for proxies that send few requests to the node.
    private static final double BUCKET_SHARE = 0.25;
    private static final double MIN_BUCKET_TOKENS = 2;
    // The rate of warm nodes is computed again after this time or after a change of the node list.
    private static final long WARM_RATE_INTERVAL_US = 50_000;

    private final Router.Settings settings;
    private final Fleet fleet;
    private final DecayingValue keyedRequests;
    private final ArrivalRate arrivals;
    private final long proxySalt;
    private double warmRate;
    private long warmRateComputedAt = Long.MIN_VALUE / 2;

    SlowStart(
            Router.Settings settings, Fleet fleet, DecayingValue keyedRequests, ArrivalRate arrivals, long proxySalt) {
        this.settings = settings;
        this.fleet = fleet;
        this.keyedRequests = keyedRequests;
        this.arrivals = arrivals;
        this.proxySalt = proxySalt;
    }

    /** Discards what was computed from the previous node list. */
    void onNodeListChanged() {
        warmRateComputedAt = Long.MIN_VALUE / 2;
    }

    /** Returns whether the node has started so recently that it is still warming up. */
    boolean isCold(Backend node, long now) {
        return node.startedUs != Long.MIN_VALUE && now - node.startedUs < settings.coldPeriodUs;
    }

    /** Takes a token for an attempt that is sent to the node; does nothing for a warm node. */
    void spendToken(Backend node, long now) {
        node.coldTokens -= isCold(node, now) ? 1 : 0;
    }

    /** Returns whether the request may be sent to this node; always true for a warm node. */
    boolean admits(Backend node, InFlightRequest request, long key, long now) {
        if (!isCold(node, now)) {
            return true;
        } else if (request.isHotKey || request.attempts > 0) {
            return false;
        }
        double warmedShare = Math.max(0, (double) (now - node.startedUs) / settings.coldPeriodUs);
        double capacity = settings.coldCapacityShare + (1 - settings.coldCapacityShare) * warmedShare;
        double keyShare = INITIAL_KEY_SHARE + (1 - INITIAL_KEY_SHARE) * warmedShare;
        if (hashFraction(key, node.id) >= capacity * keyShare) {
            return false;
        }
        double budget = capacity * settings.nodeOverloadMultiple;
        return budget == 0
                || settings.nodeOverloadUs == 0
                || isSampled(node, request, key, budget, now) && hasToken(node, budget, now);
    }

    /** Returns a hash of a key and a node as a number from 0 (inclusive) to 1 (exclusive). */
    static double hashFraction(long key, int nodeId) {
        return Blue.toUnitInterval(Blue.mix(key + 31 * Blue.mix(nodeId)));
    }

    /**
     * Returns whether the key passes this proxy's own sampling. A proxy that has just started or receives few
     * requests cannot yet distinguish popular keys from others: a key whose load is d times a node's even share has
     * not been seen here with probability exp(-d * seen), where seen is this proxy's recent number of keyed requests
     * per node. Keys are therefore admitted with probability e * budget * seen, by a hash that differs between
     * proxies. Over all proxies, such a key then adds up to at most the budget, whatever d is.
     */
    private boolean isSampled(Backend node, InFlightRequest request, long key, double budget, long now) {
        double probability = Math.E * budget * keyedRequests.get(now) / fleet.readyCount;
        return request.key == 0 || probability >= 1 || hashFraction(key ^ proxySalt, node.id) < probability;
    }

    /**
     * Refills the token bucket for a cold node and returns whether it holds a token. A full bucket plus the tokens
     * that arrive in the overload window make up this proxy's part of N. All proxies together therefore stay within
     * N, except for the excess of proxies with so few requests that a single one exceeds their part.
     */
    private boolean hasToken(Backend node, double budget, long now) {
        double rate = budget * node.weight * warmRate(now) / (1 + BUCKET_SHARE);
        double maxTokens = Math.max(MIN_BUCKET_TOKENS, rate * settings.nodeOverloadUs * BUCKET_SHARE);
        long refilledAt = node.coldTokensRefilledAt == Long.MIN_VALUE ? now : node.coldTokensRefilledAt;
        node.coldTokens = Math.min(maxTokens, node.coldTokens + rate * (now - refilledAt));
        node.coldTokensRefilledAt = now;
        return node.coldTokens >= 1;
    }

    /**
     * Returns the recent rate at which warm nodes served this proxy, in requests per microsecond and unit of weight.
     * If there is no warm node, returns an even share of the rate at which requests arrive at this proxy.
     */
    private double warmRate(long now) {
        if (now - warmRateComputedAt >= WARM_RATE_INTERVAL_US) {
            double served = 0;
            double warmWeight = 0;
            double totalWeight = 0;
            for (int i = 0; i < fleet.readyCount; i++) {
                Backend node = fleet.ready[i];
                totalWeight += node.weight;
                if (!isCold(node, now)) {
                    served += node.servedAttempts.get(now);
                    warmWeight += node.weight;
                }
            }
            warmRateComputedAt = now;
            double evenShare = arrivals.perSecond(now) / 1e6 / totalWeight;
            warmRate = warmWeight > 0 ? served / arrivals.effectiveWindowUs(now) / warmWeight : evenShare;
        }
        return warmRate;
    }
}
