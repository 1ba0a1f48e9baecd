package holdproxy.scale.virtual;

import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Lets one tenant overload the fleet with several times its quota. Measures the time until its excess is refused and
 * the other tenants are served again, and the same after a restart of proxies during the overload.
 */
final class TenantFairnessExperiment extends VirtualExperiment {
    private static final int HEAVY = 0;
    private static final int LIGHT = 1;
    private static final int LOCAL = 2;
    /** Window over which a share of requests is taken. */
    private static final double WINDOW_S = 0.5;
    /** Share of all requests that the additional tenant at a part of the proxies issues. */
    private static final double LOCAL_SHARE = 0.02;

    TenantFairnessExperiment() {
        super(
                "tenant-fairness",
                "time until a heavy tenant is refused and the light ones are served, also after restarts of "
                        + "proxies, in virtual time; where that does not happen, the whole phase counts");
        addInput("tenants", "number of tenants, the heavy one included (4)");
        addInput("heavyShare", "the heavy tenant's share of all requests under normal load (0.25)");
        addInput("heavyTimesQuota", "its request rate in the overload, as a multiple of its quota (5)");
        addInput("heavyProxies", "number of proxies that receive its requests; 0: all (0)");
        addInput(
                "localProxies",
                "proxies of an additional light tenant with 2% of the requests, within quota; 0: none (0)");
        addInput("calmS", "seconds before the overload (6)");
        addInput("heavyS", "seconds of overload before the restart (12)");
        addInput("restarted", "share of the proxies that restart (0)");
        addInput("afterS", "seconds of overload after the restart (0)");
    }

    @Override
    void run(Scenario.Point point, long seed, Progress progress, Measurements out) {
        FleetConfig config = readConfig(point);
        int tenants = point.count("tenants", 4);
        int localProxies = point.count("localProxies", 0);
        double[] quotas = new double[tenants + 1];
        double heavyPerS = config.requestsPerS * point.number("heavyShare", 0.25);
        double localPerS = localProxies > 0 ? config.requestsPerS * LOCAL_SHARE : 0;
        double lightPerS = config.requestsPerS - heavyPerS - localPerS;
        int lightTenants = tenants - 1;
        double[] weights = ZipfSampler.shares(lightTenants, config.tenantZipfExponent, 0);
        quotas[0] = heavyPerS * config.quotaMultiple;
        for (int i = 0; i < lightTenants; i++) {
            quotas[i + 1] = lightPerS * weights[i] * config.quotaMultiple;
        }
        quotas[tenants] = Math.max(1, localPerS * config.quotaMultiple);
        double calmS = point.number("calmS", 6);
        double restartS = calmS + point.number("heavyS", 12);
        double afterS = point.number("afterS", 0);
        double endS = restartS + afterS;
        long[] targetLatenciesUs = Arrays.stream(config.settings(0, quotas).classes)
                .mapToLong(c -> c.targetUs)
                .toArray();
        RequestCounts counts = new RequestCounts(
                3,
                q -> q.tenant == 0 ? HEAVY : q.tenant == tenants ? LOCAL : LIGHT,
                targetLatenciesUs,
                100_000,
                endS + 4);
        Simulation simulation = new Simulation(config, seed, quotas, counts);
        int heavyProxies = point.count("heavyProxies", 0);
        int heavyProxyCount = heavyProxies > 0 ? Math.min(heavyProxies, config.proxies) : config.proxies;
        Clients.RequestStream heavyStream =
                new Clients.RequestStream(new int[] {0}, new double[] {1}, heavyPerS, 0, heavyProxyCount);
        simulation.clients.start(heavyStream);
        simulation.clients.start(new Clients.RequestStream(
                IntStream.rangeClosed(1, lightTenants).toArray(), weights, lightPerS, 0, config.proxies));
        if (localPerS > 0) {
            simulation.clients.start(new Clients.RequestStream(
                    new int[] {tenants},
                    new double[] {1},
                    localPerS,
                    Math.max(0, config.proxies - localProxies),
                    Math.min(localProxies, config.proxies)));
        }
        simulation.runUntil(calmS);
        double overloadPerS = quotas[0] * point.number("heavyTimesQuota", 5);
        simulation.clients.setRate(heavyStream, overloadPerS);
        progress.step("overload by the heavy tenant");
        simulation.runUntil(restartS);
        int restarts = afterS > 0 ? (int) Math.ceil(point.number("restarted", 0) * config.proxies) : 0;
        for (int i = 0; i < restarts; i++) {
            simulation.restart(simulation.proxies[(int) ((long) i * config.proxies / restarts)]);
        }
        progress.step(restarts + " proxies restarted");
        simulation.runUntil(endS);
        simulation.clients.stop();
        // Lets the open requests end: the longest deadline of a class is 3 s.
        simulation.runUntil(endS + 3.1);

        out.put("load", (overloadPerS + lightPerS + localPerS) / (config.requestsPerS / config.load), "share");
        out.put("heavy.perSEach", overloadPerS / heavyProxyCount, "1/s");
        out.put("light.perSEach", (lightPerS + localPerS) / config.proxies, "1/s");
        measure(out, "", counts, calmS, restartS, overloadPerS, quotas[0]);
        if (afterS > 0) {
            measure(out, "restart.", counts, restartS, endS, overloadPerS, quotas[0]);
        }
        out.put("calm.light.inTime", counts.share(counts.inTime, LIGHT, 1, calmS), "share");
        out.put("calm.light.refused", counts.share(counts.refused, LIGHT, 1, calmS), "share");
        if (localPerS > 0) {
            out.put("local.inTime", counts.share(counts.inTime, LOCAL, calmS, restartS), "share");
            out.put("local.refused", counts.share(counts.refused, LOCAL, calmS, restartS), "share");
            out.put("local.refusedLast", counts.share(counts.refused, LOCAL, restartS - 3, restartS), "share");
            if (afterS > 0) {
                out.put("restart.local.inTime", counts.share(counts.inTime, LOCAL, restartS, endS), "share");
                out.put("restart.local.refused", counts.share(counts.refused, LOCAL, restartS, endS), "share");
            }
        }
        out.put("peers.bytesPerSEach", simulation.peerBytesPerSEach(), "B/s");
        out.put(
                "unanswered",
                Arrays.stream(simulation.proxies).mapToLong(x -> x.unanswered).sum(),
                "requests");
        out.put("events", simulation.clock.executedEvents(), "events");
    }

