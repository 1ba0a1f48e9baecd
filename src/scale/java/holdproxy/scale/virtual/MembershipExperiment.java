package holdproxy.scale.virtual;

import holdproxy.cluster.MemberState;
import holdproxy.cluster.MembershipSettings;
import holdproxy.scale.Experiment;
import holdproxy.scale.Measurement;
import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Measures the membership protocol: bytes, processor time, time to detect a dead member, and false detections. */
final class MembershipExperiment implements Experiment {
    private static final long US_PER_S = 1_000_000;
    private static final long MIN_DELAY_US = 500;
    private static final long KILL_INTERVAL_US = 500_000;
    /** All members count as informed of a death once this share is: a lost message may delay the last ones for long. */
    private static final double NEARLY_ALL_SHARE = 0.99;

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public String about() {
        return "bytes, processor time, detection of deaths and false detections of the membership protocol, "
                + "in virtual time";
    }

    @Override
    public Map<String, String> inputs() {
        Map<String, String> inputs = new LinkedHashMap<>();
        inputs.put("proxies", "number of members (73)");
        inputs.put("loss", "share of datagrams lost (0)");
        inputs.put("delayMs", "longest delay of a datagram, milliseconds (28)");
        inputs.put("bytesPerS", "bytes a second that a member's messages may take (1400)");
        inputs.put("quietS", "seconds without a fault, in which bytes and false deaths are counted (60)");
        inputs.put("killed", "members killed one after another (10)");
        inputs.put("afterS", "seconds after the last is killed (40)");
        return inputs;
    }

    @Override
    public List<String> differences() {
        return List.of(
                "no sockets: the processor time does not contain the operating system's work for a datagram",
                "no other traffic: datagrams are lost at random only, not by congestion");
    }

    /** When each member was killed and when the others detected it, and the number of false detections. */
    private static final class DetectionLog {
        /** Time at which each member was killed; 0: it is alive. */
        private final long[] killedUs;
        /** Time at which the first other member held the member dead; 0: none does. */
        private final long[] firstDetectedUs;
        /** Time at which each other member held the member dead, by member and observer; 0: it does not. */
        private final long[][] detectedUs;

        private int falseDeaths;
        private int falseSuspicions;

        private DetectionLog(int members) {
            killedUs = new long[members];
            firstDetectedUs = new long[members];
            detectedUs = new long[members][members];
        }

        private void recordChange(long nowUs, int observer, int member, MemberState state) {
            boolean dead = state == MemberState.DEAD;
            if (killedUs[member] == 0) {
                falseDeaths += dead ? 1 : 0;
                falseSuspicions += state == MemberState.SUSPECT ? 1 : 0;
            } else if (dead) {
                firstDetectedUs[member] = firstDetectedUs[member] == 0 ? nowUs : firstDetectedUs[member];
                detectedUs[member][observer] = nowUs;
            }
        }
    }

    @Override
    public Map<String, Measurement> run(Scenario.Point point, long seed, Progress progress) {
        int members = point.count("proxies", 73);
        MembershipSettings settings = MembershipSettings.forBandwidth(point.count("bytesPerS", 1400), members, 0);
        MembershipNetwork.LinkQuality quality = new MembershipNetwork.LinkQuality(
                point.number("loss", 0), 0, MIN_DELAY_US, (long) (point.number("delayMs", 28) * 1000));
        DetectionLog detections = new DetectionLog(members);
        MembershipNetwork[] networkHolder = new MembershipNetwork[1];
        MembershipNetwork network = new MembershipNetwork(
                settings,
                quality,
                seed,
                (observer, member, state) -> detections.recordChange(networkHolder[0].now(), observer, member, state));
        networkHolder[0] = network;
        network.startAll();
        long quietUs = (long) (point.number("quietS", 60) * US_PER_S);
        network.runFor(quietUs);
        Measurements out = new Measurements();
        out.put("period", settings.periodUs() / 1e3, "ms");
        reportTraffic(network, members, quietUs, out);
        out.put(
                "falseSuspicions.perMemberHour",
                ratePerMemberHour(detections.falseSuspicions, members, quietUs),
                "1/h");
        out.put("falseDeaths.perMemberHour", ratePerMemberHour(detections.falseDeaths, members, quietUs), "1/h");
        int killed = Math.min(point.count("killed", 10), members - 1);
        for (int i = 0; i < killed; i++) {
            detections.killedUs[i] = network.now();
            network.kill(i);
            network.runFor(KILL_INTERVAL_US);
        }
        network.runFor((long) (point.number("afterS", 40) * US_PER_S));
        reportDetection(detections, killed, members, out);
        progress.step(members + " members");
        return out.asMap();
    }

    /** Events for each member and hour. */
    private static double ratePerMemberHour(int count, int members, long durationUs) {
        return count * 3600.0 * US_PER_S / durationUs / members;
    }

    private static void reportTraffic(MembershipNetwork network, int members, long durationUs, Measurements out) {
        double bytesPerSSum = 0;
        double mostBytesPerS = 0;
        double cpuCores = 0;
        for (int i = 0; i < members; i++) {
            double bytesPerS = network.sentBytes(i) * 1e6 / durationUs;
            bytesPerSSum += bytesPerS;
            mostBytesPerS = Math.max(mostBytesPerS, bytesPerS);
            cpuCores += network.cpuNanos(i) / 1e3 / durationUs;
        }
        out.put("sent.mean", bytesPerSSum / members, "B/s");
        out.put("sent.most", mostBytesPerS, "B/s");
        out.put("cpu", cpuCores / members, "cores");
    }

    private static void reportDetection(DetectionLog detections, int killed, int members, Measurements out) {
        long[] firstDelaysUs = new long[killed];
        long[] allDelaysUs = new long[killed];
        int undetected = 0;
        for (int i = 0; i < killed; i++) {
            long[] detectionTimesUs = Arrays.stream(detections.detectedUs[i], killed, members)
                    .sorted()
                    .toArray();
            long undetectedCount =
                    Arrays.stream(detectionTimesUs).filter(t -> t == 0).count();
            int nearlyLast = (int) Math.ceil(NEARLY_ALL_SHARE * detectionTimesUs.length) - 1;
            boolean detected = undetectedCount <= detectionTimesUs.length - 1 - nearlyLast;
            undetected += detected ? 0 : 1;
            // Observers that have not detected the death sort first, with time 0.
            int index = Math.min(detectionTimesUs.length - 1, nearlyLast + (int) undetectedCount);
            firstDelaysUs[i] = Math.max(0, detections.firstDetectedUs[i] - detections.killedUs[i]);
            allDelaysUs[i] = detected ? detectionTimesUs[index] - detections.killedUs[i] : 0;
        }
        Arrays.sort(firstDelaysUs);
        Arrays.sort(allDelaysUs);
        out.put("detected.p50", firstDelaysUs[killed / 2] / 1e6, "s");
        out.put("detected.p99", firstDelaysUs[Math.min(killed - 1, killed * 99 / 100)] / 1e6, "s");
        out.put("told.p50", allDelaysUs[killed / 2] / 1e6, "s");
        out.put("told.p99", allDelaysUs[Math.min(killed - 1, killed * 99 / 100)] / 1e6, "s");
        out.put("undetected", undetected, "1");
    }
}
