package holdproxy;

import java.util.Arrays;

// The interface, with its types, events and actions, stands in Router.java.

/**
 * Every decision of holdproxy: stochastic fair BLUE per proxy after "FAIR: Allocating Resources Fairly at
 * Scale" (M. Sathe), with two hashed candidates per key. The comments name what departs from it and when.
 */
public final class RoutingPolicy implements Router {
    // FAIR: levels x buckets, as many as there are tenants: where h of them fail, another shares all its
    // buckets with some of these by chance (h / buckets)^3 at most. 36 bytes a bucket in each of two tables:
    // 5 KB at up to 64 tenants, 0.3 MB at 3,000 (about what their rates take), 1.2 MB at most.
    static final int LEVELS = 3;
    static final int BUCKETS_LEAST = 64;
    static final int BUCKETS_MOST = 1 << 14;
    // FAIR: failures running take a chance from 0 to 1; a success takes back a hundredth of one. A step
    // follows the tenant's rate (EVIDENCE_S) down to this: held at 0.04, 1% of failures at 100 requests a
    // second outran the fading and filled a bucket.
    static final double PI = 0.002;
    static final double PD_SHARE = 0.01;
    // A step is such that this many seconds of a tenant's own failures would fill a bucket.
    static final double EVIDENCE_S = 2.5;
    static final double PI_MOST = 0.8;
    // Redemption: a chance fades by 1/e in this time, so that a refused tenant is tried again within seconds.
    static final double TENANT_FADE_US = 10e6;
    static final double NODE_FADE_US = 5e6;
    // A quiet proxy comes by a node rarely: what it learnt there has to last for about this many visits.
    static final double NODE_FADE_VISITS = 2;
    static final double NODE_FADE_MOST_US = 60e6;
    // Fresh seeds this often; several fading times, so that the shadow has learnt what the live table knows.
    static final long ROTATE_US = 60_000_000;
    // Own rates and the sketch of hot keys are counted over about this time.
    static final double RATE_US = 10e6;
    // Quota weight: this many requests of doubt on either side, and at most this much more than one step.
    static final double QUOTA_DOUBT = 3;
    static final double QUOTA_MOST = 4;
    static final double RATIO_LEARN = 1.0 / 64;
    // A choked fleet heals only at a fraction of its load: failures running without one success prove it.
    static final double CONSECUTIVE_TELLS = 3;
    static final double CONSECUTIVE_MOST = 4;
    // While they run, chances fade up to so many times slower: many proxies' trials keep a fleet choked.
    static final double FADE_MOST = 8;
    // A trial always gets through: no bucket refuses or passes over more often than this.
    static final double CHANCE_MOST = 0.98;
    // A time-out or late answer says less of a node than a broken connection, an error or a full queue.
    static final double SOFT = 0.5;
    // By rate like a tenant's step: held at 0.1, one broken connection in seven passed every node over.
    static final double NODE_PI = 0.005;
    static final double NODE_PI_MOST = 0.8;
    static final double NODE_EVIDENCE_S = 3;
    static final double NODE_PD_SHARE = 0.2;
    // About this part of all requests goes on to the origin; only the steps of its bucket depend on it.
    static final double ORIGIN_PART = 0.1;
    // The origin serves every proxy: its bucket balances at about a sixth of fetches failing, not at half.
    static final double ORIGIN_WEIGHT = 3;
    // Candidates ranked for a key: two, and spares for those that fail, warm up or were tried.
    static final int CHOICES = 2;
    static final int RANKED = 6;
    // So many fewer in flight are load. One or two are chance: for these a key would go to and fro, be kept
    // in both its caches, and leave the fleet half its memory.
    static final int CLEARLY_FEWER = 5;
    // A tie goes to the second candidate if the first reports this much more of its cores busy.
    static final double BUSY_TIE = 0.2;
    static final double BUSY_FADE_US = 10e6;
    // A key is hot when seen before this lately and when it alone would fill this share of a node's part.
    static final double HOT_SEEN = 0.3;
    static final double HOT_SHARE = 0.5;
    static final double HOT_KEY_US = 20e6;
    static final int HOT_KEY_BUCKETS = 256;
    // Part of a cold node's capacity that admitted keys may fill at first: each miss costs it extra work.
    static final double COLD_PART = 0.4;
    // Its bucket of tokens holds this part of what comes in while it falls; two where a proxy sends it few.
    static final double BUCKET_DEPTH = 0.25;
    static final double BUCKET_LEAST = 2;
    static final long WARM_RATE_EVERY_US = 50_000;
    // Retry budget: further attempts and hedged requests are paid from what requests earn.
    static final double RETRY_BUDGET_EARN = 0.1;
    static final double RETRY_BUDGET_MOST = 10;
    static final double RETRY_BUDGET_FIRST = 1;
    // After a broken connection no node has worked, or only one that could not answer, and none where one
    // turned it away: such a further attempt multiplies little, and where one in seven breaks or half the
    // nodes turn a tenant away they would spend the whole budget. What reached no node multiplies nothing.
    static final double BROKEN_PRICE = 0.25;
    // A hedge may turn out needless and costs its second cache a miss: it is dearer than a further attempt.
    static final double HEDGE_PRICE = 5;
    // Hedged requests go out between these shares of the aim, by the round-trip estimate in between.
    static final double HEDGE_SOONEST = 0.3;
    static final double HEDGE_LATEST = 0.6;
    // The adaptive idle time-out: a failure cuts it by e, a use of a connection that had idled wins it back.
    // However often, the time stays above what a used one rests: at 12 it fell to 0.2 ms, nothing was reused
    // that could win it back, and each request paid for a handshake.
    static final double IDLE_CUT_STEP = 1;
    static final double IDLE_CUT_MOST = 4;
    static final double IDLE_CUT_FADE_US = 60e6;
    // A node that takes no connection and answers within this time on another has no place left; one that
    // answers nothing is down. Held against all connections, 15 nodes gone cost one for each request.
    static final long FULL_US = 2_000_000;
    // Discovery: first calls spread over this part of the time in which an instance has to ask.
    static final double ASK_SPREAD = 0.8;
    static final double ASK_US_PER_ROUTER = 400_000;
    // Whatever failed, a change counts as told so long after discovery had it and could be reached. The sum:
    // 2 s at most from a first call's moment, or from a call that fails, to the next; 3 s until one that
    // waits in vain is failed or given up; half a second until it is made again; and as much for its answer.
    static final long TOLD_US = 6_000_000;
    // Where lists are pushed: pauses as a share of the grace for drains, and of this where none is stated.
    static final double ASK_PUSHED = 0.4;
    static final long ASK_PUSHED_LEAST_US = 250_000;
    static final long REPORT_EVERY_US = 20_000_000;
    static final String REPORT = "%s: origin chance %.2f, failures running %.0f, list calls failed %d";
    static final int ATTEMPTS_MOST = 8;
    static final int TIMER_ASK = 0;
    static final int TIMER_HEDGE = 1;

