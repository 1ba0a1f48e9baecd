package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The program under clients that send at about the time at which the proxy closes their connections, while the process
 * is held up now and then, until SIGKILL at its earliest. The system properties {@code soak.first} and
 * {@code soak.seeds} choose other seeds than those of the default run, and {@code soak.runMs} a longer time before
 * SIGTERM, in milliseconds.
 */
@Timeout(120)
class CloseSoakTest {
    private static final int NODES = 6;
    /** An orderly end that is followed by no reset within this time has lost the requests that were sent. */
    private static final int RESET_WAIT_MS = 3000;
    /** A request that is sent this long before its connection ends has not crossed the end. */
    private static final int CROSSING_MS = 50;
    /** How long a proxy may be held up, in milliseconds. */
    private static final int MIN_PAUSE_MS = 50;

    private static final int MAX_PAUSE_MS = 140;
    /** When the proxy closes idle connections, counted from SIGTERM, and for how long clients send around that time. */
    private static final int DRAIN_CLOSE_MS = 500;

    private static final int AROUND_CLOSE_MS = 120;

    @TempDir
    Path folder;

    private final List<RestingClient> clients = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private ProxyWithNodes proxy;
    private SplittableRandom random;
    private boolean holdsUp;
    private long sigtermNanos;

    private static LongStream seeds() {
        long first = Long.getLong("soak.first", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 8));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void requestsAreAnsweredOrLeftUnreadWhateverEndsTheirConnection(long seed) throws Exception {
        random = new SplittableRandom(seed);
        int deadlineMs = List.of(400, 800, 1700, 3000).get(random.nextInt(4));
        boolean hasCrowd = random.nextInt(3) == 0;
        holdsUp = random.nextInt(4) > 0;
        int descriptors = hasCrowd || random.nextBoolean() ? 256 : 1024;
        proxy = new ProxyWithNodes(folder, NODES, 1 + random.nextInt(40), deadlineMs, descriptors);
        try {
            startClients(hasCrowd ? 120 : 40, deadlineMs);
            runUntilSigterm(Integer.getInteger("soak.runMs", 2500) + random.nextInt(1500));
            endProxy();
        } finally {
            clients.forEach(RestingClient::stop);
            proxy.close();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        park(RESET_WAIT_MS);
        report(seed, deadlineMs, descriptors, hasCrowd);
    }

    private void startClients(int count, int deadlineMs) {
        for (int i = 0; i < count; i++) {
            RestingClient client = new RestingClient(proxy.listen, "c" + i, i, random.split(), deadlineMs);
            clients.add(client);
            threads.add(new Thread(client, "client " + i));
        }
        threads.forEach(Thread::start);
    }

    /** Holds the process up and sends SIGHUP now and then. */
    private void runUntilSigterm(int lengthMs) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lengthMs);
        while (System.nanoTime() < endNanos) {
            park(100 + random.nextInt(400));
            holdUp();
            if (random.nextInt(4) == 0) {
                proxy.signal("HUP");
                proxy.signal("HUP");
            }
        }
    }

    /**
     * Has some nodes hang in some runs, sends SIGTERM, twice in some, has the clients send around the closes, and kills
     * at the earliest time.
     */
    private void endProxy() throws IOException, InterruptedException {
        if (random.nextBoolean()) {
            proxy.nodes.subList(0, NODES / 2).forEach(ServingNode::hang);
        }
        sigtermNanos = System.nanoTime();
        proxy.signal("TERM");
        for (RestingClient client : clients) {
            double afterMs = DRAIN_CLOSE_MS + random.nextDouble(-AROUND_CLOSE_MS / 2, AROUND_CLOSE_MS);
            client.sendAt(sigtermNanos + (long) (afterMs * 1e6));
        }
        if (random.nextInt(3) == 0) {
            proxy.signal("HUP");
            proxy.signal("TERM");
        }
        parkUntil(sigtermNanos, DRAIN_CLOSE_MS - random.nextInt(MAX_PAUSE_MS));
        holdUp();
        parkUntil(sigtermNanos, proxy.killDelayMs);
    }

    private void holdUp() throws IOException, InterruptedException {
        if (holdsUp) {
            proxy.signal("STOP");
            park(MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS));
            proxy.signal("CONT");
        }
    }

    private static void park(int ms) {
        parkUntil(System.nanoTime(), ms);
    }

    private static void parkUntil(long sinceNanos, int ms) {
        long untilNanos = sinceNanos + TimeUnit.MILLISECONDS.toNanos(ms);
        for (long now = System.nanoTime(); now < untilNanos; now = System.nanoTime()) {
            LockSupport.parkNanos(untilNanos - now);
        }
    }

    private void report(long seed, int deadlineMs, int descriptors, boolean hasCrowd) throws IOException {
        List<RestingClient.Sent> all =
                clients.stream().flatMap(client -> client.results().stream()).toList();
        KernelSockets open = KernelSockets.read();
        List<String> lost = new ArrayList<>();
        int answered = 0;
        int waitedUnread = 0;
        for (RestingClient.Sent sent : all) {
            answered += sent.outcome() == RestingClient.Outcome.ANSWERED ? 1 : 0;
            String why = whyLost(sent, open);
            waitedUnread +=
                    why == null && sent.outcome() != RestingClient.Outcome.ANSWERED && tookMs(sent) > CROSSING_MS
                            ? 1
                            : 0;
            if (why != null) {
                lost.add(sent.id() + ", sent " + TimeUnit.NANOSECONDS.toMillis(sent.sentNanos() - sigtermNanos)
                        + " ms after SIGTERM, " + why);
            }
        }
        for (RestingClient.Sent sent : all) {
            sent.connection().close();
        }
        System.out.println("close soak, seed " + seed + ": deadline " + deadlineMs + " ms, " + descriptors
                + " descriptors, " + (hasCrowd ? "crowd, " : "") + (holdsUp ? "held up, " : "") + answered
                + " answered, " + (all.size() - answered - lost.size()) + " left unread (" + waitedUnread
                + " of them waited longer than " + CROSSING_MS + " ms), " + lost.size() + " lost");
        assertEquals(List.of(), lost, "lost of " + all.size() + "; log:\n" + Files.readString(folder.resolve("log")));
    }

    private static long tookMs(RestingClient.Sent sent) {
        return TimeUnit.NANOSECONDS.toMillis(sent.endedNanos() - sent.sentNanos());
    }

    /**
     * Why the request counts as lost; null if it does not.
     *
     * @param open the sockets that were not reset within the time for it
     */
    private String whyLost(RestingClient.Sent sent, KernelSockets open) {
        long tookMs = tookMs(sent);
        switch (sent.outcome()) {
            case ANSWERED:
                return null;
            case LATE:
                return "had no answer after " + tookMs + " ms";
            default:
                if (proxy.wasSentToNode(sent.id())) {
                    return "was sent to a node, and its connection ended after " + tookMs + " ms";
                }
                boolean isReset =
                        sent.outcome() == RestingClient.Outcome.UNREAD || !open.contains(sent.connection().socket);
                return isReset ? null : "was read, and its connection ended in order after " + tookMs + " ms";
        }
    }
}
