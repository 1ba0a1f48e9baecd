package holdproxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What proxies tell one another of their tenants: codec, merging, bounds against lies, expiry, price and use. */
class TenantRatesTest {
    private static final long MS = Fixture.MS;
    private static final long S = Fixture.S;

    private static Router.Settings settings(int routers, double... quotas) {
        Router.Settings s = Fixture.settings(Router.Effect.SAFE);
        s.routers = routers;
        s.mayTell = true;
        s.tenants = new Router.Tenant[quotas.length];
        for (int i = 0; i < quotas.length; i++) {
            s.tenants[i] = new Router.Tenant();
            s.tenants[i].quotaPerS = quotas[i];
        }
        return s;
    }

    /** As proxy 0 of the tier knows it. */
    private static TenantRates rates(int routers, double... quotas) {
        return new TenantRates(settings(routers, quotas), 1);
    }

    private static byte[] message(int epoch, int sequence, int periodS, double bound, double... perS) {
        RatesMessage m = new RatesMessage(perS.length, epoch, sequence);
        m.periodS = periodS;
        m.bound = RatesMessage.units(bound);
        for (int i = 0; i < perS.length; i++) {
            m.add(i, perS[i]);
        }
        return m.bytes();
    }

    // ---- the codec ----

    @Test
    void aMessageSaysWhatWasPutIntoIt() {
        RatesMessage m = new RatesMessage(5, 0x81020304, -7);
        m.periodS = 60;
        m.bound = RatesMessage.units(1.5);
        int[] tenants = {0, 1, 129, 16_600, 99_999};
        double[] perS = {0, 0.25, 657, 480_000, 1e30};
        for (int i = 0; i < tenants.length; i++) {
            m.add(tenants[i], perS[i]);
        }
        byte[] data = m.bytes();
        assertEquals(RatesMessage.HEAD + 3 + 3 + 3 + 5 + 5, data.length, "varints of one to three bytes");
        RatesMessage read = RatesMessage.read(data, 100_000);
        assertEquals(0x81020304, read.epoch);
        assertEquals(-7, read.sequence);
        assertEquals(60, read.periodS);
        assertEquals(1.5, read.bound / RatesMessage.UNIT);
        assertArrayEquals(tenants, read.tenant);
        for (int i = 0; i < 4; i++) {
            assertEquals(perS[i], read.rate[i] / RatesMessage.UNIT, perS[i] / 100);
        }
        assertEquals(RatesMessage.MOST, read.rate[4] / RatesMessage.UNIT, "no more than a number that is taken");
        assertArrayEquals(data, read.bytes());
        assertNull(RatesMessage.read(data, 99_999), "a tenant that is not there");
    }

    @Test
    void whatIsCutLongerOrOfAnotherVersionIsDroppedWhole() {
        byte[] whole = message(5, 1, 1, 0, 1, 2, 3);
        assertNotNull(RatesMessage.read(whole, 3));
        for (int length = 0; length < 300; length++) {
            if (length != whole.length) {
                assertNull(RatesMessage.read(Arrays.copyOf(whole, length), 3), "length " + length);
            }
        }
        for (int version = -128; version < 128; version++) {
            byte[] other = whole.clone();
            other[0] = (byte) version;
            assertEquals(version == RatesMessage.VERSION, RatesMessage.read(other, 3) != null);
        }
        assertNull(RatesMessage.read(message(5, 1, 0, 0), 3), "no period");
        assertNull(RatesMessage.read(message(5, 1, 61, 0), 3), "a period that would keep it for long");
    }

    @Test
    void ratesAndBoundsThatAreNoNumbersInRangeAreDropped() {
        for (int at : new int[] {11, RatesMessage.HEAD + 1}) {
            for (float bad : new float[] {Float.NaN, -1, Float.POSITIVE_INFINITY, Float.NEGATIVE_INFINITY, 1e30f}) {
                byte[] data = message(5, 1, 1, 0, 1);
                ByteBuffer.wrap(data).putShort(at, (short) (Float.floatToIntBits(bad) >>> 16));
                assertNull(RatesMessage.read(data, 1), bad + " at " + at);
            }
        }
    }

