package holdproxy;

import java.util.Arrays;

/**
 * Stochastic fair BLUE over the tenants: a live and a shadow table of refusal chances, and how far a failure
 * is blamed on its tenant.
 */
final class TenantAdmission {
    // FAIR: levels x buckets, as many as there are tenants: where h of them fail, another shares all its
    // buckets with some of these by chance (h / buckets)^3 at most. 36 bytes a bucket in each table.
    static final int LEVELS = 3;
    private static final int BUCKETS_LEAST = 64;
    private static final int BUCKETS_MOST = 1 << 14;
    // FAIR: a success takes back a hundredth of a failure's step. A step follows the tenant's rate down to
    // this: held at 0.04, 1% of failures at 100 requests a second outran the fading and filled a bucket.
    private static final double PI = 0.002;
    private static final double PD_SHARE = 0.01;
    // A step is such that this many seconds of a tenant's own failures would fill a bucket.
    private static final double EVIDENCE_S = 2.5;
    private static final double PI_MOST = 0.8;
    // Redemption: a chance fades by 1/e in this time, so that a refused tenant is tried again within seconds.
    private static final double FADE_US = 10e6;
    // Fresh seeds this often; several fading times, so that the shadow has learnt what the live table knows.
    static final long ROTATE_US = 60_000_000;
    // Quota weight: this many requests of doubt on either side, and at most this much more than one step.
    private static final double QUOTA_DOUBT = 3;
    private static final double QUOTA_MOST = 4;
    static final double RATIO_LEARN = 1.0 / 64;
    // A choked fleet heals only at a fraction of its load: failures running without one success prove it.
    private static final double CONSECUTIVE_TELLS = 3;
    private static final double CONSECUTIVE_MOST = 4;
    // While they run, chances fade up to so many times slower: many proxies' trials keep a fleet choked.
    private static final double FADE_MOST = 8;
    // A trial always gets through: no bucket refuses more often than this.
    static final double CHANCE_MOST = 0.98;

    private final Router.Settings set;
    private final Random random;
    private Blue live;
    private Blue shadow;
    private long rotateAt;
    private final DecayingValue[] asked;
    private final DecayingValue[] admitted;
    private final boolean quotasKnown;
    private double meanRatio = 1;
    private double consecutiveFailures;

    TenantAdmission(Router.Settings settings, Random random, long liveSeed, long shadowSeed, long rotateAt) {
        set = settings;
        this.random = random;
        this.rotateAt = rotateAt;
        int buckets = buckets(settings.tenants.length);
        live = new Blue(LEVELS, buckets, FADE_US, liveSeed);
        shadow = new Blue(LEVELS, buckets, FADE_US, shadowSeed);
        quotasKnown = Arrays.stream(set.tenants).anyMatch(t -> t.quotaPerS > 0);
        asked = DecayingValue.array(Math.max(1, settings.tenants.length), ArrivalRate.WINDOW_US);
        admitted = DecayingValue.array(asked.length, ArrivalRate.WINDOW_US);
    }

    /** The power of two that holds so many tenants. */
    static int buckets(int tenants) {
        int wanted = Math.max(BUCKETS_LEAST, Math.min(BUCKETS_MOST, tenants));
        return Integer.highestOneBit(2 * wanted - 1);
    }

    /** The tenant's number, or 0 for one that the settings do not name. */
    int known(int tenant) {
        return tenant >= 0 && tenant < asked.length ? tenant : 0;
    }

    /** A request of this tenant has come; {@code repeat}: the client asks again. */
    void arrived(int tenant, boolean repeat, long now) {
        if (now >= rotateAt) {
            Blue old = live;
            live = shadow;
            old.restart(random.next());
            shadow = old;
            rotateAt = now + ROTATE_US;
        }
        if (!repeat) {
            asked[tenant].count(now); // what clients repeat after a refusal is not more demand
        }
        meanRatio += (quotaRatio(tenant, now) - meanRatio) * RATIO_LEARN;
    }

    /** The chance to refuse a request of this tenant. */
    double chance(int tenant, long now) {
        return live.min(tenant, now);
    }

    void admit(int tenant, long now) {
        admitted[tenant].count(now);
    }

    /** Failures since the last success. */
    double consecutiveFailures() {
        return consecutiveFailures;
    }

    /** An attempt at a cache failed, or served its request. */
    void attempted(boolean failed) {
        consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
        double fade = FADE_US * Math.min(FADE_MOST, 1 + consecutiveFailures / CONSECUTIVE_TELLS);
        live.fadeIn(fade);
        shadow.fadeIn(fade);
    }

    /** Whether the tenant runs over its quota more than the mean request here. */
    boolean isOver(int tenant, long now) {
        return quotaRatio(tenant, now) > meanRatio;
    }

    /** FAIR's two steps, on the live and the shadow table; a request counts as one failure at most. */
    void evidence(InFlightRequest r, boolean failure, boolean success, double share, long now) {
        if (failure ? r.blamed : !success) {
            return;
        }
        r.blamed |= failure;
        double rate = admitted[r.tenant].get(now) / ArrivalRate.WINDOW_US * 1e6;
        double step = Math.max(PI, Math.min(PI_MOST, 1 / (rate * EVIDENCE_S + 1e-9)));
        step *= failure ? blame(r.tenant, now) * share : -PD_SHARE;
        live.add(r.tenant, step, CHANCE_MOST, now);
        shadow.add(r.tenant, step, CHANCE_MOST, now);
    }

    /**
     * Flushes and slowdowns fail everyone: a tenant is blamed by how far it runs over its quota compared with
     * the mean request here, so that within one proxy those beyond their quota are refused first. Where no
     * quota is stated nothing tells that demand is too high but failures running: single late or refused
     * answers, taken for it in full, would refuse a share of all requests that the fleet could serve.
     */
    private double blame(int tenant, long now) {
        if (!quotasKnown) {
            double certain = Math.min(1, consecutiveFailures / CONSECUTIVE_TELLS);
            return certain * certain;
        }
        double ratio = quotaRatio(tenant, now) / Math.max(1e-3, meanRatio);
        double demand = Math.min(1, meanRatio);
        double proven = Math.min(CONSECUTIVE_MOST, consecutiveFailures / CONSECUTIVE_TELLS);
        return Math.min(QUOTA_MOST, ratio * ratio) * Math.max(demand * demand, proven);
    }

    private double quotaRatio(int tenant, long now) {
        if (tenant >= set.tenants.length || set.tenants[tenant].quotaPerS <= 0) {
            return 1;
        }
        double due = set.tenants[tenant].quotaPerS / set.routers * ArrivalRate.WINDOW_US / 1e6;
        return (asked[tenant].get(now) + QUOTA_DOUBT) / (due + QUOTA_DOUBT);
    }
}
