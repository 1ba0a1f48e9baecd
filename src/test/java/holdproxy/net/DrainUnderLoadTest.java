package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The program after SIGTERM under clients that use their connections until these end. Every request whose last byte was
 * sent gets its answer, whatever the cache nodes do. SIGKILL follows after the longest deadline, 3 s at most, and
 * 0.7 s.
 */
@Timeout(60)
class DrainUnderLoadTest {
    /** The longest deadline that counts in the time until SIGKILL. */
    private static final int DEADLINE_MS = 3000;

    private static final int NODES = 8;
    private static final int SERVICE_MS = 250;
    /** A request that is sent this long before the client sees the end may have crossed it. */
    private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    @TempDir
    Path folder;

    private final List<Client> clients = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final AtomicInteger nextId = new AtomicInteger();
    private ProxyWithNodes proxy;

    /** A request, and when its last byte was sent. */
    private record Sent(String id, long sentNanos) {}

    /** Sends reads and counts their answers until the proxy ends the connection. */
    private final class Client {
        private final TestConnection connection;
        private final List<Sent> sent = new CopyOnWriteArrayList<>();
        private final Thread reader = new Thread(this::readAnswers, "client");
        private volatile int answered;
        private volatile boolean ended;
        private volatile long endNanos;

        Client() throws IOException {
            connection = TestConnection.connect(proxy.listen);
            reader.start();
        }

        /** Sends reads with one write, unless the connection has ended. */
        synchronized void send(int count, int waitMs) {
            List<String> ids = new ArrayList<>();
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < count; i++) {
                String id = "q" + nextId.incrementAndGet();
                ids.add("O" + id);
                commands.append(readCommand(id, waitMs));
            }
            sendText(commands.toString(), ids);
        }

        /** Sends a text that completes the reads with these ids. */
        synchronized void sendText(String text, List<String> completedIds) {
            if (ended) {
                return;
            }
            try {
                connection.send(text);
                completedIds.forEach(id -> sent.add(new Sent(id, System.nanoTime())));
            } catch (IOException e) {
                // the connection has ended
            }
        }

        private void readAnswers() {
            try {
                for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                    if (line.startsWith("VA ")) {
                        connection.readLine();
                    }
                    answered++;
                }
            } catch (IOException e) {
                // the proxy or the test has closed the connection
            }
            endNanos = System.nanoTime();
            ended = true;
        }

        /** The requests that the proxy took and did not answer. */
        List<String> lost() throws InterruptedException, IOException {
            reader.join();
            connection.close();
            return sent.subList(answered, sent.size()).stream()
                    .filter(request -> endNanos - request.sentNanos > CROSSING_NANOS || proxy.wasSentToNode(request.id))
                    .map(request -> request.id)
                    .toList();
        }
    }

    /** Returns a read of a key of its own, so that all nodes get some. */
    private static String readCommand(String id, int waitMs) {
        String key = Long.toHexString(new SplittableRandom(id.hashCode()).nextLong());
        return ProxyFixture.readCommand(id, waitMs).replace("7f3a9c21e0b4d655", key);
    }

    /** Starts the nodes, and a proxy whose classes all have this deadline. */
    private void start(int deadlineMs) throws Exception {
        proxy = new ProxyWithNodes(folder, NODES, SERVICE_MS, deadlineMs, 1024);
    }

    private void hangHalfOfTheNodes() {
        proxy.nodes.subList(0, NODES / 2).forEach(ServingNode::hang);
    }

    @AfterEach
    void stopAll() throws Exception {
        timer.shutdownNow();
        proxy.close();
    }

    private void openClients(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            clients.add(new Client());
        }
    }

    /** Has each client send so many reads at once, again and again. */
    private void sendPeriodically(int count, int waitMs, int periodMs) {
        for (Client client : clients) {
            timer.scheduleAtFixedRate(() -> client.send(count, waitMs), 0, periodMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends SIGTERM, and SIGKILL at its time. */
    private void terminate() {
        proxy.process.destroy();
        timer.schedule(() -> proxy.process.destroyForcibly(), proxy.killDelayMs, TimeUnit.MILLISECONDS);
    }

    private void assertNothingLost() throws Exception {
        List<String> lost = new ArrayList<>();
        int sent = 0;
        for (Client client : clients) {
            lost.addAll(client.lost());
            sent += client.sent.size();
        }
        assertEquals(List.of(), lost, "lost of " + sent + " requests");
        assertTrue(proxy.process.waitFor(proxy.killDelayMs, TimeUnit.MILLISECONDS));
        assertEquals(0, proxy.process.exitValue(), "the program did not end by itself");
    }

    /** Guards against lost requests: the connections of clients that never pause had no end before the process's. */
    @Test
    void clientsThatSendBeforeTheirAnswersComeLoseNothing() throws Exception {
        start(DEADLINE_MS);
        openClients(3);
        sendPeriodically(3, DEADLINE_MS, 100);
        timer.schedule(this::terminate, 1, TimeUnit.SECONDS).get();
        assertNothingLost();
    }

    /** Guards against lost requests: some were taken although their time ended after the process had to exit. */
    @Test
    void requestsTakenWhileHalfOfTheNodesHangAreAnswered() throws Exception {
        start(DEADLINE_MS);
        openClients(16);
        sendPeriodically(1, 1600, 400);
        timer.schedule(this::terminate, 1, TimeUnit.SECONDS).get();
        hangHalfOfTheNodes();
        assertNothingLost();
    }

    /** Guards against lost requests: the time of a request that ends late in the drain is longer than the drain. */
    @Test
    void requestsThatEndLateInTheDrainAreAnsweredThoughNodesHang() throws Exception {
        start(DEADLINE_MS);
        openClients(24);
        hangHalfOfTheNodes();
        terminate();
        for (Client client : clients) {
            String id = "q" + nextId.incrementAndGet();
            String command = readCommand(id, DEADLINE_MS);
            int half = command.length() / 2;
            timer.schedule(() -> client.sendText(command.substring(0, half), List.of()), 300, TimeUnit.MILLISECONDS);
            timer.schedule(
                    () -> client.sendText(command.substring(half), List.of("O" + id)), 900, TimeUnit.MILLISECONDS);
        }
        assertNothingLost();
    }

    /**
     * Guards against lost requests where the longest deadline is not 3 s: the drain was planned to take the longest
     * deadline, and 3 s where that is shorter, so SIGKILL came before the last answers.
     */
    @ParameterizedTest
    @ValueSource(ints = {1500, 4000, 8000})
    void requestsAreAnsweredBeforeSigkillWhateverTheLongestDeadline(int deadlineMs) throws Exception {
        start(deadlineMs);
        openClients(12);
        sendPeriodically(1, deadlineMs * 8 / 10, 250);
        timer.schedule(this::terminate, 1, TimeUnit.SECONDS).get();
        hangHalfOfTheNodes();
        assertNothingLost();
    }

    /** A client that stops in the middle of a command, and a repeated SIGTERM, cost the others nothing. */
    @Test
    void halfACommandAndASecondSigtermChangeNothing() throws Exception {
        start(DEADLINE_MS);
        openClients(1);
        clients.get(0).sendText("mg 7f3a9c21", List.of());
        clients.remove(0);
        openClients(8);
        sendPeriodically(1, 1600, 400);
        timer.schedule(this::terminate, 1, TimeUnit.SECONDS).get();
        hangHalfOfTheNodes();
        timer.schedule(() -> proxy.process.destroy(), 300, TimeUnit.MILLISECONDS);
        assertNothingLost();
    }
}
