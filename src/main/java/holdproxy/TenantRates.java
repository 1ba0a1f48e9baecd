package holdproxy;

import java.util.Arrays;

/**
 * What proxies tell one another of their tenants' rates. A tenant's due here is quota x own / (own + told by
 * others + own for each proxy not heard of), and no less than quota / proxies, as with nothing known. So what
 * is told, lied, forged or replayed moves a due only between that and the quota. Blame is by the ratio to the
 * mean request's, which falls as dues rise: for others it grows by that, to QUOTA_MOST at most.
 */
final class TenantRates {
    // What all others send, with IPv4's and UDP's headers: control has 11 KB, discovery takes part of that.
    static final double BYTES_PER_S = 8000;
    static final int HEADERS = 28;
    // Rates are counted over 10 s: told twice in that they are fresh. So messages are shorter in a large
    // tier, but not below this: the tenants out of line are to be named, of others the bound is enough.
    static final double PERIOD_AIM_S = 5;
    static final int SHORTEST = 64;
    static final int PERIODS_KEPT = 3;
    // Where messages have a price, due in full at 256 bytes a request, this part of it is spent.
    static final double PRICED_PART = 0.05;
    // Requests a second that say little: the doubt of RoutingPolicy's quota ratio.
    private static final double DOUBT = RoutingPolicy.QUOTA_DOUBT / RoutingPolicy.RATE_US * 1e6;

    private final Router.Settings set;
    final boolean used;
    private final Random random;
    private final int epoch;
    private int sequence;
    private final int longest;
    private final RatesMessage[] newest; // by sender
    /** Other proxies whose rates are known; messages that were malformed, or from nobody else in the tier. */
    int known;
    long dropped;
    /** Sums over the newest: of all bounds; by tenant, of rates told and of the bounds of their tellers. */
    private long bounds;
    private final long[] toldRate;
    private final long[] tellersBound;

    TenantRates(Router.Settings settings, long seed) {
        set = settings;
        // a tenant alone is not weighed against others
        used = set.mayTell && set.routers > 1 && set.tenants.length > 1
                && Arrays.stream(set.tenants).anyMatch(t -> t.quotaPerS > 0);
        random = new Random(Blue.mix(~seed));
        epoch = (int) random.next() | 1; // 0 is none
        double most = PERIOD_AIM_S * BYTES_PER_S / set.routers - HEADERS;
        longest = (int) Math.max(SHORTEST, Math.min(RatesMessage.LONGEST, most));
        newest = new RatesMessage[used ? set.routers : 0];
        toldRate = new long[used ? set.tenants.length : 0];
        tellersBound = new long[toldRate.length];
    }

    /** The time until the next message; before the first anywhere in it, as all may have started together. */
    long pauseUs(double periodS) {
        return (long) ((sequence == 0 ? random.unit() : 0.9 + 0.2 * random.unit()) * periodS * 1e6);
    }

    /** Seconds between messages of this size: bytes and price of what all proxies send stay bounded. */
    int periodS(int bytes, double requestsPerS) {
        double period = set.routers * (bytes + HEADERS) / BYTES_PER_S;
        if (set.tellPrice > 0) {
            double least = (set.routers - 1) * bytes / (PRICED_PART * RatesMessage.LONGEST);
            period = Math.max(period, least / Math.max(1, requestsPerS));
        }
        return (int) Math.max(1, Math.min(RatesMessage.PERIOD_MOST_S, Math.ceil(period)));
    }

    /** Of all tenants' requests a second; names those that ask here for the most of their even share. */
    RatesMessage next(double[] perS, double requestsPerS) {
        RatesMessage m = new RatesMessage(RatesMessage.fitting(longest, perS.length), epoch, ++sequence);
        double[] ratio = new double[perS.length];
        for (int i = 0; i < ratio.length; i++) {
            double quota = set.tenants[i].quotaPerS;
            ratio[i] = quota > 0 ? perS[i] / (quota / set.routers + DOUBT) : 0;
        }
        double[] sorted = ratio.clone();
        Arrays.sort(sorted);
        double least = sorted[Math.max(0, sorted.length - m.tenant.length)];
        double bound = 0;
        for (int i = 0; i < ratio.length; i++) {
            if (ratio[i] > 0 && ratio[i] >= least && m.named < m.tenant.length) {
                m.add(i, perS[i]);
            } else {
                bound = Math.max(bound, ratio[i]);
            }
        }
        m.bound = RatesMessage.units(bound);
        m.periodS = periodS(m.bytes().length, requestsPerS);
        return m;
    }

    void told(long now, int from, byte[] data) {
        boolean other = from >= 0 && from < newest.length && from != set.index;
        RatesMessage m = other ? RatesMessage.read(data, toldRate.length) : null;
        if (m == null) {
            dropped += used ? 1 : 0;
            return;
        }
        RatesMessage old = newest[from];
        // what expired is forgotten whole: a number forged far ahead must not shut its sender out for good
        if (m.replaces(old != null && now < old.until ? old : null)) {
            m.until = now + PERIODS_KEPT * m.periodS * 1_000_000L;
            count(old, -1);
            count(m, 1);
            newest[from] = m;
        }
    }

    /** What was not renewed in time no longer counts. */
    void expire(long now) {
        for (int i = 0; i < newest.length; i++) {
            if (newest[i] != null && now >= newest[i].until) {
                count(newest[i], -1);
                newest[i] = null;
            }
        }
    }

    private void count(RatesMessage m, int sign) {
        if (m != null) {
            known += sign;
            bounds += sign * m.bound;
            for (int i = 0; i < m.named; i++) {
                toldRate[m.tenant[i]] += sign * m.rate[i];
                tellersBound[m.tenant[i]] += sign * m.bound;
            }
        }
    }

    /** Requests a second that are due here of a tenant's quota, where it asks for so many. */
    double due(int tenant, double ownPerS) {
        double quota = set.tenants[tenant].quotaPerS;
        double even = quota / set.routers;
        if (known == 0 || ownPerS <= 0) {
            return even;
        }
        double unnamed = (bounds - tellersBound[tenant]) * (even + DOUBT);
        double all = (toldRate[tenant] + unnamed) / RatesMessage.UNIT + (set.routers - known) * ownPerS;
        return Math.max(even, quota * ownPerS / all);
    }
}