    private final Settings set;
    private final int attemptsMost;
    private final Random random;
    private Blue live;
    private Blue shadow;
    private final Blue hotKeys; // a sketch: counts of keys, decayed
    private final DecayingValue hotKeyCount = new DecayingValue(HOT_KEY_US);
    private long rotateAt;
    private final DecayingValue[] asked;
    private final DecayingValue[] admitted;
    private final double leastWorth;
    private final boolean quotasKnown;
    private double meanChance;
    private double meanRatio = 1;
    private double consecutiveFailures;
    private long reportAt = Long.MIN_VALUE;
    private final DecayingValue all = new DecayingValue(RATE_US);
    private final long startedAt;
    private double retryBudget = RETRY_BUDGET_FIRST;
    private double meanUs;
    private double devUs;
    private final LongMap<InFlightRequest> open = new LongMap<>();
    private final Fleet fleet;
    private final DecayingValue originChance = new DecayingValue(NODE_FADE_US);
    private final DecayingValue idleCut = new DecayingValue(IDLE_CUT_FADE_US);
    private final long ownSalt;
    private double warmRate;
    private long warmRateAt = Long.MIN_VALUE / 2;
    private boolean subscribed;
    /** The watch that was subscribed to has told something. */
    private boolean watched;
    private int askFailures;
    private long askedAt;

