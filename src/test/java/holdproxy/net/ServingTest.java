package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Request handling of one proxy: the answers, their order, and the answer that a client gets after each kind of
 * failure at a cache node.
 */
@Timeout(60)
class ServingTest {
    /** After this time the kernel tries again to open a connection for which a full accept queue had no room. */
    private static final int KERNEL_CONNECT_RETRY_MS = 1000;
    /** How much more time a node may be told than is left to the client. */
    private static final int MAX_TOLD_SLACK_MS = 150;
    /**
     * Allows requests to share a connection to a node, and allows hedged requests. With {@link #MIN_DESCRIPTORS},
     * requests share a connection as soon as {@link #MAX_NODE_CONNECTIONS} connections are open.
     */
    private static final UnaryOperator<String> ALLOW_SHARING = s ->
            s.replace("\"multiplex\":1", "\"multiplex\":64").replace("\"secondCopies\":false", "\"secondCopies\":true");
    /** {@link #ALLOW_SHARING} with a long deadline: even on a slow machine, requests stay in flight to the end. */
    private static final UnaryOperator<String> ALLOW_SHARING_WITH_LONG_DEADLINE =
            s -> ALLOW_SHARING.apply(s).replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0");

    /** The time that a client waits where a request must not time out during the test. */
    private static final int LONG_WAIT_MS = 59_000;
    /** The lowest limit on descriptors that a proxy accepts. */
    private static final int MIN_DESCRIPTORS = 128;
    /** The number of connections to nodes that a proxy opens under {@link #MIN_DESCRIPTORS}. */
    private static final int MAX_NODE_CONNECTIONS = 24;

    /** Reads a command line at a node, checks its waiting time (flag d) and returns the line without that value. */
    private static String readCommandWithoutWaitTime(TestConnection node, int maxWaitMs) throws IOException {
        String line = node.readLine();
        assertTrue(line != null && line.contains(",d="), line);
        int valueStart = line.indexOf(",d=") + 3;
        int valueEnd = line.indexOf(',', valueStart);
        int waitMs = Integer.parseInt(line.substring(valueStart, valueEnd < 0 ? line.length() : valueEnd));
        assertTrue(waitMs >= 1 && waitMs <= maxWaitMs, line);
        return line.substring(0, valueStart) + (valueEnd < 0 ? "" : line.substring(valueEnd));
    }