    // ---- merging ----

    @Test
    void orderLossAndRepeatsChangeNothingInTheEnd() {
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            List<int[]> sent = new ArrayList<>(); // sender and sequence
            int[] last = {0, 0, 0, 0};
            for (int sender = 1; sender < 4; sender++) {
                for (int i = 1; i <= 6; i++) {
                    if (random.nextInt(3) > 0) {
                        int sequence = Integer.MAX_VALUE - 3 + i; // wraps on its way
                        sent.add(new int[] {sender, sequence});
                        last[sender] = sequence;
                    }
                }
            }
            TenantRates ordered = rates(4, 100, 50);
            sent.forEach(m -> tell(ordered, m));
            List<int[]> shuffled = new ArrayList<>(sent);
            shuffled.addAll(sent);
            Collections.shuffle(shuffled, random);
            TenantRates any = rates(4, 100, 50);
            shuffled.forEach(m -> tell(any, m));
            TenantRates newest = rates(4, 100, 50);
            for (int sender = 1; sender < 4; sender++) {
                if (last[sender] != 0) {
                    tell(newest, new int[] {sender, last[sender]});
                }
            }
            for (int tenant = 0; tenant < 2; tenant++) {
                assertEquals(newest.due(tenant, 10), ordered.due(tenant, 10), "seed " + seed);
                assertEquals(newest.due(tenant, 10), any.due(tenant, 10), "seed " + seed);
            }
        }
    }

    private static void tell(TenantRates to, int[] m) {
        double perS = (m[1] & 7) + m[0];
        to.told(0, m[0], message(m[0], m[1], 60, perS / 3, perS));
    }

    @Test
    void aRestartedSenderCountsAtOnceAndItsFormerLifeNoMore() {
        TenantRates r = rates(2, 100, 100);
        r.told(0, 1, message(11, 500, 10, 0, 40));
        double former = r.due(0, 60);
        assertEquals(60, former, 0.5);
        r.told(1, 1, message(22, 1, 10, 0, 10));
        double present = r.due(0, 60);
        assertEquals(600.0 / 7, present, 0.5);
        r.told(2, 1, message(11, 499, 10, 0, 40));
        r.told(2, 1, message(11, 500, 10, 0, 40));
        assertEquals(present, r.due(0, 60), "late, from the former life");
        r.told(3, 1, message(11, 501, 10, 0, 40));
        assertEquals(former, r.due(0, 60));
        r.told(4, 1, message(22, 2, 10, 0, 10));
        assertEquals(present, r.due(0, 60), "one that was never seen is put right by the next");
        assertEquals(1, r.known);
    }

    @Test
    void whatIsNotRenewedForThreePeriodsIsForgottenWithItsSequence() {
        TenantRates r = rates(2, 100, 100);
        r.told(0, 1, message(11, Integer.MAX_VALUE, 2, 0, 0)); // as forged: nothing of its sender's follows it
        r.expire(6 * S - 1);
        assertEquals(100, r.due(0, 10), 1e-9);
        r.told(S, 1, message(11, 5, 2, 0, 10));
        assertEquals(100, r.due(0, 10), 1e-9);
        r.expire(6 * S);
        assertEquals(0, r.known);
        assertEquals(50, r.due(0, 10), 1e-9);
        r.told(6 * S, 1, message(11, 6, 2, 0, 30));
        assertEquals(50, r.due(0, 10), 1e-9);
        assertEquals(75, r.due(0, 90), 1);
        r.told(20 * S, 1, message(11, 2, 2, 0, 10));
        assertEquals(1, r.known, "it counts once, also where nothing told that the one before had expired");
        assertEquals(90, r.due(0, 90), 1);
    }

    @Test
    void messagesFromNoOtherProxyOfTheTierAreDroppedAndCounted() {
        TenantRates r = rates(4, 100, 100);
        int dropped = 0;
        for (int from : new int[] {-1, 0, 4, Integer.MIN_VALUE, Integer.MAX_VALUE, Router.Actions.ALL}) {
            r.told(0, from, message(1, 1, 1, 0, 1));
            assertEquals(++dropped, r.dropped, "from " + from);
        }
        r.told(0, 1, new byte[0]);
        r.told(0, 1, message(1, 1, 1, 0, 1, 2, 3));
        assertEquals(8, r.dropped);
        assertEquals(0, r.known);
        r.told(0, 1, message(1, 1, 1, 0, 1));
        assertEquals(1, r.known);
    }

    @Test
    void noBytesBringTheModuleToAFaultOrADueOutOfItsBounds() {
        long seed = System.nanoTime();
        System.out.println("seed of the random messages: " + seed);
        Random random = new Random(seed);
        TenantRates r = rates(9, 100, 50, 7);
        Fixture out = new Fixture();
        RoutingPolicy p = out.choice(settings(9, 100, 50, 7), 1, Fixture.nodes(3));
        for (int i = 0; i < 200_000; i++) {
            byte[] data;
            if (random.nextInt(4) == 0) {
                data = new byte[random.nextInt(300)];
                random.nextBytes(data);
            } else {
                data = message(random.nextInt(3), random.nextInt(100), 1 + random.nextInt(5), random.nextInt(9), 1,
                        random.nextInt(100), 1e5);
                for (int j = random.nextInt(3); j > 0; j--) {
                    data[random.nextInt(data.length)] = (byte) random.nextInt();
                }
            }
            int from = random.nextInt(12) - 1;
            long now = i * 100L;
            r.told(now, from, data);
            p.onTold(now, from, data, out);
            if (i % 1000 == 0) {
                r.expire(now);
            }
            int tenant = random.nextInt(3);
            double quota = new double[] {100, 50, 7}[tenant];
            double due = r.due(tenant, random.nextInt(200));
            assertTrue(due >= quota / 9 && due <= quota, due + ", seed " + seed);
        }
        assertTrue(r.dropped > 1000 && r.known > 0, r.dropped + " dropped, seed " + seed);
        r.expire(Long.MAX_VALUE);
        assertEquals(0, r.known);
        assertEquals(100 / 9.0, r.due(0, 50), "nothing is left of what expired");
    }

    // ---- what is due ----

    @Test
    void withNothingKnownTheDueIsTheEvenShare() {
        TenantRates r = rates(10, 100, 50);
        assertEquals(10, r.due(0, 0));
        assertEquals(10, r.due(0, 1000));
    }

    @Test
    void aTenantAtFewProxiesIsDueThereWhatItAsksElsewhereLeaves() {
        TenantRates r = rates(10, 100, 50);
        for (int from = 1; from < 10; from++) {
            r.told(0, from, message(from, 1, 1, 0, from == 1 ? 40 : 0, 5));
        }
        assertEquals(50, r.due(0, 40), 0.5);
        assertEquals(100, r.due(0, 1e6), 0.1);
        assertEquals(5, r.due(1, 5), 0.1, "the other is spread evenly");
    }

    @Test
    void aHeavyTenantSpreadOverAllProxiesKeepsItsEvenShare() {
        TenantRates r = rates(10, 100, 50);
        for (int from = 1; from < 10; from++) {
            r.told(0, from, message(from, 1, 1, 0, 200));
        }
        assertEquals(10, r.due(0, 200), 0.1);
        assertEquals(10, r.due(0, 20), 0.1, "never less, also where it asks for less than elsewhere");
    }

    @Test
    void tenantsNotNamedAreTakenToAskForTheBound() {
        TenantRates r = rates(2, 100, 100);
        r.told(0, 1, message(1, 1, 1, 0.8, 77));
        double unnamed = 0.8 * (50 + 0.3);
        assertEquals(100 * 60 / (60 + unnamed), r.due(1, 60), 0.5);
        assertEquals(100 * 200 / (200 + 77.0), r.due(0, 200), 0.5, "the bound is not for those named");
    }

    @Test
    void aLiarMovesADueOnlyUpAndNoFurtherThanItsOwnPart() {
        for (double lie : new double[] {0, 1e-30, 1, 1e6, 1e30}) {
            TenantRates r = rates(10, 100, 50);
            r.told(0, 7, message(1, 1, 1, lie, lie));
            for (double own : new double[] {0, 0.001, 5, 10, 1e6}) {
                double due = r.due(0, own);
                assertTrue(due >= 10 && due <= 100.0 / 9 + 1e-9, lie + ": " + due);
            }
        }
    }

    // ---- telling ----

    @Test
    void nothingIsToldWhereItIsForbiddenOrOfNoUse() {
        List<Router.Settings> silent = new ArrayList<>();
        silent.add(settings(4, 100, 50));
        silent.get(0).mayTell = false;
        silent.add(settings(1, 100, 50));
        silent.add(settings(4, 0, 0));
        silent.add(settings(4, 100));
        silent.add(settings(4));
        for (Router.Settings s : silent) {
            Fixture out = new Fixture();
            RoutingPolicy p = out.choice(s, 1, Fixture.nodes(3));
            assertTrue(out.timers.stream().noneMatch(t -> t[1] == RoutingPolicy.TIMER_TELL));
            p.onTold(0, 1, message(1, 1, 1, 0, 1), out);
        }
        Fixture out = new Fixture();
        out.choice(settings(4, 100, 50), 1, Fixture.nodes(3));
        assertEquals(1, out.timers.stream().filter(t -> t[1] == RoutingPolicy.TIMER_TELL).count());
    }

    @Test
    void oneMessageAPeriodToAllAsLongAsItRuns() {
        Fixture out = new Fixture();
        RoutingPolicy p = out.choice(settings(4, 100, 50), 1, Fixture.nodes(3));
        long now = 0;
        for (int i = 1; i <= 20; i++) {
            assertEquals(1, out.timers.size());
            long pause = out.timers.get(0)[0];
            assertTrue(pause <= (i == 1 ? 5 : 1.1) * S && (i == 1 || pause >= 0.9 * S), "pause " + pause);
            now += pause;
            out.fire(p, now);
            assertEquals(i, out.told.size());
            assertEquals("tell " + Router.Actions.ALL, out.all.get(out.all.size() - 2));
            assertEquals(i, RatesMessage.read(out.told.get(i - 1), 2).sequence);
        }
    }

    @Test
    void proxiesThatStartTogetherDoNotTellTogether() {
        int[] inTenth = new int[10];
        for (int i = 0; i < 730; i++) {
            TenantRates r = new TenantRates(settings(730, 1, 1), i);
            inTenth[(int) (r.pauseUs(5) / (S / 2))]++;
        }
        assertTrue(Arrays.stream(inTenth).allMatch(n -> n > 40 && n < 110), Arrays.toString(inTenth));
    }

    @Test
    void thoseThatAskForTheMostAreNamedAndOfTheOthersABoundHolds() {
        double[] quotas = new double[3000];
        Arrays.fill(quotas, 730);
        Router.Settings s = settings(730, quotas);
        double[] perS = new double[3000];
        Arrays.setAll(perS, i -> i % 300 == 7 ? 30 + i : 0.5 + i / 1e4);
        byte[] data = new TenantRates(s, 1).next(perS, 657).bytes();
        assertTrue(data.length <= TenantRates.SHORTEST, data.length + " bytes");
        RatesMessage m = RatesMessage.read(data, 3000);
        List<Integer> named = Arrays.stream(m.tenant).boxed().toList();
        for (int i = 0; i < 3000; i++) {
            if (i % 300 == 7) {
                assertTrue(named.contains(i), "tenant " + i);
            } else if (!named.contains(i)) {
                assertTrue(perS[i] / 1.3 <= m.bound / RatesMessage.UNIT * 1.001);
            }
        }
    }

    /** 11 KB a second are a proxy's for all control; what others tell it is to take less, headers and all. */
    @Test
    void whatAllOthersTellStaysWithinItsBytesASecond() {
        for (int routers : new int[] {2, 3, 10, 73, 140, 300, 730}) {
            for (int tenants : new int[] {2, 4, 100, 3000}) {
                double[] quotas = new double[tenants];
                Arrays.fill(quotas, 100);
                double[] perS = new double[tenants];
                Arrays.fill(perS, 657.0 / tenants);
                RatesMessage m = new TenantRates(settings(routers, quotas), 1).next(perS, 657);
                int bytes = m.bytes().length;
                double perSecond = (routers - 1) * (bytes + 28.0) / m.periodS;
                String what = routers + " proxies, " + tenants + " tenants: " + bytes + " bytes in " + m.periodS
                        + " s, " + perSecond + " B/s";
                assertTrue(bytes <= 256 && perSecond <= 8000, what);
                assertTrue(m.periodS <= 9, what);
                if (routers == 730 && tenants == 4) {
                    System.out.println(what);
                    assertEquals(RatesMessage.HEAD + 12, bytes);
                    assertTrue(perSecond > 5000, what);
                }
            }
        }
    }

    @Test
    void whereMessagesHaveAPriceASmallPartOfItIsSpent() {
        Router.Settings s = settings(14, 100, 100, 100, 100);
        s.tellPrice = 0.0073;
        TenantRates r = new TenantRates(s, 1);
        for (double perS : new double[] {3, 10, 100, 1000}) {
            RatesMessage m = r.next(new double[] {1, 1, 1, 1}, perS);
            double bytesPerRequest = 13.0 * m.bytes().length / m.periodS / perS;
            assertTrue(bytesPerRequest <= 0.05 * 256, bytesPerRequest + " at " + perS);
        }
    }

    // ---- the use ----

    /** A light tenant that comes in at two of 73 proxies was refused three times in four, within its quota. */
    @Test
    void aLocalTenantWithinItsQuotaIsServedOnceProxiesTell() {
        int alone = refusedOfLocal(false);
        int told = refusedOfLocal(true);
        assertTrue(alone > 600, "without messages it is refused: " + alone + " of 2,000");
        assertTrue(told < 100, "with them it is served: refused " + told + " of 2,000, alone " + alone);
    }

    /**
     * Tenant 0 runs at three times its quota at all ten proxies; 1 is in its quota, all of it at this one. The
     * nodes answer 130 requests a second from here, of 200, which is enough for what is within the quotas.
     */
    private static int refusedOfLocal(boolean told) {
        Fixture out = new Fixture();
        RoutingPolicy p = out.choice(settings(10, 400, 100), 1, Fixture.nodes(8));
        int refused = 0;
        int arrived = 0;
        double capacity = 0;
        for (int i = 0; i < 20_000; i++) {
            long now = i * 5 * MS; // 200 requests a second
            if (told && i % 200 == 0) {
                for (int from = 1; from < 10; from++) {
                    p.onTold(now, from, message(from, 1 + i / 200, 1, 0, 120, 0), out);
                }
            }
            Router.Request q = Fixture.request(i, 1000 + i, now + 600 * MS);
            q.tenant = i % 5 < 2 ? 1 : 0; // 80 and 120 a second
            int before = out.sent.size();
            p.onRequest(now, q, out);
            boolean sent = out.sent.size() > before;
            capacity = Math.min(10, capacity + 130 / 200.0);
            if (sent && capacity >= 1) {
                capacity -= 1;
                out.outcome(p, now, i, 0, Router.Outcome.OK);
            } else if (sent) {
                out.outcome(p, now, i, 0, Router.Outcome.TIMEOUT);
                p.onAborted(now, i, out);
            }
            if (i >= 15_000 && q.tenant == 1) {
                arrived++;
                refused += sent ? 0 : 1;
            }
        }
        assertEquals(2000, arrived);
        return refused;
    }

    @Test
    void droppedMessagesAreCountedInTheReport() {
        Fixture out = new Fixture();
        RoutingPolicy p = out.choice(settings(4, 100, 50), 1, Fixture.nodes(3));
        p.onTold(0, 1, new byte[] {9, 9}, out);
        p.onTold(0, 9, message(1, 1, 1, 0, 1), out);
        p.onNodes(S, Router.ListKind.FAILED, new Router.Node[0], 0, out);
        assertTrue(out.all.stream().anyMatch(l -> l.startsWith("log") && l.endsWith("messages dropped 2")));
        assertFalse(out.all.stream().anyMatch(l -> l.contains("fault")));
    }
}
