package holdproxy;

import java.util.Arrays;

/**
 * Admission of requests by tenant with stochastic fair BLUE: a live and a shadow table of refusal probabilities, and
 * the weight with which a failure counts against its tenant. FAIR is the paper that {@link RoutingPolicy} names.
 */
final class TenantAdmission {
    // FAIR hashes a tenant to one bucket in each level. There are about as many buckets per level as tenants, b. If
    // h tenants fail, another tenant shares all its buckets with failing ones with a probability of at most (h/b)^3.
    // Each bucket takes 36 bytes in each table, over its three levels.
    static final int LEVELS = 3;
    private static final int MIN_BUCKETS = 64;
    private static final int MAX_BUCKETS = 1 << 14;
    // Minimum of Pi, the increase step for a failure, which is adapted to the tenant's request rate. With a minimum
    // of 0.04, failures of 1% at 100 requests per second outpaced the decay and filled a bucket.
    private static final double MIN_PI = 0.002;
    // Pd, the decrease step for a success, is this share of Pi, as in FAIR.
    private static final double PD_SHARE_OF_PI = 0.01;
    // Pi is chosen so that a tenant whose requests all fail fills its buckets in this many seconds.
    private static final double FILL_TIME_S = 2.5;
    // Maximum of Pi.
    private static final double MAX_PI = 0.8;
    // A refusal probability decays to 1/e in this time, so that a refused tenant is admitted again within seconds.
    private static final double DECAY_US = 10e6;
    // The tables rotate, with a new hash seed, at this interval. It spans several decay times, so that by then the
    // shadow table has learnt what the live table knows.
    static final long ROTATION_INTERVAL_US = 60_000_000;
    // This many requests are added to both sides of a quota ratio, so that a ratio of small counts stays near 1.
    private static final double QUOTA_SMOOTHING_REQUESTS = 3;
    // A tenant's quota ratio multiplies the weight of a failure by at most this.
    private static final double MAX_QUOTA_WEIGHT = 4;
    // Weight of a new sample in the moving averages.
    static final double MEAN_SAMPLE_WEIGHT = 1.0 / 64;
    // An overloaded fleet recovers only at a fraction of its load. This many consecutive failures without a success
    // count as one unit of overload evidence.
    private static final double OVERLOAD_FAILURES = 3;
    // Maximum of the overload evidence.
    private static final double MAX_OVERLOAD_EVIDENCE = 4;
    // While failures continue, probabilities decay up to this many times more slowly, since the trial requests of
    // many proxies keep a fleet overloaded.
    private static final double MAX_DECAY_FACTOR = 8;
    // Maximum of any probability, so that some trial requests always get through.
    static final double MAX_PROBABILITY = 0.98;

    private final Router.Settings settings;
    private final SplitMix64 random;
    private Blue live;
    private Blue shadow;
    private long nextRotationAt;
    /** Decaying number of requests that arrived, by tenant, without retries by clients. */
    private final DecayingValue[] arrivalsByTenant;

    /** Decaying number of requests that were admitted, by tenant. */
    private final DecayingValue[] admissionsByTenant;

    private final boolean hasQuotas;

    /** Moving average of the quota ratio over arriving requests. */
    private double meanQuotaRatio = 1;

    private double consecutiveFailures;

    TenantAdmission(Router.Settings settings, SplitMix64 random, long liveSeed, long shadowSeed, long nextRotationAt) {
        this.settings = settings;
        this.random = random;
        this.nextRotationAt = nextRotationAt;
        int buckets = bucketCount(settings.tenants.length);
        live = new Blue(LEVELS, buckets, DECAY_US, liveSeed);
        shadow = new Blue(LEVELS, buckets, DECAY_US, shadowSeed);
        hasQuotas = Arrays.stream(this.settings.tenants).anyMatch(t -> t.quotaPerS > 0);
        arrivalsByTenant = DecayingValue.createArray(Math.max(1, settings.tenants.length), ArrivalRate.WINDOW_US);
        admissionsByTenant = DecayingValue.createArray(arrivalsByTenant.length, ArrivalRate.WINDOW_US);
    }

    /** Returns the number of buckets per level for this many tenants: a power of two within fixed limits. */
    static int bucketCount(int tenantCount) {
        int wanted = Math.max(MIN_BUCKETS, Math.min(MAX_BUCKETS, tenantCount));
        return Integer.highestOneBit(2 * wanted - 1);
    }