    public RoutingPolicy(Settings settings, long seed, long nowUs, Actions out) {
        settings.check();
        set = settings;
        attemptsMost = Math.min(ATTEMPTS_MOST, settings.maxAttempts);
        random = new Random(seed);
        startedAt = nowUs;
        int buckets = buckets(settings.tenants.length);
        live = new Blue(LEVELS, buckets, TENANT_FADE_US, random.next());
        shadow = new Blue(LEVELS, buckets, TENANT_FADE_US, random.next());
        hotKeys = new Blue(LEVELS, HOT_KEY_BUCKETS, HOT_KEY_US, random.next());
        rotateAt = nowUs + (long) (ROTATE_US * (0.5 + 0.5 * random.unit()));
        fleet = new Fleet(settings);
        ownSalt = random.next();
        leastWorth = Math.max(1e-6, Arrays.stream(set.classes).mapToDouble(c -> c.worth).min().orElse(1));
        quotasKnown = Arrays.stream(set.tenants).anyMatch(t -> t.quotaPerS > 0);
        asked = DecayingValue.array(Math.max(1, settings.tenants.length), RATE_US);
        admitted = DecayingValue.array(asked.length, RATE_US);
        if (settings.askForNodes) {
            // a thousand proxies starting together would swamp discovery: each takes its own moment
            double spread = Math.min(ASK_SPREAD * settings.askWithinUs, ASK_US_PER_ROUTER * settings.routers);
            out.timer((long) (random.unit() * Math.min(spread, TOLD_US / 3)), TIMER_ASK);
        }
    }

    /** The power of two that holds so many tenants. */
    static int buckets(int tenants) {
        int wanted = Math.max(BUCKETS_LEAST, Math.min(BUCKETS_MOST, tenants));
        return Integer.highestOneBit(2 * wanted - 1);
    }

    // ---- the node list ----

    @Override
    public void onNodes(long now, ListKind kind, Node[] nodes, int count, Actions out) {
        if (kind == ListKind.FAILED || kind == ListKind.SILENT) {
            subscribed = false;
            report(now, "node list call failed", out);
            out.timer((long) askPause(now - askedAt), TIMER_ASK);
            watched = false;
            return;
        }
        watched = subscribed && kind != ListKind.CACHED;
        askFailures = 0;
        fleet.apply(kind, nodes, count);
        warmRateAt = Long.MIN_VALUE / 2;
    }

    /** How long to rest after a call that took so long, or after a watch that had told something. */
    private double askPause(long took) {
        askFailures += watched ? 0 : 1;
        double unit = random.unit();
        if (!set.askForNodes) {
            // what an agent has counts as told from its return on: the whole pause is taken from that grace
            return ASK_PUSHED * Math.max(ASK_PUSHED_LEAST_US, set.drainGraceUs) * (0.5 + unit);
        }
        double third = Math.min(TOLD_US / 4, set.askWithinUs) / 3.0;
        if (watched) {
            // a fleet's watches end together: each proxy comes back in its own part of the spread, since by
            // chance alone a few would all come late in it, and wait for one another beyond their time
            double spread = Math.min(2 * third, ASK_US_PER_ROUTER * set.routers);
            return spread * (Math.floorMod(set.index, set.routers) + unit) / set.routers;
        }
        // its calls are refused together too
        return Math.max(third * unit, third * (1 + 2 * unit) - took);
    }

    // ---- arrival: the tenant's chance ----

    @Override
    public void onRequest(long now, Request q, Actions out) {
        if (now >= rotateAt) {
            Blue old = live;
            live = shadow;
            old.restart(random.next());
            shadow = old;
            rotateAt = now + ROTATE_US;
        }
        int tenant = q.tenant >= 0 && q.tenant < asked.length ? q.tenant : 0;
        if (!q.repeat) {
            asked[tenant].count(now); // what clients repeat after a refusal is not more demand
        }
        meanRatio += (quotaRatio(tenant, now) - meanRatio) * RATIO_LEARN;
        all.count(now);
        double chance = live.min(tenant, now);
        if (chance > 0 && random.unit() < chance) {
            report(now, "refusing requests", out);
            out.refuse(q.id, retryAfter(chance));
            return;
        }
        admitted[tenant].count(now);
        int type = Math.max(0, Math.min(q.requestClass, set.classes.length - 1));
        InFlightRequest r = new InFlightRequest(q, set.classes[type], tenant, now);
        open.put(r.id, r);
        if (r.key != 0) {
            hotKeys.add(r.key, 1, Double.MAX_VALUE, now);
            hotKeyCount.count(now);
        }
        start(r, now, out);
    }

    /** A line for the people on call, at most one in a while however bad it gets. */
    private void report(long now, String what, Actions out) {
        if (now >= reportAt) {
            reportAt = now + REPORT_EVERY_US;
            out.log(String.format(REPORT, what, originChance.get(now), consecutiveFailures, askFailures));
        }
    }

