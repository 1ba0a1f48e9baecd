package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Once a client has closed its connection, no further attempt is started for any of its requests. */
@Timeout(60)
class ClientGoneTest {
    /** An attempt that starts this long after its client disconnected is a fault of the proxy. */
    private static final long LATE_ATTEMPT_MS = 100;
    /** More clients than the event loop accepts in one pass. */
    private static final int CLIENTS_DURING_PAUSE = 60;
    /** The number of requests that earn the retry budget for a hedged request. */
    private static final int WARMUP_REQUESTS = 60;

    /** The time since the first attempt by which a hedged request is due. */
    private static final long HEDGE_DUE_MS = 600;
    /** The number of unanswered requests at which the proxy pauses reading from a client. */
    private static final int MAX_UNANSWERED = 128;

    /** Far more requests than the proxy reads ahead of the open ones. */
    private static final int PIPELINED_REQUESTS = 3000;

    private static final UnaryOperator<String> WITHOUT_CANCELLATION =
            s -> s.replace("\"mayCancel\":true", "\"mayCancel\":false");
    private static final UnaryOperator<String> WITH_HEDGING =
            s -> s.replace("\"secondCopies\":false", "\"secondCopies\":true");

    /**
     * Resumes the loop once twice {@link #LATE_ATTEMPT_MS} have passed since {@code sinceNanos}, the time of the
     * disconnect, so that every attempt that starts afterwards is too late.
     */
    private static void resumeLate(LoopPause pause, long sinceNanos) {
        pause.resumeAfter(sinceNanos, 2 * LATE_ATTEMPT_MS);
    }

    /** Serves one request, so that the connection to the only node is open and idle; returns the node's end of it. */
    private static TestConnection warmUp(ProxyFixture f, TestConnection client) throws Exception {
        client.send(ProxyFixture.readCommand("w1", 4000));
        TestConnection node = f.nodes.get(0).awaitConnection();
        assertTrue(node.readLine().contains(" Ow1 "));
        answer(node, client, "w1");
        return node;
    }

    private static void answer(TestConnection node, TestConnection client, String id) throws Exception {
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expectLines("VA 1 O" + id, "1");
    }

    /**
     * Waits until a new client has been answered, and so all earlier input has been read, and until the attempts
     * that the proxy delayed have started. Returns the new client.
     */
    private static TestConnection awaitCatchUp(ProxyFixture f) throws Exception {
        TestConnection other = f.openClient();
        other.send("mn\r\n");
        other.expectLines("MN");
        while (f.loop.submit(() -> f.proxy.catchUp.isRunning()).get()) {
            Thread.onSpinWait();
        }
        return other;
    }

    /**
     * Asserts that the next request on the only node's open connection comes from a new client, and that nothing
     * was sent on any other connection to the node.
     */
    private static void assertOnlyOtherClientServed(ProxyFixture f, TestConnection node, String id) throws Exception {
        TestConnection other = awaitCatchUp(f);
        other.send(ProxyFixture.readCommand(id, 4000));
        String line = node.readLine();
        assertTrue(line != null && line.contains(" O" + id + " "), "unexpected request at the node: " + line);
        answer(node, other, id);
        try (TestConnection sentinel = TestConnection.connect(f.nodes.get(0).socketAddress())) {
            // Connections accepted before the sentinel must have been closed without any data.
            for (TestConnection p = f.nodes.get(0).awaitConnection();
                    p.socket.getPort() != sentinel.socket.getLocalPort();
                    p = f.nodes.get(0).awaitConnection()) {
                p.expectEnd();
            }
        }
    }

    /**
     * A failed write shows that the client has disconnected. Guards against forwarding the requests that were read
     * together with the one whose answer could not be written.
     */
    @Test
    void requestsReadTogetherWithTheCloseAreNotForwardedAfterAFailedWrite() throws Exception {
        try (ProxyFixture f = new ProxyFixture(1)) {
            TestConnection client = f.openClient();
            TestConnection node = warmUp(f, client);
            LoopPause pause = LoopPause.begin(f);
            client.send("mn\r\nmn\r\n" + ProxyFixture.readCommand("a1", 4000) + ProxyFixture.readCommand("a2", 4000));
            client.reset();
            pause.resume();
            assertOnlyOtherClientServed(f, node, "b1");
        }
    }

