package holdproxy.scale.virtual;

import holdproxy.cluster.MalformedMessageException;
import holdproxy.cluster.MemberState;
import holdproxy.cluster.Membership;
import holdproxy.cluster.MembershipSettings;
import holdproxy.cluster.Message;
import holdproxy.cluster.MessageCodec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Members of the membership protocol in virtual time, on a network that loses, delays and duplicates datagrams and can
 * be partitioned. Every message is encoded and decoded. Times are in microseconds.
 */
final class MembershipNetwork {
    /** Bytes that the headers of IPv4 and UDP add to a datagram. */
    private static final int HEADER_BYTES = 28;

    /** Notified when a member changes the state in which it holds another member. */
    @FunctionalInterface
    interface Observer {
        void stateChanged(int observer, int member, MemberState state);
    }

    /**
     * How the network treats datagrams.
     *
     * @param loss share of the datagrams that are lost
     * @param duplicated share of the datagrams that are delivered twice
     * @param minDelayUs shortest delay; each is drawn evenly from here up to the longest
     * @param maxDelayUs longest delay
     */
    record LinkQuality(double loss, double duplicated, long minDelayUs, long maxDelayUs) {}

    /** A member's process. */
    private final class MemberProcess {
        private final int number;
        private Membership membership;
        /** Counts starts, kills, pauses and resumes: a timer that was set before the latest one is ignored. */
        private int generation;

        private boolean running;
        private boolean paused;
        /** Datagrams that arrived during a pause. */
        private final List<byte[]> pausedDatagrams = new ArrayList<>();

        private long sentBytes;
        private long cpuNanos;

        private MemberProcess(int number) {
            this.number = number;
        }

        private void start() {
            generation++;
            running = true;
            paused = false;
            pausedDatagrams.clear();
            MembershipSettings memberSettings = new MembershipSettings(
                    settings.members(),
                    number,
                    settings.periodUs(),
                    settings.ackTimeoutUs(),
                    settings.indirectProbes());
            membership = new Membership(
                    memberSettings,
                    1 + clock.now() / 1000,
                    random.nextLong(),
                    clock.now(),
                    (to, message) -> send(this, to, message),
                    (member, state, incarnation) -> observer.stateChanged(number, member, state));
            runTimer();
        }

        /** Runs the membership's timer and schedules its next run. */
        private void runTimer() {
            int timerGeneration = generation;
            long startNanos = System.nanoTime();
            long dueUs = membership.onTimer(clock.now());
            cpuNanos += System.nanoTime() - startNanos;
            clock.scheduleAt(Math.max(clock.now(), dueUs), () -> {
                if (timerGeneration == generation && running) {
                    runTimer();
                }
            });
        }

        private void receive(byte[] datagram) {
            if (!running) {
                return;
            }
            if (paused) {
                pausedDatagrams.add(datagram);
                return;
            }
            long startNanos = System.nanoTime();
            try {
                membership.onMessage(clock.now(), codec.decode(datagram));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException("an encoded message cannot be decoded", e);
            }
            cpuNanos += System.nanoTime() - startNanos;
        }
    }

    private final EventClock clock = new EventClock();
    private final SplittableRandom random;
    private final MembershipSettings settings;
    private final MessageCodec codec;
    private final Observer observer;
    private final MemberProcess[] processes;
    /** The side of the partition on which each member is; all are 0 where there is none. */
    private final int[] side;
    /** Whether datagrams still pass from side 1 to side 0. */
    private boolean oneWay;

    private LinkQuality quality;

    MembershipNetwork(MembershipSettings settings, LinkQuality quality, long seed, Observer observer) {
        this.settings = settings;
        this.quality = quality;
        this.observer = observer;
        random = new SplittableRandom(seed);
        codec = new MessageCodec(settings.members(), settings.members());
        processes = new MemberProcess[settings.members()];
        side = new int[processes.length];
        for (int i = 0; i < processes.length; i++) {
            processes[i] = new MemberProcess(i);
        }
    }

    /** Starts all members. */
    void startAll() {
        for (MemberProcess process : processes) {
            process.start();
        }
    }

    /** Starts a member as a new process with a higher incarnation. */
    void start(int member) {
        processes[member].start();
    }

    /** Kills a member, as SIGKILL does. */
    void kill(int member) {
        processes[member].generation++;
        processes[member].running = false;
    }

    /** Pauses a member, as SIGSTOP does; datagrams for it are kept. */
    void pause(int member) {
        processes[member].generation++;
        processes[member].paused = true;
    }

    /** Resumes a paused member, as SIGCONT does: its overdue timer runs first, then it receives the kept datagrams. */
    void resume(int member) {
        MemberProcess process = processes[member];
        if (!process.running || !process.paused) {
            return;
        }
        process.paused = false;
        process.generation++;
        process.runTimer();
        List<byte[]> unread = new ArrayList<>(process.pausedDatagrams);
        process.pausedDatagrams.clear();
        unread.forEach(process::receive);
    }

    /**
     * Puts a member on a side of a partition. Datagrams do not pass between different sides; with {@code onlyOneWay}
     * those to side 0 still do.
     */
    void setSide(int member, int newSide, boolean onlyOneWay) {
        side[member] = newSide;
        oneWay = onlyOneWay;
    }

    /** Ends the partition. */
    void heal() {
        Arrays.fill(side, 0);
    }

    /** Changes how datagrams are treated from now on. */
    void setQuality(LinkQuality changed) {
        quality = changed;
    }

    /** Runs all members for this time. */
    void runFor(long durationUs) {
        clock.runUntil(clock.now() + durationUs);
    }

    long now() {
        return clock.now();
    }

    /** Whether a member has been started and is neither killed nor paused. */
    boolean isRunning(int member) {
        return processes[member].running && !processes[member].paused;
    }

    /** The membership of a member's latest process. */
    Membership membership(int member) {
        return processes[member].membership;
    }

    /** Bytes that a member has sent so far, headers included. */
    long sentBytes(int member) {
        return processes[member].sentBytes;
    }

    /**
     * Real time in nanoseconds that a member's timers and received messages have taken so far, encoding and decoding
     * included.
     */
    long cpuNanos(int member) {
        return processes[member].cpuNanos;
    }

    private boolean passes(int from, int to) {
        return side[from] == side[to] || oneWay && side[to] == 0;
    }

    private void send(MemberProcess from, int to, Message message) {
        byte[] datagram = codec.encode(message);
        from.sentBytes += datagram.length + HEADER_BYTES;
        int copies = random.nextDouble() < quality.duplicated ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= quality.loss) {
                long delayRangeUs = quality.maxDelayUs - quality.minDelayUs;
                long delayUs = quality.minDelayUs + (long) (random.nextDouble() * delayRangeUs);
                clock.scheduleAfter(delayUs, () -> {
                    if (passes(from.number, to)) {
                        processes[to].receive(datagram);
                    }
                });
            }
        }
    }
}
