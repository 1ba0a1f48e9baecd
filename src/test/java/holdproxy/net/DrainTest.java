package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The drain of a proxy: what clients sent before their connections end is still answered, and their disconnects are
 * still noticed.
 */
@Timeout(60)
class DrainTest {
    /** The number of unanswered requests at which the proxy pauses reading from a client. */
    private static final int MAX_UNANSWERED = 128;

    /** Drains the proxy as SIGTERM does, but without a delay, and returns once it no longer listens. */
    private static void startDrain(ProxyFixture fixture) throws Exception {
        Thread drain = new Thread(() -> fixture.proxy.drain(0), "drain");
        drain.setDaemon(true);
        drain.start();
        while (true) {
            try (TestConnection late = TestConnection.connect(fixture.proxy.address())) {
                late.expectEnd(); // among the last connections that were accepted
            } catch (java.net.ConnectException | NullPointerException e) {
                return;
            } catch (java.net.SocketException e) {
                // The listener was closed before connect() returned; the next connection is refused.
                assertEquals("Connection reset by peer", e.getMessage());
            }
        }
    }

    /** Starts a proxy with a deadline of 60 s, so that requests do not time out during the test. */
    private static ProxyFixture startWithLongDeadline(int nodeCount) throws Exception {
        return new ProxyFixture(nodeCount, s -> s.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0"), 1024);
    }

    /**
     * Guards against unanswered requests: when a draining proxy stopped reading, commands that a client sent after
     * one in flight got no answer.
     */
    @Test
    void commandAfterAnOpenRequestIsAnsweredBeforeTheConnectionEnds() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertTrue(node.readLine().contains(" Oa1 "));
            startDrain(fixture);
            client.send(ProxyFixture.readCommand("a2", 4000));
            TestConnection second = fixture.nodes.get(0).awaitConnection();
            assertTrue(second.readLine().contains(" Oa2 "));
            second.send("VA 1 Oa2\r\n2\r\n");
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1", "VA 1 Oa2", "2");
            client.expectEnd();
        }
    }

    /** Guards against unanswered commands: the first half of one had been read, and the rest was discarded. */
    @Test
    void partlyReadCommandAndTheNextOneAreAnsweredBeforeTheConnectionEnds() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send("mn\r\nm");
            client.expectLines("MN");
            startDrain(fixture);
            client.send("n\r\nmn\r\n");
            client.expectLines("MN", "MN");
            client.expectEnd();
        }
    }

    /** Guards against work for clients that are gone: a connection that is not read does not show its end. */
    @Test
    void clientDisconnectIsNoticedDuringADrain() throws Exception {
        try (ProxyFixture fixture = startWithLongDeadline(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 60_000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertTrue(node.readLine().contains(" Oa1 "));
            startDrain(fixture);
            client.close();
            node.expectEnd();
        }
    }

    /**
     * Guards against work for clients that are gone: a connection that is paused because of too many unanswered
     * requests does not show its end either.
     */
    @Test
    void disconnectWithTooManyOpenRequestsIsNoticedAndTheRestIsNotSent() throws Exception {
        try (ProxyFixture fixture = startWithLongDeadline(1)) {
            TestConnection client = fixture.openClient();
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < MAX_UNANSWERED + 20; i++) {
                commands.append(ProxyFixture.readCommand("a" + i, 60_000));
            }
            client.send(commands.toString());
            List<TestConnection> nodeConnections = new ArrayList<>();
            for (int i = 0; i < MAX_UNANSWERED; i++) {
                nodeConnections.add(fixture.nodes.get(0).awaitConnection());
            }
            client.close();
            for (TestConnection connection : nodeConnections) {
                while (connection.readLine() != null) {
                    // skips the request and waits for the end
                }
            }
            TestConnection other = fixture.openClient();
            other.send("mn\r\n");
            other.expectLines("MN");
            assertEquals(MAX_UNANSWERED, fixture.nodes.get(0).acceptedCount());
        }
    }

    /**
     * Guards against resets at the start of a drain: one pass of the event loop accepts only some of the queued
     * connections, and a listener that is closed then resets the others.
     */
    @Test
    void clientsInTheAcceptQueueAreServedBeforeTheListenerCloses() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            LoopPause pause = LoopPause.begin(fixture);
            List<TestConnection> queued = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                TestConnection client = fixture.openClient();
                client.send("mn\r\n");
                queued.add(client);
            }
            Thread drain = new Thread(() -> fixture.proxy.drain(0), "drain");
            drain.start();
            while (drain.getState() != Thread.State.TIMED_WAITING) {
                Thread.onSpinWait(); // the thread waits only after it has queued its task on the event loop
            }
            pause.resume();
            for (TestConnection client : queued) {
                client.expectLines("MN");
                client.expectEnd();
                client.close();
            }
            drain.join();
        }
    }

    /** Guards against an exit between the reading of a request and its answer, which another thread could cause. */
    @Test
    void processEndsOnTheEventLoop() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            LoopPause pause = LoopPause.begin(fixture);
            CompletableFuture<Thread> ended = new CompletableFuture<>();
            Thread exit = new Thread(() -> fixture.proxy.exit(() -> ended.complete(Thread.currentThread())), "exit");
            exit.start();
            while (exit.isAlive() && exit.getState() != Thread.State.TIMED_WAITING) {
                Thread.onSpinWait(); // the thread waits only after it has queued its task on the event loop
            }
            assertFalse(ended.isDone(), "the process ended while the event loop was busy");
            pause.resume();
            assertTrue(fixture.loop.inEventLoop(ended.get()));
            exit.join();
        }
    }

    /**
     * Guards against answers that are planned for a time after SIGKILL: it may come 0.7 s after the longest deadline,
     * which counts as 3 s where it is longer.
     */
    @ParameterizedTest
    @CsvSource({"200, 800", "1500, 2100", "3000, 3600", "4000, 3600", "8000, 3600", "0, 3600"})
    void drainEndsBeforeSigkillCanCome(long longestDeadlineMs, long maxDurationMs) {
        Router.Settings settings = new Router.Settings();
        settings.classes = new Router.RequestClass[] {new Router.RequestClass(), new Router.RequestClass()};
        settings.classes[0].deadlineUs = 150_000;
        settings.classes[1].deadlineUs = longestDeadlineMs * 1000;
        assertEquals(maxDurationMs * 1000, Drain.maxDurationUs(settings));
    }
}