    /** Adds the measurements of one phase of the overload, under names that begin with {@code prefix}. */
    private static void measure(
            Measurements out,
            String prefix,
            RequestCounts counts,
            double fromS,
            double toS,
            double heavyPerS,
            double quotaPerS) {
        double excessShare = 1 - quotaPerS / heavyPerS;
        out.put(
                prefix + "heavy.halfRefused",
                secondsUntil(
                        counts,
                        fromS,
                        toS,
                        s -> counts.share(counts.refused, HEAVY, s, s + WINDOW_S) >= excessShare / 2),
                "s");
        out.put(
                prefix + "heavy.downToQuota",
                secondsUntil(
                        counts,
                        fromS,
                        toS,
                        s -> counts.share(counts.refused, HEAVY, s, s + WINDOW_S) >= excessShare * 0.9),
                "s");
        out.put(prefix + "light.ninetyInTime", secondsUntilRecovery(counts, fromS, toS, 0.9), "s");
        out.put(prefix + "light.well", secondsUntilRecovery(counts, fromS, toS, 0.95), "s");
        out.put(prefix + "light.inTime", counts.share(counts.inTime, LIGHT, fromS, toS), "share");
        out.put(prefix + "light.refused", counts.share(counts.refused, LIGHT, fromS, toS), "share");
        out.put(prefix + "light.inTimeWorst", worstSecondShare(counts, counts.inTime, fromS, toS), "share");
        out.put(prefix + "light.refusedLast", counts.share(counts.refused, LIGHT, toS - 3, toS), "share");
        out.put(prefix + "light.inTimeLast", counts.share(counts.inTime, LIGHT, toS - 3, toS), "share");
        out.put(prefix + "heavy.refusedLast", counts.share(counts.refused, HEAVY, toS - 3, toS), "share");
        out.put(
                prefix + "heavy.servedLast",
                (counts.sum(counts.inTime, HEAVY, toS - 3, toS) + counts.sum(counts.late, HEAVY, toS - 3, toS))
                        / 3
                        / quotaPerS,
                "share");
    }

    /** A condition on the window that begins at a time. */
    private interface WindowCondition {
        boolean holdsFrom(double startS);
    }

    /** Seconds from the phase's start until the condition first holds; the whole phase if it never does. */
    private static double secondsUntil(RequestCounts counts, double fromS, double toS, WindowCondition condition) {
        for (double startS = fromS; startS + WINDOW_S <= toS; startS += counts.binWidthS()) {
            if (condition.holdsFrom(startS)) {
                return Math.round((startS - fromS) * 10) / 10.0;
            }
        }
        return toS - fromS;
    }

    /**
     * Seconds from the phase's start after which the light tenants have at least this share of their requests answered
     * in time in every half second; the whole phase if the last half second falls short.
     */
    private static double secondsUntilRecovery(RequestCounts counts, double fromS, double toS, double minShare) {
        double recoveredS = fromS;
        for (double startS = fromS; startS + WINDOW_S <= toS; startS += counts.binWidthS()) {
            if (counts.share(counts.inTime, LIGHT, startS, startS + WINDOW_S) < minShare) {
                recoveredS = startS + WINDOW_S;
            }
        }
        return recoveredS >= toS - WINDOW_S ? toS - fromS : Math.round((recoveredS - fromS) * 10) / 10.0;
    }

    /** The smallest share of the light tenants' requests that {@code results} counts, over all seconds of the phase. */
    private static double worstSecondShare(RequestCounts counts, long[][] results, double fromS, double toS) {
        double worstShare = 1;
        for (double startS = fromS; startS + 1 <= toS; startS += counts.binWidthS()) {
            worstShare = Math.min(worstShare, counts.share(results, LIGHT, startS, startS + 1));
        }
        return worstShare;
    }
}