    /**
     * Guards against the fault that a request read after a pause was forwarded before the disconnect right behind it
     * was read.
     */
    @Test
    void aRequestWhoseClientDisconnectedDuringALoopPauseIsNotForwarded() throws Exception {
        try (ProxyFixture f = new ProxyFixture(1)) {
            TestConnection client = f.openClient();
            TestConnection node = warmUp(f, client);
            LoopPause pause = LoopPause.begin(f);
            client.send(ProxyFixture.readCommand("a1", 4000));
            client.close();
            resumeLate(pause, System.nanoTime());
            assertOnlyOtherClientServed(f, node, "b1");
        }
    }

    /** Guards against the same fault for clients that connect during the pause and are accepted only after it. */
    @Test
    void clientsThatConnectedAndDisconnectedDuringALoopPauseAreNotServed() throws Exception {
        try (ProxyFixture f = new ProxyFixture(1)) {
            TestConnection node = warmUp(f, f.openClient());
            LoopPause pause = LoopPause.begin(f);
            for (int i = 0; i < CLIENTS_DURING_PAUSE; i++) {
                TestConnection client = f.openClient();
                client.send(ProxyFixture.readCommand("a" + i, 4000));
                client.close();
            }
            resumeLate(pause, System.nanoTime());
            assertOnlyOtherClientServed(f, node, "b1");
        }
    }