    /** Returns the tenant's index, or 0 for an index that the settings do not contain. */
    int validIndex(int tenant) {
        return tenant >= 0 && tenant < arrivalsByTenant.length ? tenant : 0;
    }

    /** Records the arrival of a tenant's request; {@code isClientRetry} marks a retry by the client. */
    void recordArrival(int tenant, boolean isClientRetry, long now) {
        if (now >= nextRotationAt) {
            Blue old = live;
            live = shadow;
            old.reset(random.nextLong());
            shadow = old;
            nextRotationAt = now + ROTATION_INTERVAL_US;
        }
        if (!isClientRetry) {
            arrivalsByTenant[tenant].count(now); // a retry after a refusal is not additional demand
        }
        meanQuotaRatio += (quotaRatio(tenant, now) - meanQuotaRatio) * MEAN_SAMPLE_WEIGHT;
    }

    /** Returns the probability with which a request of this tenant is to be refused. */
    double refusalProbability(int tenant, long now) {
        return live.min(tenant, now);
    }

    /** Records that a request of the tenant has been admitted. */
    void recordAdmission(int tenant, long now) {
        admissionsByTenant[tenant].count(now);
    }

    /** Returns the number of failed attempts since the last success. */
    double consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Records whether an attempt at a cache node failed or succeeded. */
    void recordAttempt(boolean failed) {
        consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
        double decayUs = DECAY_US * Math.min(MAX_DECAY_FACTOR, 1 + consecutiveFailures / OVERLOAD_FAILURES);
        live.setDecayUs(decayUs);
        shadow.setDecayUs(decayUs);
    }

    /** Returns whether the tenant's quota ratio is above the mean over the requests at this proxy. */
    boolean isAboveMeanQuotaRatio(int tenant, long now) {
        return quotaRatio(tenant, now) > meanQuotaRatio;
    }

    /**
     * Applies FAIR's increase step for a failure or its decrease step for a success to both tables. A request counts
     * as at most one failure. {@code blameShare} is the part of a failure that may be the tenant's fault, from 0 to 1.
     */
    void recordOutcome(InFlightRequest request, boolean failure, boolean success, double blameShare, long now) {
        if (failure ? request.isCountedAsFailure : !success) {
            return;
        }
        request.isCountedAsFailure |= failure;
        double rate = admissionsByTenant[request.tenant].get(now) / ArrivalRate.WINDOW_US * 1e6;
        double step = Math.max(MIN_PI, Math.min(MAX_PI, 1 / (rate * FILL_TIME_S + 1e-9)));
        step *= failure ? failureWeight(request.tenant, now) * blameShare : -PD_SHARE_OF_PI;
        live.add(request.tenant, step, MAX_PROBABILITY, now);
        shadow.add(request.tenant, step, MAX_PROBABILITY, now);
    }

    /**
     * Returns the weight of a failure against its tenant. Cache flushes and slowdowns make requests of all tenants
     * fail, so the weight grows with the tenant's quota ratio relative to the mean at this proxy; within one proxy,
     * tenants beyond their quota are thereby refused first. Without quotas, only consecutive failures show that demand
     * is too high: if single late or refused answers counted in full, a share of the requests that the fleet could
     * serve would be refused.
     */
    private double failureWeight(int tenant, long now) {
        if (!hasQuotas) {
            double overloadEvidence = Math.min(1, consecutiveFailures / OVERLOAD_FAILURES);
            return overloadEvidence * overloadEvidence;
        }
        double relativeRatio = quotaRatio(tenant, now) / Math.max(1e-3, meanQuotaRatio);
        double demand = Math.min(1, meanQuotaRatio);
        double overloadEvidence = Math.min(MAX_OVERLOAD_EVIDENCE, consecutiveFailures / OVERLOAD_FAILURES);
        return Math.min(MAX_QUOTA_WEIGHT, relativeRatio * relativeRatio) * Math.max(demand * demand, overloadEvidence);
    }

    /** Returns the tenant's recent requests relative to this proxy's part of its quota; 1 without a quota. */
    private double quotaRatio(int tenant, long now) {
        if (tenant >= settings.tenants.length || settings.tenants[tenant].quotaPerS <= 0) {
            return 1;
        }
        double expected = settings.tenants[tenant].quotaPerS / settings.routerCount * ArrivalRate.WINDOW_US / 1e6;
        return (arrivalsByTenant[tenant].get(now) + QUOTA_SMOOTHING_REQUESTS) / (expected + QUOTA_SMOOTHING_REQUESTS);
    }
}