    /** The surer the refusal, the longer the advice. */
    private long retryAfter(double chance) {
        return set.retryAfter ? (long) (set.maxRetryAfterUs * Math.max(0.2, chance)) : 0;
    }

    // ---- choosing a node ----

    private void start(InFlightRequest r, long now, Actions out) {
        if (set.aside && r.write) {
            sendToOrigin(r, now, out);
        } else {
            send(r, choose(r, now), now, out);
        }
        if (!r.done && set.hedging) {
            double aim = r.type.aimUs;
            double wait = Math.max(HEDGE_SOONEST * aim, Math.min(HEDGE_LATEST * aim, meanUs + 4 * devUs));
            out.timer((long) wait, r.id << 3 | TIMER_HEDGE);
        }
    }

    /** Two hashed candidates and the one clearly less busy with our own requests; else the first. */
    private Backend choose(InFlightRequest r, long now) {
        long key = r.key != 0 ? r.key : random.next();
        int copies = r.key != 0 ? hotReplicas(r.key, now) : 1;
        r.hot = copies > 1;
        if (copies > 1) {
            key ^= (long) (random.unit() * copies) << 48;
        }
        Backend[] ranked = fleet.rendezvous(key, RANKED);
        Backend best = null;
        int seen = 0;
        for (int i = 0; i < ranked.length && ranked[i] != null && seen < CHOICES; i++) {
            Backend t = ranked[i];
            boolean may = !r.tried(t) && mayResend(r, t, now);
            if (may && slowStartAdmits(t, r, key, now) && !ejected(t, key, now)) {
                best = seen++ == 0 || lessBusy(r, t, best, now) ? t : best;
            }
        }
        return best;
    }

    /** Clearly fewer of our own in flight; with few a proxy most are ties, which reported load decides. */
    private boolean lessBusy(InFlightRequest r, Backend t, Backend best, long now) {
        int fewer = best.inFlight - t.inFlight;
        if (r.write && Math.abs(fewer) < CLEARLY_FEWER && rests(t, now) != rests(best, now)) {
            // no cache keeps what is written: a write gains nothing by its key's first node, and a handshake
            // takes a part of its aim
            return rests(t, now);
        }
        return fewer >= CLEARLY_FEWER || fewer == 0 && best.busy.get(now) > t.busy.get(now) + BUSY_TIE;
    }

    /** Whether one of our connections to it surely rests: all that were in use have come back. */
    private boolean rests(Backend t, long now) {
        return t.inFlight == 0 && t.idleSince != Long.MIN_VALUE && now - t.idleSince <= idleLimit(now);
    }

    /** Hot keys: only a key that alone would overfill its nodes is spread, over as many pairs as it needs. */
    private int hotReplicas(long key, long now) {
        double all = hotKeyCount.get(now);
        // less this one and chance collisions
        double before = hotKeys.min(key, now) - 1 - all / HOT_KEY_BUCKETS;
        double copies = before < HOT_SEEN ? 1 : 1 + before / all * fleet.readyCount / HOT_SHARE;
        return (int) Math.min(fleet.readyCount, copies);
    }

    /**
     * Slow start of cold nodes: every proxy admits the same growing set of keys; hot keys and further
     * attempts stay away. As the sum of all proxies follows how popular the admitted keys are, each also
     * keeps within its part of the budget N: what warm nodes take, times present capacity and the multiple
     * at which a cold node falls.
     */
    private boolean slowStartAdmits(Backend t, InFlightRequest r, long key, long now) {
        if (!isCold(t, now)) {
            return true;
        } else if (r.hot || r.attempts > 0) {
            return false;
        }
        double warm = Math.max(0, (double) (now - t.startedUs) / set.coldUs);
        double capacity = set.coldFrom + (1 - set.coldFrom) * warm;
        double part = COLD_PART + (1 - COLD_PART) * warm;
        if (slowStartLot(key, t.id) >= capacity * part) {
            return false;
        }
        double budget = capacity * set.tipMultiple;
        return budget == 0 || set.fallUs == 0
                || tellsPopular(t, r, key, budget, now) && hasTokens(t, budget, now);
    }

    private boolean isCold(Backend t, long now) {
        return t.startedUs != Long.MIN_VALUE && now - t.startedUs < set.coldUs;
    }

    static double slowStartLot(long key, int id) {
        return Blue.unit(Blue.mix(key + 31 * Blue.mix(id)));
    }

