package holdproxy.cluster;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * One member's view of the group: which members are alive, suspected or dead. The caller delivers messages and
 * calls {@link #onTimer} when it is due. No method blocks, and the memory per member is constant.
 *
 * <p>Members start as alive at incarnation 0. Dead members are pinged from time to time with an update about
 * their own death, so that a member that was only paused or partitioned refutes it and becomes alive again. A
 * pause of this process is not evidence against other members, so it postpones the deadlines that passed
 * during the pause.
 */
public final class Membership {
    /** Sends messages to other members. Messages may be lost. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message to a member. Must not call {@link Membership#onMessage} before it returns. */
        void send(int member, Message message);
    }

    /** Is notified of each change of another member's state. */
    @FunctionalInterface
    public interface Listener {
        /** Called after the state of the member has changed to {@code state} at {@code incarnation}. */
        void changed(int member, MemberState state, long incarnation);
    }

    /** One dead member is pinged every this many periods. */
    private static final int PERIODS_PER_DEAD_PROBE = 2;

    private static final class Member {
        private MemberState state = MemberState.ALIVE;
        private long incarnation;
    }

    /** The unanswered probe of the current period; {@code indirectAtUs} is when indirect probes are requested. */
    private record Probe(int target, int sequence, long indirectAtUs) {}

    /** A ping sent on behalf of {@code requester}, to whom the answer is forwarded. */
    private record Relay(int requester, int requesterSequence, long expiresUs) {}

    /** The deadline of a suspicion against a member at one incarnation. */
    private record Suspicion(long expiresUs, int member, long incarnation) {}

    private final MembershipSettings settings;
    private final SplittableRandom random;
    private final Sender sender;
    private final Listener listener;
    private final Member[] members;
    private final UpdateQueue updates = new UpdateQueue();
    private final Map<Integer, Relay> relays = new HashMap<>();
    private final PriorityQueue<Suspicion> suspicions =
            new PriorityQueue<>((a, b) -> Long.compare(a.expiresUs, b.expiresUs));
    private final int[] probeOrder;
    private int probeIndex;
    private int nextSequence;
    private long nextPeriodUs;
    /** The time at which {@link #onTimer} is to be called next. */
    private long nextTimerUs;

    private long periodCount;
    private Probe probe;
    private boolean indirectProbesSent;
    private boolean hasLeft;
    private int liveMembers;

    /**
     * Creates the view of one member. Its first probe is due within one period.
     *
     * @param settings the protocol's timing, and this member's number
     * @param incarnation a number higher than that of any earlier process of this member, for example its start
     *     time
     * @param seed the seed of the random choices
     * @param nowUs the current time in microseconds
     * @param sender sends this member's messages
     * @param listener is notified of changes of the other members' states
     */
    public Membership(
            MembershipSettings settings, long incarnation, long seed, long nowUs, Sender sender, Listener listener) {
        this.settings = settings;
        this.sender = sender;
        this.listener = listener;
        random = new SplittableRandom(seed);
        members = new Member[settings.members()];
        probeOrder = new int[settings.members()];
        for (int i = 0; i < members.length; i++) {
            members[i] = new Member();
            probeOrder[i] = i;
        }
        liveMembers = members.length;
        members[settings.self()].incarnation = incarnation;
        updates.add(ownUpdate());
        nextSequence = random.nextInt();
        probeIndex = probeOrder.length;
        // A random offset keeps members that start together from probing at the same time in every period.
        nextPeriodUs = nowUs + (long) (random.nextDouble() * settings.periodUs());
        nextTimerUs = nextPeriodUs;
    }

    /** Returns the state in which this member considers the given one. */
    public MemberState state(int member) {
        return members[member].state;
    }

    /** Returns the highest known incarnation of a member; 0 if nothing has been received about it. */
    public long incarnation(int member) {
        return members[member].incarnation;
    }

    /** Returns the number of members that are not considered dead, this one included. */
    public int liveMembers() {
        return liveMembers;
    }

    /** Returns whether more than half of the configured members are alive or suspected, this one included. */
    public boolean seesMajority() {
        return 2 * liveMembers > members.length;
    }

    /**
     * Performs the actions that are due.
     *
     * @return the time of the next call in microseconds; {@link Long#MAX_VALUE} once this member has left
     */
    public long onTimer(long nowUs) {
        if (hasLeft) {
            return Long.MAX_VALUE;
        }
        if (nowUs - nextTimerUs > settings.ackTimeoutUs()) {
            extendDeadlinesByPause(nowUs - nextTimerUs);
        }
        expireSuspicions(nowUs);
        if (probe != null && !indirectProbesSent && nowUs >= probe.indirectAtUs) {
            indirectProbesSent = true;
            requestIndirectProbes();
        }
        if (nowUs >= nextPeriodUs) {
            endPeriod(nowUs);
            beginPeriod(nowUs);
        }
        nextTimerUs = nextActionUs();
        return nextTimerUs;
    }

    /**
     * Cancels the current probe and extends all suspicions by the length of a pause of this process. Answers and
     * refutations that arrived during the pause have not been read yet.
     */
    private void extendDeadlinesByPause(long pausedUs) {
        probe = null;
        List<Suspicion> postponed = new ArrayList<>();
        for (Suspicion suspicion : suspicions) {
            postponed.add(new Suspicion(suspicion.expiresUs + pausedUs, suspicion.member, suspicion.incarnation));
        }
        suspicions.clear();
        suspicions.addAll(postponed);
    }

    private long nextActionUs() {
        long due = nextPeriodUs;
        if (probe != null && !indirectProbesSent) {
            due = Math.min(due, probe.indirectAtUs);
        }
        Suspicion first = suspicions.peek();
        return first == null ? due : Math.min(due, first.expiresUs);
    }

    // ---- probing ----

    private void beginPeriod(long nowUs) {
        // Periods missed during a pause of this process are skipped.
        nextPeriodUs = Math.max(nextPeriodUs + settings.periodUs(), nowUs + settings.periodUs() / 2);
        relays.values().removeIf(relay -> relay.expiresUs <= nowUs);
        pingSuspects();
        if (++periodCount % PERIODS_PER_DEAD_PROBE == 0) {
            pingRandomDeadMember();
        }
        int target = nextProbeTarget();
        if (target < 0) {
            return;
        }
        indirectProbesSent = false;
        probe = new Probe(target, ping(target), nowUs + settings.ackTimeoutUs());
    }

    /** Pings a member and returns the sequence number that its answer will carry. */
    private int ping(int member) {
        int sequence = nextSequence++;
        send(member, new Message.Ping(settings.self(), ownIncarnation(), sequence, takeUpdatesFor(member)));
        return sequence;
    }

    /**
     * Returns the next member to probe, or -1 if there is no other live member. Targets are taken round-robin from
     * an order that is reshuffled after each round, so less than two rounds pass between two probes of a live member.
     */
    private int nextProbeTarget() {
        for (int tries = 0; tries < 2 * probeOrder.length; tries++) {
            if (probeIndex >= probeOrder.length) {
                shuffle(probeOrder);
                probeIndex = 0;
            }
            int member = probeOrder[probeIndex++];
            if (member != settings.self() && members[member].state != MemberState.DEAD) {
                return member;
            }
        }
        return -1;
    }

    private void endPeriod(long nowUs) {
        if (probe != null) {
            Member target = members[probe.target];
            apply(new MemberUpdate(probe.target, MemberState.SUSPECT, target.incarnation), nowUs);
            probe = null;
        }
    }

    private void requestIndirectProbes() {
        int[] others = otherLiveMembers(probe.target);
        shuffle(others);
        for (int i = 0; i < Math.min(settings.indirectProbes(), others.length); i++) {
            send(
                    others[i],
                    new Message.PingRequest(
                            settings.self(),
                            ownIncarnation(),
                            probe.sequence,
                            probe.target,
                            takeUpdatesFor(others[i])));
        }
    }

    /** Returns the members that are not considered dead, without this member and {@code excluded}. */
    private int[] otherLiveMembers(int excluded) {
        int[] found = new int[members.length];
        int count = 0;
        for (int i = 0; i < members.length; i++) {
            if (i != settings.self() && i != excluded && members[i].state != MemberState.DEAD) {
                found[count++] = i;
            }
        }
        return Arrays.copyOf(found, count);
    }

    /**
     * Pings suspected members. A suspected member may not know of the suspicion yet, and has to refute it before
     * the suspicion expires.
     */
    private void pingSuspects() {
        int pinged = 0;
        for (int i = 0; i < members.length && pinged < settings.indirectProbes(); i++) {
            if (members[i].state == MemberState.SUSPECT) {
                pinged++;
                ping(i);
            }
        }
    }

    /**
     * Pings a randomly chosen dead member. The ping carries the update about its death, which the member refutes
     * if it is running after all.
     */
    private void pingRandomDeadMember() {
        int deadMembers = members.length - liveMembers;
        if (deadMembers == 0) {
            return;
        }
        int skip = random.nextInt(deadMembers);
        for (int i = 0; i < members.length; i++) {
            if (members[i].state == MemberState.DEAD && skip-- == 0) {
                ping(i);
                return;
            }
        }
    }

    // ---- messages ----

    /**
     * Processes a received message. The caller has to check that it came from the address of the member named as
     * its sender.
     */
    public void onMessage(long nowUs, Message message) {
        if (hasLeft || message.sender() == settings.self()) {
            return;
        }
        apply(new MemberUpdate(message.sender(), MemberState.ALIVE, message.incarnation()), nowUs);
        message.updates().forEach(update -> apply(update, nowUs));
        if (message instanceof Message.Ping ping) {
            acknowledge(ping.sender(), ping.sequence(), settings.self());
        } else if (message instanceof Message.PingRequest request) {
            relayPing(request, nowUs);
        } else if (message instanceof Message.Ack ack) {
            onAck(ack);
        }
    }

    private void acknowledge(int to, int sequence, int acknowledged) {
        send(to, new Message.Ack(settings.self(), ownIncarnation(), sequence, acknowledged, takeUpdatesFor(to)));
    }

    private void relayPing(Message.PingRequest request, long nowUs) {
        if (request.target() == settings.self()) {
            acknowledge(request.sender(), request.sequence(), settings.self());
            return;
        }
        if (relays.size() >= members.length) {
            return; // Bounds the pending relays: one for each member that could request one.
        }
        long expiresUs = nowUs + settings.periodUs();
        relays.put(ping(request.target()), new Relay(request.sender(), request.sequence(), expiresUs));
    }

    private void onAck(Message.Ack ack) {
        Relay relay = ack.acknowledged() == ack.sender() ? relays.remove(ack.sequence()) : null;
        if (relay != null) {
            acknowledge(relay.requester, relay.requesterSequence, ack.acknowledged());
        } else if (probe != null && ack.sequence() == probe.sequence && ack.acknowledged() == probe.target) {
            probe = null;
        }
    }

    private void send(int member, Message message) {
        sender.send(member, message);
    }

    /**
     * Returns the updates to piggyback on a message and counts them as transmitted. A suspicion or death of the
     * receiver itself comes first, since only the receiver can refute it.
     */
    private List<MemberUpdate> takeUpdatesFor(int receiver) {
        Member member = members[receiver];
        if (member.state == MemberState.ALIVE) {
            return updates.take(MessageCodec.MAX_UPDATES, settings.transmissionsPerUpdate());
        }
        List<MemberUpdate> all = new ArrayList<>();
        all.add(new MemberUpdate(receiver, member.state, member.incarnation));
        all.addAll(updates.take(MessageCodec.MAX_UPDATES - 1, settings.transmissionsPerUpdate()));
        return all;
    }

    // ---- member states ----

    private void apply(MemberUpdate update, long nowUs) {
        if (update.member() == settings.self()) {
            refute(update);
            return;
        }
        Member member = members[update.member()];
        if (!update.supersedes(member.state, member.incarnation)) {
            return;
        }
        boolean changed = member.state != update.state();
        boolean wasDead = member.state == MemberState.DEAD;
        member.state = update.state();
        member.incarnation = update.incarnation();
        updates.add(update);
        if (member.state == MemberState.SUSPECT) {
            long expiresUs = nowUs + settings.suspicionTimeoutUs();
            suspicions.add(new Suspicion(expiresUs, update.member(), update.incarnation()));
        }
        if (wasDead != (member.state == MemberState.DEAD)) {
            liveMembers += wasDead ? 1 : -1;
        }
        if (changed) {
            listener.changed(update.member(), member.state, member.incarnation);
        }
    }

    /** Refutes an update that says this member is suspected or dead by raising its own incarnation above it. */
    private void refute(MemberUpdate update) {
        if (update.state() != MemberState.ALIVE && update.incarnation() >= ownIncarnation()) {
            members[settings.self()].incarnation = update.incarnation() + 1;
            updates.add(ownUpdate());
        }
    }

    private void expireSuspicions(long nowUs) {
        while (!suspicions.isEmpty() && suspicions.peek().expiresUs <= nowUs) {
            Suspicion suspicion = suspicions.poll();
            Member member = members[suspicion.member];
            if (member.state == MemberState.SUSPECT && member.incarnation == suspicion.incarnation) {
                apply(new MemberUpdate(suspicion.member, MemberState.DEAD, suspicion.incarnation), nowUs);
            }
        }
    }

    /**
     * Announces to some other members that this one is shutting down, so that its death does not have to be
     * detected. After this call the member neither sends messages nor processes received ones.
     */
    public void leave() {
        if (hasLeft) {
            return;
        }
        hasLeft = true;
        MemberUpdate ownDeath = new MemberUpdate(settings.self(), MemberState.DEAD, ownIncarnation());
        int[] others = otherLiveMembers(settings.self());
        shuffle(others);
        for (int i = 0; i < Math.min(1 + settings.indirectProbes(), others.length); i++) {
            int sequence = nextSequence++;
            send(others[i], new Message.Ping(settings.self(), ownIncarnation(), sequence, List.of(ownDeath)));
        }
    }

    private MemberUpdate ownUpdate() {
        return new MemberUpdate(settings.self(), MemberState.ALIVE, ownIncarnation());
    }

    private long ownIncarnation() {
        return members[settings.self()].incarnation;
    }

    private void shuffle(int[] numbers) {
        for (int i = numbers.length - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int swapped = numbers[i];
            numbers[i] = numbers[j];
            numbers[j] = swapped;
        }
    }
}