    @Test
    void readIsForwardedUnchangedAndItsAnswerOmitsTheNodesStatus() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send("mg 7f3a9c21e0b4d655 v Oa1 Pc=lookup,t=acme,d=4000,r=1,size=12\r\n");
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertEquals(
                    "mg 7f3a9c21e0b4d655 v Oa1 Pc=lookup,t=acme,d=,r=1,size=12",
                    readCommandWithoutWaitTime(node, 4000));
            node.send("VA 5 Oa1 h1 Lbusy=0.61\r\nhel\nl\r\n");
            client.expectLines("VA 5 Oa1", "hel", "l");
        }
    }

    /**
     * Guards against a proxy that stops delivering events: an {@link Error} thrown by an event left the flag set
     * that marks an event as running, and every later event stayed queued.
     */
    @Test
    void laterEventsAreDeliveredAfterAnErrorInOne() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            fixture.loop
                    .submit(() -> fixture.proxy.callRouter(() -> {
                        throw new AssertionError("scripted");
                    }))
                    .await();
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertEquals("mg 7f3a9c21e0b4d655 v Oa1 Pc=lookup,t=acme,d=", readCommandWithoutWaitTime(node, 4000));
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1");
        }
    }

    @Test
    void writeIsForwardedWithValueAndKeyAndItsReceiptIsReturned() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.writeCommand("submit", "b2", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertEquals(
                    "ms 7f3a9c21e0b4d655 5 Ob2 Pc=submit,t=acme,d=,k=5c0f", readCommandWithoutWaitTime(node, 4000));
            node.expectLines("hello");
            node.send("HD Ob2 c77\r\n");
            client.expectLines("HD Ob2 c77");
        }
    }

    @Test
    void answersAreWrittenInTheOrderOfTheCommands() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000) + ProxyFixture.readCommand("a2", 4000) + "mn\r\nmg x\r\n");
            TestConnection first = fixture.nodes.get(0).awaitConnection();
            TestConnection second = fixture.nodes.get(0).awaitConnection();
            boolean swapped = readCommandWithoutWaitTime(first, 4000).contains("Oa2");
            readCommandWithoutWaitTime(second, 4000);
            (swapped ? first : second).send("VA 1 Oa2\r\n2\r\n");
            (swapped ? second : first).send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1", "VA 1 Oa2", "2", "MN", "CLIENT_ERROR O and P are needed");
        }
    }

    /**
     * Guards against too many idle connections: in runs with a whole fleet, those that 14 proxies kept open to a
     * node used up its connection slots and part of its capacity.
     */
    @Test
    void onlyOneIdleConnectionToANodeIsKeptForTheFullIdleTime() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(1, s -> s.replace("\"idleCloseMs\":30000.0", "\"idleCloseMs\":16000.0"), 1024)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000) + ProxyFixture.readCommand("a2", 4000));
            TestConnection kept = fixture.nodes.get(0).awaitConnection();
            TestConnection surplus = fixture.nodes.get(0).awaitConnection();
            boolean swapped = readCommandWithoutWaitTime(kept, 4000).contains("Oa2");
            readCommandWithoutWaitTime(surplus, 4000);
            kept.send(swapped ? "VA 1 Oa2\r\n2\r\n" : "VA 1 Oa1\r\n1\r\n");
            if (!swapped) {
                client.expectLines("VA 1 Oa1", "1");
            }
            surplus.send(swapped ? "VA 1 Oa1\r\n1\r\n" : "VA 1 Oa2\r\n2\r\n");
            surplus.expectEnd();
            client.send(ProxyFixture.readCommand("a3", 4000));
            assertTrue(readCommandWithoutWaitTime(kept, 4000).contains("Oa3"));
        }
    }

    @Test
    void connectionToANodeIsReused() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            readCommandWithoutWaitTime(node, 4000);
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1");
            client.send(ProxyFixture.readCommand("a2", 4000));
            readCommandWithoutWaitTime(node, 4000);
            node.send("VA 1 Oa2\r\n2\r\n");
            client.expectLines("VA 1 Oa2", "2");
            assertEquals(1, fixture.nodes.get(0).acceptedCount());
        }
    }

    @Test
    void fastAnswerDoesNotWaitForASlowOneWhileDescriptorsAreFree() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, ALLOW_SHARING, 1024)) {
            TestConnection slow = fixture.openClient();
            TestConnection quick = fixture.openClient();
            slow.send(ProxyFixture.readCommand("a1", 4900));
            readCommandWithoutWaitTime(fixture.nodes.get(0).awaitConnection(), 4900);
            quick.send(ProxyFixture.readCommand("a2", 4900));
            TestConnection second = fixture.nodes.get(0).awaitConnection();
            readCommandWithoutWaitTime(second, 4900);
            second.send("VA 1 Oa2\r\n2\r\n");
            quick.expectLines("VA 1 Oa2", "2");
        }
    }

    @Test
    void unreadableCommandGetsAnErrorAndClosesTheConnectionOnlyIfFramingIsLost() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send("get x\r\nmg k v Oa Pc=nobody,t=acme,d=9\r\nms k 3 Ob Pc=charge,t=acme,d=x\r\nabc\r\nmn\r\n");
            client.expectLines(
                    "ERROR",
                    "CLIENT_ERROR c, t or d is not known here",
                    "CLIENT_ERROR c, t or d is not known here",
                    "MN");
            client.send("ms k 65537 Oc Pc=charge,t=acme,d=900,k=1\r\n");
            client.expectLines("CLIENT_ERROR object too large");
            client.expectEnd();
            TestConnection other = fixture.openClient();
            other.send("m".repeat(5000));
            other.expectLines("CLIENT_ERROR line too long");
            other.expectEnd();
            TestConnection third = fixture.openClient();
            third.send("ms k 3 Od Pc=charge,t=acme,d=900,k=1\r\nabcdefg\r\n");
            third.expectLines("CLIENT_ERROR bad data chunk");
            third.expectEnd();
            TestConnection last = fixture.openClient();
            last.send("mn\r\n");
            last.expectLines("MN");
            assertEquals(0, fixture.nodes.get(0).acceptedCount());
        }
    }

    /**
     * Guards against late answers. After an unreadable line the proxy pauses reading for half a second; when the
     * request's time was counted from the end of that pause, its answer came up to half a second too late.
     */
    @Test
    void waitTimeAfterAnUnreadableLineCountsFromTheArrivalOfTheRequest() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send("get x\r\n" + ProxyFixture.readCommand("a1", 2000));
            client.expectLines("ERROR");
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            readCommandWithoutWaitTime(node, 1500); // 500 ms of the 2000 ms have passed during the pause
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1");
        }
    }

    @Test
    void unsafeRequestFailsAndIsNotResentWhenItsConnectionBreaksAfterTheWrite() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            TestConnection node = awaitNewConnection(fixture, 0);
            readCommandWithoutWaitTime(node, 4000);
            node.expectLines("hello");
            node.reset();
            client.expectLines("SERVER_ERROR failed");
            assertEquals(
                    1,
                    fixture.nodes.get(0).acceptedCount() + fixture.nodes.get(1).acceptedCount());
        }
    }

    /**
     * Waits for a new connection to either of two nodes and returns it.
     *
     * @param connectionsBefore how many connections the two nodes have accepted together before
     */
    private static TestConnection awaitNewConnection(ProxyFixture fixture, int connectionsBefore) throws Exception {
        long deadline = System.nanoTime() + 10_000_000_000L;
        while (fixture.nodes.get(0).acceptedCount() + fixture.nodes.get(1).acceptedCount() <= connectionsBefore) {
            assertTrue(System.nanoTime() < deadline, "no further connection was accepted within 10 s");
            Thread.onSpinWait();
        }
        for (TestConnection.Listener node : fixture.nodes) {
            TestConnection connection = node.pollConnection();
            if (connection != null) {
                return connection;
            }
        }
        throw new AssertionError("the accepted connection is in neither queue");
    }

    @Test
    void unsafeRequestThatNoNodeAcceptedIsRefusedWithARetryAfterTime() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            fixture.nodes.get(0).close();
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            String line = client.readLine();
            assertTrue(line.matches("SERVER_ERROR busy [1-9][0-9]*"), line);
        }
    }

    @Test
    void unsafeRequestRefusedByOneNodeIsSentToAnother() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            TestConnection node = awaitNewConnection(fixture, 0);
            readCommandWithoutWaitTime(node, 4000);
            node.expectLines("hello");
            node.send("SERVER_ERROR busy Lbusy=1.0\r\n");
            TestConnection second = awaitNewConnection(fixture, 1);
            assertEquals(
                    "ms 7f3a9c21e0b4d655 5 Oc1 Pc=charge,t=acme,d=,k=5c0f", readCommandWithoutWaitTime(second, 4000));
            second.expectLines("hello");
            second.send("HD Oc1 c9\r\n");
            client.expectLines("HD Oc1 c9");
        }
    }

    @Test
    void unsafeRequestWhoseConnectionNeverOpensIsRefusedAndNotSentLater() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1);
                TestConnection.FullQueueListener fullQueue = new TestConnection.FullQueueListener()) {
            replaceNodeList(fixture, fullQueue.address());
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.writeCommand("charge", "c1", 200));
            assertTrue(client.readLine().startsWith("SERVER_ERROR busy "));
        }
    }

    /**
     * Guards against attempts for clients that have disconnected. Where the settings do not allow cancelling, an
     * attempt that waited for its connection to open was still sent.
     */
    @Test
    void attemptWaitingForItsConnectionIsNotSentAfterItsClientDisconnects() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> s.replace("\"mayCancel\":true", "\"mayCancel\":false")
                                .replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0")
                                .replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":58000.0")
                                .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":116000.0"),
                        1024);
                TestConnection.FullQueueListener fullQueue = new TestConnection.FullQueueListener()) {
            replaceNodeList(fixture, fullQueue.address());
            TestConnection client = fixture.openClient();
            client.send("mn\r\n" + ProxyFixture.readCommand("a1", LONG_WAIT_MS));
            client.expectLines("MN");
            for (int i = 0; i < 3; i++) {
                fixture.loop.submit(() -> {}).get(); // the proxy reads the second command and begins to connect
            }
            client.close();
            while (!fixture.loop.submit(() -> fixture.proxy.admission.isEmpty()).get()) {
                Thread.onSpinWait();
            }
            // the kernel retries the connection 1 s and 3 s after the first attempt; the queue has room from now on
            assertThrows(java.net.SocketTimeoutException.class, () -> fullQueue.acceptNew(4500));
        }
    }

    /** A connection that opens after more than 1 s is used, and the node is told only the time that is left. */
    @Test
    void requestIsServedOnAConnectionThatOpensLate() throws Exception {
        int waitMs = 4500;
        try (ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> s.replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":2000.0")
                                .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":4000.0"),
                        1024);
                TestConnection.FullQueueListener fullQueue = new TestConnection.FullQueueListener()) {
            replaceNodeList(fixture, fullQueue.address());
            TestConnection client = fixture.openClient();
            client.send("mn\r\n" + ProxyFixture.readCommand("a1", waitMs));
            client.expectLines("MN");
            for (int i = 0; i < 3; i++) {
                fixture.loop.submit(() -> {}).get(); // the proxy reads the second command and begins to connect
            }
            TestConnection node = fullQueue.acceptNew(30_000); // the kernel tries again after 1 s
            int maxToldMs = waitMs - KERNEL_CONNECT_RETRY_MS + MAX_TOLD_SLACK_MS;
            assertEquals("mg 7f3a9c21e0b4d655 v Oa1 Pc=lookup,t=acme,d=", readCommandWithoutWaitTime(node, maxToldMs));
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1");
        }
    }

    /**
     * Guards against attempts for clients that have disconnected: one that was queued behind others on a shared
     * connection was still sent once the node had read those before it.
     */
    @Test
    void attemptQueuedOnASharedConnectionIsNotSentAfterItsClientDisconnects() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> ALLOW_SHARING
                                .apply(s)
                                .replace("\"mayCancel\":true", "\"mayCancel\":false")
                                .replace("\"multiplex\":64", "\"multiplex\":95"),
                        MIN_DESCRIPTORS);
                TestConnection.Listener slowNode = new TestConnection.Listener()) {
            occupyAllButOneConnection(fixture);
            replaceNodeList(fixture, slowNode.address());
            TestConnection client = fixture.openClient();
            String value = "x".repeat(60_000); // 95 of these exceed the socket buffers
            for (int i = 0; i < 95; i++) {
                client.send(
                        "ms 7f3a9c21e0b4d655 60000 Oc" + i + ". Pc=submit,t=acme,d=4900,k=5c0f\r\n" + value + "\r\n");
            }
            client.socket.shutdownOutput();
            client.expectEnd(); // now the proxy has noticed that the client is gone
            TestConnection node = slowNode.awaitConnection();
            StringBuilder received = new StringBuilder();
            for (int emptyReads = 0; emptyReads < 3; emptyReads++) {
                byte[] bytes = new byte[node.socket.getInputStream().available()];
                if (bytes.length > 0) {
                    emptyReads = -1;
                    int length = node.socket.getInputStream().read(bytes);
                    received.append(new String(bytes, 0, length, java.nio.charset.StandardCharsets.ISO_8859_1));
                }
                TestConnection other = fixture.openClient();
                other.send("mn\r\n"); // answered after the proxy has written what the buffers can take
                other.expectLines("MN");
                other.close();
            }
            assertTrue(received.indexOf(" Oc0. ") >= 0);
            assertEquals(-1, received.indexOf(" Oc94. "));
        }
    }

    @Test
    void attemptTimedOutBeforeItsConnectionOpensIsNotSentOnceItOpensForAnother() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                        1,
                        s -> ALLOW_SHARING_WITH_LONG_DEADLINE
                                .apply(s)
                                .replace("\"dialTimeoutMs\":400.0", "\"dialTimeoutMs\":58000.0")
                                .replace("\"drainGraceMs\":1000.0", "\"drainGraceMs\":116000.0"),
                        MIN_DESCRIPTORS);
                TestConnection.FullQueueListener fullQueue = new TestConnection.FullQueueListener()) {
            occupyAllButOneConnection(fixture);
            replaceNodeList(fixture, fullQueue.address());
            TestConnection client = fixture.openClient();
            // sent together, so that both wait for the same connection before the first times out
            client.send(ProxyFixture.writeCommand("charge", "c1", 400)
                    + ProxyFixture.writeCommand("charge", "c2", LONG_WAIT_MS));
            assertTrue(client.readLine().startsWith("SERVER_ERROR busy ")); // the request must never run
            TestConnection node = fullQueue.acceptNew(30_000);
            assertEquals(
                    "ms 7f3a9c21e0b4d655 5 Oc2 Pc=charge,t=acme,d=,k=5c0f",
                    readCommandWithoutWaitTime(node, LONG_WAIT_MS));
            node.expectLines("hello");
            node.send("HD Oc2 c2\r\n");
            client.expectLines("HD Oc2 c2");
        }
    }

    /** Occupies all but one of the {@link #MAX_NODE_CONNECTIONS} connections with requests to the first node. */
    private static void occupyAllButOneConnection(ProxyFixture fixture) throws Exception {
        TestConnection client = fixture.openClient();
        for (int i = 1; i < MAX_NODE_CONNECTIONS; i++) {
            client.send(ProxyFixture.readCommand("busy" + i, LONG_WAIT_MS));
            readCommandWithoutWaitTime(fixture.nodes.get(0).awaitConnection(), LONG_WAIT_MS);
        }
    }

    /** Sends the proxy a node list that holds only one node, and waits until the proxy has applied it. */
    private static void replaceNodeList(ProxyFixture fixture, String address) throws Exception {
        TestConnection watch = fixture.acceptWatch();
        String entry = fixture.nodeEntry(0, "SERVING")
                .replace("s-0", "s-9")
                .replace(fixture.nodes.get(0).address(), address);
        ProxyFixture.sendChunk(watch, ProxyFixture.nodeList(2, true, entry));
        ProxyFixture.sendChunk(watch, "{}"); // not a node list: ends the watch, after the list before it was applied
        watch.expectEnd();
    }

    @Test
    void unansweredRequestFailsWhenItsTimeIsUpAndItsConnectionIsClosed() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.writeCommand("charge", "c1", 300));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            readCommandWithoutWaitTime(node, 300);
            node.expectLines("hello");
            client.expectLines("SERVER_ERROR failed");
            node.expectEnd();
        }
    }

    @Test
    void requestWithoutTimeLeftIsRefusedAtOnceAndNotSent() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.writeCommand("charge", "c1", 0) + "mn\r\n");
            assertTrue(client.readLine().startsWith("SERVER_ERROR busy"));
            client.expectLines("MN");
            assertEquals(0, fixture.nodes.get(0).acceptedCount());
        }
    }

    @Test
    void requestThatExpiredDuringAPauseOfTheEventLoopIsRefusedAndNotSent() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send("mn\r\n");
            client.expectLines("MN");
            CountDownLatch paused = new CountDownLatch(1);
            CompletableFuture<Long> pauseEnd = new CompletableFuture<>();
            fixture.loop.execute(() -> {
                paused.countDown();
                for (long endNanos = pauseEnd.join(); System.nanoTime() < endNanos; ) {
                    Thread.onSpinWait();
                }
            });
            paused.await();
            client.send(ProxyFixture.writeCommand("charge", "c1", 300));
            pauseEnd.complete(System.nanoTime() + 500_000_000L);
            assertTrue(client.readLine().startsWith("SERVER_ERROR busy "));
            assertEquals(0, fixture.nodes.get(0).acceptedCount());
        }
    }

    @Test
    void lateAnswerOnASharedConnectionIsNotTakenForTheNextOne() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, ALLOW_SHARING_WITH_LONG_DEADLINE, MIN_DESCRIPTORS);
                TestConnection.Listener shared = new TestConnection.Listener()) {
            occupyAllButOneConnection(fixture);
            replaceNodeList(fixture, shared.address());
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", LONG_WAIT_MS));
            TestConnection node = shared.awaitConnection();
            readCommandWithoutWaitTime(node, LONG_WAIT_MS);
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1");
            // sent together on an open connection, so that both are written before the first times out
            client.send(ProxyFixture.writeCommand("charge", "c1", 2000)
                    + ProxyFixture.writeCommand("charge", "c2", LONG_WAIT_MS));
            readCommandWithoutWaitTime(node, 2000);
            node.expectLines("hello");
            readCommandWithoutWaitTime(node, LONG_WAIT_MS);
            node.expectLines("hello");
            client.expectLines("SERVER_ERROR failed");
            node.send("HD Oc1 c1\r\nHD Oc2 c2\r\n");
            client.expectLines("HD Oc2 c2");
            node.expectEnd();
            assertEquals(1, shared.acceptedCount());
        }
    }

    @Test
    void answerToAnotherRequestIsNotServedAndClosesItsConnection() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.writeCommand("charge", "c1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            readCommandWithoutWaitTime(node, 4000);
            node.expectLines("hello");
            node.send("HD Osomebody c1\r\n");
            client.expectLines("SERVER_ERROR failed");
            node.expectEnd();
        }
    }

    @Test
    void attemptIsCancelledWhenItsClientDisconnects() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            readCommandWithoutWaitTime(node, 4000);
            client.close();
            node.expectEnd();
        }
    }

    @Test
    void idleClientConnectionIsClosedForANewOneAtTheConnectionLimit() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 40 of the 128 descriptors are for clients
            TestConnection oldest = fixture.openClient();
            oldest.send("mn\r\n");
            oldest.expectLines("MN");
            for (int i = 0; i < 40; i++) {
                TestConnection client = fixture.openClient();
                client.send("mn\r\n");
                client.expectLines("MN");
            }
            oldest.expectEnd();
        }
    }

    @Test
    void newConnectionIsRefusedAndClosedWhenAllAreBusyAtTheConnectionLimit() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, ALLOW_SHARING_WITH_LONG_DEADLINE, MIN_DESCRIPTORS)) {
            int clientCount = 40; // the number of client connections that the proxy accepts
            for (int i = 0; i < clientCount; i++) {
                fixture.openClient().send(ProxyFixture.readCommand("a" + i, LONG_WAIT_MS));
            }
            List<TestConnection> nodeConnections = new ArrayList<>();
            for (int i = 0; i < MAX_NODE_CONNECTIONS; i++) {
                nodeConnections.add(fixture.nodes.get(0).awaitConnection());
                readCommandWithoutWaitTime(nodeConnections.get(i), LONG_WAIT_MS);
            }
            for (int i = 0; i < clientCount - MAX_NODE_CONNECTIONS; i++) {
                // queued behind the first request on that connection
                readCommandWithoutWaitTime(nodeConnections.get(i), LONG_WAIT_MS);
            }
            TestConnection excess = fixture.openClient();
            excess.send(ProxyFixture.writeCommand("charge", "c1", LONG_WAIT_MS));
            assertTrue(excess.readLine().startsWith("SERVER_ERROR busy "));
            excess.expectEnd();
        }
    }

    @Test
    void drainAnswersOpenRequestsAndClosesConnectionsCleanly() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            InetSocketAddress address = fixture.proxy.address();
            TestConnection waiting = fixture.openClient();
            TestConnection idle = fixture.openClient();
            idle.send("mn\r\n");
            idle.expectLines("MN");
            waiting.send(ProxyFixture.readCommand("a1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            readCommandWithoutWaitTime(node, 4000);
            Thread drain = new Thread(() -> fixture.proxy.drain(1500));
            drain.start();
            TestConnection late =
                    fixture.openClient(); // clients keep connecting until they learn that the proxy is ending
            late.send("mn\r\n");
            late.expectLines("MN");
            idle.expectEnd();
            assertTrue(drain.isAlive());
            node.send("VA 1 Oa1\r\n1\r\n");
            waiting.expectLines("VA 1 Oa1", "1");
            waiting.expectEnd();
            late.close();
            idle.close();
            waiting.close();
            drain.join(3000);
            assertFalse(drain.isAlive());
            try (TestConnection refused = TestConnection.connect(address)) {
                throw new AssertionError("the proxy still listens");
            } catch (ConnectException e) {
                assertTrue(e.getMessage().contains("refused"));
            }
        }
    }
}