    /**
     * A proxy that is new or quiet can't tell the popular keys from the others: one asked for d times a
     * node's even share is still unseen here with chance exp(-d x seen), seen being our requests for each
     * node lately. Admitted by a lot of our own with chance e x budget x seen, such a key adds up to the
     * budget at most over all proxies, whatever d is.
     */
    private boolean tellsPopular(Backend t, InFlightRequest r, long key, double budget, long now) {
        double chance = Math.E * budget * hotKeyCount.get(now) / fleet.readyCount;
        return r.key == 0 || chance >= 1 || slowStartLot(key ^ ownSalt, t.id) < chance;
    }

    /**
     * A cold node's token bucket: full, and with what comes in while the node falls, it holds our part of N.
     * So all proxies' buckets together stay within N, but for those of proxies so quiet that single requests
     * exceed their part.
     */
    private boolean hasTokens(Backend t, double budget, long now) {
        double rate = budget * t.weight * warmRate(now) / (1 + BUCKET_DEPTH);
        double most = Math.max(BUCKET_LEAST, rate * set.fallUs * BUCKET_DEPTH);
        long since = t.tokensAt == Long.MIN_VALUE ? now : t.tokensAt;
        t.tokens = Math.min(most, t.tokens + rate * (now - since));
        t.tokensAt = now;
        return t.tokens >= 1;
    }

    /**
     * Requests a microsecond and unit of weight that warm nodes lately answered to this proxy; where it knows
     * none, the even share of what it is asked for.
     */
    private double warmRate(long now) {
        if (now - warmRateAt >= WARM_RATE_EVERY_US) {
            double served = 0;
            double weight = 0;
            double all = 0;
            for (int i = 0; i < fleet.readyCount; i++) {
                Backend t = fleet.ready[i];
                all += t.weight;
                if (!isCold(t, now)) {
                    served += t.served.get(now);
                    weight += t.weight;
                }
            }
            warmRateAt = now;
            warmRate = weight > 0 ? served / countedUs(now) / weight : rate(now) / 1e6 / all;
        }
        return warmRate;
    }

    /**
     * Outlier ejection: a node is passed over by how far its chance is above the others', and still gets
     * trials: where all are slow, moving a key gains nothing and costs a fetch. The hash draws the lot, so
     * that proxies move the same keys first and these are kept in one other place.
     */
    private boolean ejected(Backend t, long key, long now) {
        double own = t.chance.get(now);
        double others = own > 0 ? fleet.meanChanceBut(t, now) : 0;
        double chance = (own - others) / (1 - others);
        return chance > 0 && Blue.unit(Blue.mix(key - 31 * Blue.mix(t.id))) < chance;
    }

    private Backend origin() {
        Backend best = null;
        for (Backend t : fleet.origins) {
            if (best == null || t.inFlight < best.inFlight) {
                best = t;
            }
        }
        return best;
    }

    // ---- attempts ----

    /** No repeated effect: whether another attempt may go to this node now. */
    private boolean mayResend(InFlightRequest r, Backend t, long now) {
        RequestClass c = r.type;
        if (c.effect == Effect.SAFE || r.mayHaveRun == 0) {
            return true;
        }
        if (c.effect == Effect.UNSAFE) {
            return false;
        }
        int first = Integer.numberOfTrailingZeros(r.mayHaveRun);
        // what is sent now may wait for a connection, and must still arrive within the window
        if (now - r.sentAt[first] >= c.repeatWindowUs - 2 * set.tickUs - set.dialTimeoutUs) {
            return false;
        }
        Backend ran = r.node[first];
        return switch (c.group) {
            case ALL -> true;
            case ZONE -> ran.zone == t.zone;
            case CELL -> ran.cell == t.cell;
        };
    }

    /** No repeated effect: a refusal promises that trying again is harmless. */
    private boolean mayRefuse(InFlightRequest r) {
        return r.type.effect == Effect.SAFE || r.mayHaveRun == 0
                || r.type.effect == Effect.KEYED && r.type.group == Group.ALL;
    }

    /** When waiting on stops being worth anything: the aim where late answers earn nothing, else when due. */
    private long giveUpAt(InFlightRequest r) {
        return r.type.lateWorth > 0 ? r.due : Math.min(r.due, r.arrived + r.type.aimUs - 2 * set.tickUs);
    }