    /**
     * Guards against the fault that a node connection established during a pause was given the requests that waited
     * for it, although their clients had disconnected.
     */
    @Test
    void aQueuedRequestIsNotSentWhenItsClientDisconnectsAndTheNodeConnectsDuringALoopPause() throws Exception {
        try (ProxyFixture f = new ProxyFixture(
                        1,
                        s -> s.replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":9000.0")
                                .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":18000.0"),
                        1024);
                TestConnection.FullQueueListener fullQueue = new TestConnection.FullQueueListener()) {
            ProxyFixture.sendChunk(
                    f.acceptWatch(),
                    ProxyFixture.nodeList(
                            2,
                            true,
                            f.nodeEntry(0, "SERVING").replace(f.nodes.get(0).address(), fullQueue.address())));
            TestConnection client = f.openClient();
            client.send(ProxyFixture.readCommand("a1", 4900));
            TestConnection laterClient = f.openClient();
            laterClient.send("mn\r\n"); // its answer shows that the request above has been read
            laterClient.expectLines("MN");
            LoopPause pause = LoopPause.begin(f);
            TestConnection node = fullQueue.acceptNew(); // returns once the kernel has retried the connect
            client.close();
            resumeLate(pause, System.nanoTime());
            TestConnection other = f.openClient();
            other.send("mn\r\n");
            other.expectLines("MN");
            node.expectEnd();
        }
    }

    /**
     * Guards against the fault that a request that a node refused during a pause was retried at another node before
     * the disconnect of its client was read.
     */
    @Test
    void noRetryIsSentForAClientThatDisconnectedDuringALoopPause() throws Exception {
        try (ProxyFixture f = new ProxyFixture(2)) {
            TestConnection client = f.openClient();
            List<TestConnection> nodes = warmUpBoth(f, client);
            client.send(ProxyFixture.readCommand("a1", 4900));
            TestConnection first = awaitRequest(nodes, "a1");
            LoopPause pause = LoopPause.begin(f);
            first.send("SERVER_ERROR busy\r\n");
            client.close();
            resumeLate(pause, System.nanoTime());
            assertNothingMoreSent(f, nodes);
        }
    }

    /**
     * Guards against the fault that timers that ran late after a pause started hedged requests before the disconnect
     * of the client was read.
     */
    @Test
    void noHedgedRequestIsSentForAClientThatDisconnectedDuringALoopPause() throws Exception {
        try (ProxyFixture f = new ProxyFixture(2, WITH_HEDGING, 1024)) {
            TestConnection client = f.openClient();
            List<TestConnection> nodes = warmUpBoth(f, client);
            client.send(ProxyFixture.readCommand("a1", 4900));
            awaitRequest(nodes, "a1");
            long sent = System.nanoTime();
            LoopPause secondPause = new LoopPause();
            LoopPause firstPause = new LoopPause();
            f.loop.execute(() -> {
                f.loop.schedule(secondPause::pauseLoop, 0, TimeUnit.MILLISECONDS);
                firstPause.pauseLoop();
            });
            // The second pause and the hedge timer are both due by then, so the loop reads no input between them.
            while (System.nanoTime() - sent < TimeUnit.MILLISECONDS.toNanos(HEDGE_DUE_MS)) {
                Thread.onSpinWait();
            }
            firstPause.resume();
            secondPause.awaitPaused();
            client.close();
            resumeLate(secondPause, System.nanoTime());
            assertNothingMoreSent(f, nodes);
        }
    }

    /**
     * If attempts must not be cancelled, the one in flight continues after its client has disconnected. It must be
     * the last one.
     */
    @Test
    void noRetryFollowsAnAttemptThatEndsAfterItsClientDisconnected() throws Exception {
        try (ProxyFixture f = new ProxyFixture(2, WITHOUT_CANCELLATION, 1024)) {
            TestConnection client = f.openClient();
            List<TestConnection> nodes = warmUpBoth(f, client);
            client.send(ProxyFixture.readCommand("a1", 4900));
            TestConnection first = awaitRequest(nodes, "a1");
            client.socket.shutdownOutput();
            client.expectEnd();
            first.send("SERVER_ERROR busy\r\n");
            assertNothingMoreSent(f, nodes);
        }
    }

    /** The same if the timer of a hedged request fires while that attempt is in flight. */
    @Test
    void noHedgedRequestIsSentAfterTheClientDisconnected() throws Exception {
        try (ProxyFixture f = new ProxyFixture(2, s -> WITH_HEDGING.apply(WITHOUT_CANCELLATION.apply(s)), 1024)) {
            TestConnection client = f.openClient();
            List<TestConnection> nodes = warmUpBoth(f, client);
            client.send(ProxyFixture.readCommand("a1", 4900));
            awaitRequest(nodes, "a1");
            client.socket.shutdownOutput();
            client.expectEnd();
            f.loop.schedule(() -> {}, HEDGE_DUE_MS, TimeUnit.MILLISECONDS).get(); // due after the hedge timer
            assertNothingMoreSent(f, nodes);
        }
    }

    /**
     * Guards against counting the rounds of the socket warm-up as passes of the event loop that have read a client's
     * disconnect.
     */
    @Test
    void aClientThatDisconnectedDuringTheSocketWarmupIsNotServed() throws Exception {
        try (ProxyFixture f = new ProxyFixture(1)) {
            TestConnection node = warmUp(f, f.openClient());
            TestConnection client = f.openClient();
            client.send("mn\r\n");
            client.expectLines("MN");
            LoopPause pause = LoopPause.begin(f);
            FutureTask<Integer> warmup =
                    new FutureTask<>(() -> SocketWarmup.run(f.loop, f.proxy.address(), () -> true));
            new Thread(warmup, "warm-up").start();
            client.send(ProxyFixture.readCommand("a1", 4900));
            client.close();
            resumeLate(pause, System.nanoTime());
            assertOnlyOtherClientServed(f, node, "b1");
            assertEquals(SocketWarmup.ROUNDS, warmup.get());
        }
    }

    /** Opens a connection to each of the two nodes and earns the retry budget; returns the idle connections. */
    private static List<TestConnection> warmUpBoth(ProxyFixture f, TestConnection client) throws Exception {
        TestConnection[] nodes = new TestConnection[2];
        for (int i = 0; i < WARMUP_REQUESTS || nodes[0] == null || nodes[1] == null; i++) {
            client.send("mg 7f3a9c21e0b4d6" + Integer.toHexString(0x10 + i % 0xe0) + " v Ow" + i
                    + " Pc=lookup,t=acme,d=4900\r\n");
            TestConnection node = null;
            while (node == null) {
                for (int n = 0; n < 2; n++) {
                    nodes[n] = nodes[n] == null ? f.nodes.get(n).pollConnection() : nodes[n];
                }
                node = firstWithData(nodes);
            }
            node.readLine();
            answer(node, client, "w" + i);
        }
        return List.of(nodes);
    }

    /** Returns the first node connection that has unread data, or null if none has. */
    private static TestConnection firstWithData(TestConnection... nodes) throws Exception {
        for (TestConnection node : nodes) {
            if (node != null && node.socket.getInputStream().available() > 0) {
                return node;
            }
        }
        return null;
    }

    /** Waits for the request with this id; returns the node connection on which it arrived. */
    private static TestConnection awaitRequest(List<TestConnection> nodes, String id) throws Exception {
        TestConnection node = null;
        while (node == null) {
            node = firstWithData(nodes.toArray(TestConnection[]::new));
        }
        assertTrue(node.readLine().contains(" O" + id + " "));
        return node;
    }

    /** Asserts that no node has unread data once the attempts that the proxy delayed have started. */
    private static void assertNothingMoreSent(ProxyFixture f, List<TestConnection> nodes) throws Exception {
        awaitCatchUp(f);
        for (TestConnection node : nodes) {
            assertEquals(0, node.socket.getInputStream().available());
        }
    }

    /** Guards against an undetected disconnect: much unread input on a connection hides that its client has gone. */
    @Test
    void theDisconnectOfAClientWithManyUnreadRequestsIsDetected() throws Exception {
        try (ProxyFixture f =
                new ProxyFixture(1, s -> s.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0"), 1024)) {
            TestConnection client = f.openClient();
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                pipelined.append(ProxyFixture.readCommand("a" + i, 60_000));
            }
            client.send(pipelined.toString());
            List<TestConnection> openAttempts = new ArrayList<>();
            for (int i = 0; i < MAX_UNANSWERED; i++) {
                TestConnection node = f.nodes.get(0).awaitConnection();
                assertTrue(node.readLine().contains(" Oa"));
                openAttempts.add(node);
            }
            client.close();
            for (TestConnection node : openAttempts) {
                node.expectEnd();
            }
            awaitCatchUp(f);
            assertEquals(MAX_UNANSWERED, f.nodes.get(0).acceptedCount());
        }
    }

    /**
     * Guards against the fault that requests behind a malformed line were forwarded when the proxy resumed reading,
     * before the disconnect behind them was read.
     */
    @Test
    void requestsBehindAMalformedLineAreNotForwardedAfterTheClientDisconnected() throws Exception {
        try (ProxyFixture f = new ProxyFixture(1)) {
            TestConnection client = f.openClient();
            TestConnection node = warmUp(f, client);
            StringBuilder pipelined = new StringBuilder("get x\r\n");
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                pipelined.append(ProxyFixture.readCommand("a" + i, 4900));
            }
            client.send(pipelined.toString());
            client.expectLines("ERROR");
            client.close();
            TestConnection laterClient = f.openClient();
            laterClient.send("get x\r\nmn\r\n");
            laterClient.expectLines("ERROR", "MN"); // the proxy resumed reading from this client after the first one
            assertOnlyOtherClientServed(f, node, "b1");
        }
    }

    /** A client that has shut down its output is no longer waiting for answers. */
    @Test
    void aClientThatShutsDownItsOutputCountsAsDisconnected() throws Exception {
        try (ProxyFixture f = new ProxyFixture(1)) {
            TestConnection client = f.openClient();
            client.send(ProxyFixture.readCommand("a1", 4900));
            TestConnection node = f.nodes.get(0).awaitConnection();
            assertTrue(node.readLine().contains(" Oa1 "));
            client.socket.shutdownOutput();
            node.expectEnd();
            client.expectEnd();
        }
    }
}