    private void send(InFlightRequest r, Backend t, long now, Actions out) {
        long left = giveUpAt(r) - now;
        if (t == null || left <= 0 || r.attempts >= attemptsMost) {
            if (r.out == 0) {
                finish(r, now, out); // else an attempt still out may bring the answer
            }
            return;
        }
        if (t.idleSince != Long.MIN_VALUE && now - t.idleSince > idleLimit(now)) {
            closeIdle(t, out);
        }
        r.idledUs[r.attempts] = t.idleSince != Long.MIN_VALUE ? now - t.idleSince : -1;
        t.tokens -= isCold(t, now) ? 1 : 0;
        r.sent(t, now);
        out.send(r.id, t.id, giveUpAt(r) < r.due ? left : 0);
    }

    /** How long a connection may idle before it is no longer trusted. */
    private double idleLimit(long now) {
        return set.idleCloseUs * Math.exp(-idleCut.get(now));
    }

    /**
     * The adaptive idle time-out: silence on a connection that had idled (dropped unseen), or a node that
     * answers and yet takes no new ones (all its places held by idle ones) shortens the time that any may
     * idle. One that would be closed before its next use is closed at once, which leaves room for others;
     * where handshakes have a price, not before such failures were seen.
     */
    private void released(InFlightRequest r, int attempt, Outcome o, long now, Actions out) {
        Backend t = r.node[attempt];
        double limit = idleLimit(now);
        if (o == Outcome.NOT_SENT) {
            return; // none was used
        }
        if (fleet.isOrigin(t)) {
            return; // one that all share: a handshake there costs the most when it is slow
        }
        if (o == Outcome.CONNECT_FAILED) {
            t.refusedAt = now;
        } else if (o == Outcome.RESET) {
            t.idleSince = Long.MIN_VALUE;
        } else {
            if (o == Outcome.OK && r.idledUs[attempt] > limit / 4) {
                idleCut.add(-IDLE_CUT_STEP, IDLE_CUT_MOST, now);
            }
            if (o == Outcome.OK && t.refusedAt != Long.MIN_VALUE) {
                idleCut.add(now - t.refusedAt < FULL_US ? IDLE_CUT_STEP : 0, IDLE_CUT_MOST, now);
                t.refusedAt = Long.MIN_VALUE;
            }
            t.idleSince = now;
            boolean freely = set.handshakePrice == 0 || limit < set.idleCloseUs / 2.0;
            if (o == Outcome.TIMEOUT || freely && fleet.readyCount / rate(now) * 1e6 > limit) {
                closeIdle(t, out);
            }
        }
    }

    private static void closeIdle(Backend t, Actions out) {
        t.idleSince = Long.MIN_VALUE;
        out.closeIdle(t.id);
    }

    private void sendToOrigin(InFlightRequest r, long now, Actions out) {
        double chance = originChance.get(now);
        // what is worth more goes on longer: each class meets the chance to the power of its worth
        boolean refused = chance > 0 && random.unit() < Math.pow(chance, r.type.worth / leastWorth);
        Backend t = refused ? null : origin();
        t = t == null || mayResend(r, t, now) ? t : null; // an earlier attempt of a missed read may have run
        r.atOrigin |= t != null;
        send(r, t, now, out);
    }

    /** Trouble is not multiplied: further attempts are paid from what ordinary requests have earned. */
    private void retry(InFlightRequest r, double price, long now, Actions out) {
        boolean toOrigin = set.aside && r.write;
        price = r.out != 0 ? HEDGE_PRICE : price;
        boolean may = retryBudget >= price && giveUpAt(r) > now && (r.out == 0 || set.hedging);
        Backend t = !may || r.attempts >= attemptsMost ? null : toOrigin ? origin() : choose(r, now);
        if (t == null || !mayResend(r, t, now)) {
            send(r, null, now, out);
            return;
        }
        retryBudget -= price;
        if (toOrigin) {
            sendToOrigin(r, now, out);
        } else {
            send(r, t, now, out);
        }
    }

    private void finish(InFlightRequest r, long now, Actions out) {
        if (r.done) {
            return;
        }
        if (mayRefuse(r)) {
            out.refuse(r.id, retryAfter(live.min(r.tenant, now)));
        } else {
            out.fail(r.id);
        }
        conclude(r, out);
    }

    private void conclude(InFlightRequest r, Actions out) {
        for (int i = 0; i < r.attempts && set.mayCancel && !r.done; i++) {
            if (r.isOut(i)) {
                out.cancel(r.id, i);
            }
        }
        r.done = true;
        if (r.out == 0) {
            open.remove(r.id);
        }
    }

    // ---- outcomes ----

    @Override
    public void onOutcome(long now, long id, int attempt, Outcome o, long latency, boolean concluded,
            CacheNote note, Report report, Actions out) {
        InFlightRequest r = open.get(id);
        if (r == null || !r.isOut(attempt)) {
            return;
        }
        Backend t = r.node[attempt];
        r.ended(attempt, o.neverRan);
        released(r, attempt, o, now, out);
        if (report.busy >= 0) {
            t.busy.set(report.busy, now);
        }
        boolean fromOrigin = fleet.isOrigin(t);
        if (o == Outcome.OK || o == Outcome.MISS) {
            t.served.count(now);
        }
        if (o != Outcome.CANCELLED && o != Outcome.NOT_SENT) {
            learn(r, t, fromOrigin, o, note, latency, now);
        }
        if (r.done || concluded) {
            conclude(r, out);
        } else if (o == Outcome.MISS) {
            sendToOrigin(r, now, out);
        } else if (fromOrigin && !r.write) {
            send(r, null, now, out);
        } else {
            boolean unworked = o == Outcome.RESET || o.neverRan;
            boolean unreached = o == Outcome.CONNECT_FAILED || o == Outcome.NOT_SENT;
            retry(r, unreached ? 0 : unworked ? BROKEN_PRICE : 1, now, out);
        }
    }

    private void learn(InFlightRequest r, Backend t, boolean fromOrigin, Outcome o, CacheNote note,
            long latency, long now) {
        boolean good = o == Outcome.OK || o == Outcome.MISS;
        boolean late = good && now - r.arrived > r.type.aimUs;
        // an error line may bear no note; a node that fails by itself does so at once
        boolean slowError = o == Outcome.ERROR && note == CacheNote.NONE && latency > r.type.aimUs;
        boolean fetched = !set.aside && !r.write && (note == CacheNote.MISS || note == CacheNote.MISS_FETCHING
                || slowError);
        if (fromOrigin || fetched) {
            boolean failed = !good || fetched && latency > r.type.aimUs;
            step(originChance, failed, rate(now) * ORIGIN_PART, ORIGIN_WEIGHT, now);
        }
        if (!fromOrigin && (good || !fetched)) {
            boolean lateHit = latency > r.type.aimUs && !fetched;
            nodeEvidence(t, !good || lateHit, o == Outcome.TIMEOUT || o == Outcome.OK ? SOFT : 1, now);
        }
        if (o == Outcome.OK && !r.write) {
            devUs += (Math.abs(latency - meanUs) - devUs) / 8;
            meanUs += (latency - meanUs) / 8;
        }
        if (o == Outcome.OK) {
            retryBudget = Math.min(RETRY_BUDGET_MOST, retryBudget + RETRY_BUDGET_EARN);
        }
        if (!r.done) {
            boolean failed = late || o == Outcome.TIMEOUT || o == Outcome.OVERLOADED
                    || o == Outcome.ERROR && !set.aside;
            if (!fromOrigin && (failed || o == Outcome.OK)) {
                consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
            }
            double fade = TENANT_FADE_US * Math.min(FADE_MOST, 1 + consecutiveFailures / CONSECUTIVE_TELLS);
            live.fadeIn(fade);
            shadow.fadeIn(fade);
            // blame: the origin's failures are its own first; so are a node's that fails more than others do,
            // but for tenants that run over their quota more than others do
            boolean over = quotaRatio(r.tenant, now) > meanRatio;
            double known = fromOrigin || fetched ? originChance.get(now)
                    : over ? 0 : t.chance.get(now) - meanChance;
            double share = 1 - Math.max(0, known);
            meanChance += (t.chance.get(now) - meanChance) * RATIO_LEARN;
            tenantEvidence(r, failed, o == Outcome.OK, share, now);
        }
    }

    /** Requests a second here. */
    private double rate(long now) {
        return all.get(now) / countedUs(now) * 1e6;
    }

    /** The time over which a value fading in RATE_US has counted; and a second, as the first is chance. */
    private double countedUs(long now) {
        return RATE_US * (1 - Math.exp((startedAt - now) / RATE_US)) + 1e6;
    }

    private void nodeEvidence(Backend t, boolean failure, double weight, long now) {
        double rate = rate(now) / Math.max(1, fleet.readyCount);
        step(t.chance, failure, rate, weight, now);
        t.chance.fadeIn(Math.max(NODE_FADE_US, Math.min(NODE_FADE_MOST_US, NODE_FADE_VISITS / rate * 1e6)));
    }

    /** BLUE for a single bucket; quiet proxies take larger steps. */
    private static void step(DecayingValue chance, boolean failure, double rate, double weight, long now) {
        double step = Math.max(NODE_PI, Math.min(NODE_PI_MOST, 1 / (rate * NODE_EVIDENCE_S + 1e-9)));
        chance.add(failure ? step * weight : -step * NODE_PD_SHARE, CHANCE_MOST, now);
    }

    /** FAIR's two steps, on the live and the shadow table; a request counts as one failure at most. */
    private void tenantEvidence(InFlightRequest r, boolean failure, boolean success, double share,
            long now) {
        if (failure ? r.blamed : !success) {
            return;
        }
        r.blamed |= failure;
        double rate = admitted[r.tenant].get(now) / RATE_US * 1e6;
        double step = Math.max(PI, Math.min(PI_MOST, 1 / (rate * EVIDENCE_S + 1e-9)));
        step *= failure ? overQuota(r.tenant, now) * share : -PD_SHARE;
        live.add(r.tenant, step, CHANCE_MOST, now);
        shadow.add(r.tenant, step, CHANCE_MOST, now);
    }

    /**
     * Flushes and slowdowns fail everyone: a tenant is blamed by how far it runs over its quota compared with
     * the mean request here, so that within one proxy those beyond their quota are refused first. Where no
     * quota is stated nothing tells that demand is too high but failures running: single late or refused
     * answers, taken for it in full, would refuse a share of all requests that the fleet could serve.
     */
    private double overQuota(int tenant, long now) {
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
        double due = set.tenants[tenant].quotaPerS / set.routers * RATE_US / 1e6;
        return (asked[tenant].get(now) + QUOTA_DOUBT) / (due + QUOTA_DOUBT);
    }

    // ---- the rest ----

    @Override
    public void onStreaming(long now, long id, int attempt, Actions out) {
        InFlightRequest r = open.get(id);
        if (r != null) {
            r.done = true; // the attempt belongs to the client: nothing else is sent, and nothing answered
        }
    }

    @Override
    public void onAborted(long now, long id, Actions out) {
        InFlightRequest r = open.get(id);
        if (r != null && !r.done) {
            conclude(r, out);
        }
    }

    @Override
    public void onTimer(long now, long label, Actions out) {
        int kind = (int) label & 7;
        InFlightRequest r = kind == TIMER_ASK ? null : open.get(label >>> 3);
        if (kind == TIMER_ASK && !subscribed) {
            subscribed = true;
            askedAt = now;
            out.subscribe();
        } else if (r == null || r.done) {
            return;
        } else if (kind == TIMER_HEDGE && r.out != 0 && r.write && r.atOrigin && r.attempts == 1) {
            // a write still out tells of a slow origin before its time-out, which would be too late
            step(originChance, true, rate(now) * ORIGIN_PART, ORIGIN_WEIGHT * SOFT, now);
        } else if (kind == TIMER_HEDGE && r.out != 0 && !r.atOrigin) {
            // slow compared with others: without this a node whose copies win elsewhere is never blamed;
            // in full where visits are rare: at one a second, half left a node its keys for many more. Where
            // they are frequent, full steps move keys that all nodes then fetch, and the origin is choked
            double soft = Math.max(SOFT, Math.min(1, fleet.readyCount / rate(now)));
            int first = Integer.numberOfTrailingZeros(r.out);
            Backend slow = r.node[first];
            // a hedge is due for the sake of the aim, which may be close to what answers usually take
            boolean unusual = now - r.arrived >= meanUs + 4 * devUs;
            if (unusual && r.idledUs[first] > set.idleCloseUs * Math.exp(-IDLE_CUT_MOST) / 4) {
                idleCut.add(IDLE_CUT_STEP, IDLE_CUT_MOST, now);
                closeIdle(slow, out);
            }
            nodeEvidence(slow, true, soft * Math.min(1, r.waited(now - r.arrived) / HEDGE_SOONEST), now);
            retry(r, HEDGE_PRICE, now, out);
        }
    }

    @Override
    public void onProbe(long now, int node, Outcome o, long latency, Report report, Actions out) {
        // none is asked for
    }

    @Override
    public void onTold(long now, int router, byte[] data, Actions out) {
        // none is asked for either: every rule and the ordinary path hold without
    }
}
