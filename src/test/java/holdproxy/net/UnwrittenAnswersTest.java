package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers that a connection cannot take yet: their memory is limited, and the requests still get their answers. */
@Timeout(60)
class UnwrittenAnswersTest {
    private static final int WAIT_MS = 60_000;
    private static final String VALUE = "v".repeat(1 << 20);
    /** As many values as exceed the limit, since each has a first line too. */
    private static final int VALUES_BEYOND_LIMIT = (int) (UnwrittenAnswers.MAX_BYTES / VALUE.length());
    /** More values than the kernel's buffers of one connection take. */
    private static final int VALUES_IN_KERNEL = 16;
    /** More values than the kernel's buffers take for a client that reads nothing and has a small receive buffer. */
    private static final int VALUES_PER_CLIENT = 5;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4096;
    /** Far more clients than exceed the limit together. */
    private static final int MAX_CLIENTS = 60;

    /** Starts a proxy whose requests do not end during a test. */
    private static ProxyFixture start() throws Exception {
        return new ProxyFixture(1, s -> s.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":" + WAIT_MS + ".0"), 1024);
    }

    /** Sends a read, and checks that it arrives on the node connection, a new one if that is null. */
    private static TestConnection request(ProxyFixture fixture, TestConnection client, TestConnection node, String id)
            throws Exception {
        client.send(ProxyFixture.readCommand(id, WAIT_MS));
        TestConnection used = node == null ? fixture.nodes.get(0).awaitConnection() : node;
        String line = used.readLine();
        assertTrue(line != null && line.contains(" O" + id + " "), "unexpected request at the node: " + line);
        return used;
    }

    private static void serve(TestConnection node, String id) throws Exception {
        node.send("VA " + VALUE.length() + " O" + id + "\r\n" + VALUE + "\r\n");
    }

    private static void expectValue(TestConnection client, String id) throws Exception {
        client.expectLines("VA " + VALUE.length() + " O" + id);
        assertTrue(VALUE.equals(client.readLine()), "the value is not whole");
    }

    private static void awaitUnwrittenBytes(ProxyFixture fixture, LongPredicate expected) throws Exception {
        long deadline = System.nanoTime() + 10_000_000_000L;
        while (!expected.test(fixture.loop
                .submit(() -> fixture.proxy.unwrittenAnswers.bytes())
                .get())) {
            assertTrue(System.nanoTime() < deadline, "the proxy did not get the answers within 10 s");
        }
    }

    /** Waits until only this many requests of all clients are unanswered, and asserts that the limit holds. */
    private static void awaitUnanswered(ProxyFixture fixture, int expected) throws Exception {
        int unanswered;
        do {
            unanswered = fixture.loop
                    .submit(() -> fixture.proxy.admission.sessions().stream()
                            .mapToInt(ClientSession::unanswered)
                            .sum())
                    .get();
        } while (unanswered > expected);
        long bytes = fixture.loop
                .submit(() -> fixture.proxy.unwrittenAnswers.bytes())
                .get();
        assertTrue(bytes <= UnwrittenAnswers.MAX_BYTES, "unwritten bytes: " + bytes);
    }

    /**
     * Guards against lost requests: when the values behind an open request exceeded the limit, the connection was
     * closed with all its requests, as if its client did not read.
     */
    @Test
    void valuesBehindAnOpenRequestAreDeliveredAfterItsFinalAnswer() throws Exception {
        try (ProxyFixture fixture = start()) {
            TestConnection client = fixture.openClient();
            TestConnection hanging = request(fixture, client, null, "g0");
            TestConnection node = null;
            for (int i = 1; i < VALUES_BEYOND_LIMIT; i++) {
                node = request(fixture, client, node, "g" + i);
                serve(node, "g" + i);
                long bytesSoFar = (long) i * VALUE.length();
                awaitUnwrittenBytes(fixture, bytes -> bytes >= bytesSoFar);
            }
            request(fixture, client, node, "g" + VALUES_BEYOND_LIMIT);
            serve(node, "g" + VALUES_BEYOND_LIMIT);
            client.expectLines("SERVER_ERROR failed");
            for (int i = 1; i <= VALUES_BEYOND_LIMIT; i++) {
                expectValue(client, "g" + i);
            }
            hanging.expectEnd();
            request(fixture, client, node, "u1");
            serve(node, "u1");
            expectValue(client, "u1");
        }
    }

    /** Guards against the same for a client that reads late: only the values that find no room may fail. */
    @Test
    void clientThatReadsLateGetsAnAnswerToEveryRequest() throws Exception {
        try (ProxyFixture fixture = start()) {
            TestConnection client = fixture.openClient();
            int requests = VALUES_BEYOND_LIMIT + VALUES_IN_KERNEL;
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                commands.append(ProxyFixture.readCommand("g" + i, WAIT_MS));
            }
            client.send(commands.toString());
            TestConnection node = null;
            for (int answered = 1; answered <= requests; answered++) {
                node = fixture.nodes.get(0).awaitConnection();
                serve(node, requestId(node.readLine()));
                awaitUnanswered(fixture, requests - answered);
            }
            TestConnection other = fixture.openClient();
            request(fixture, other, node, "u1");
            serve(node, "u1");
            expectValue(other, "u1");
            int failed = 0;
            for (int i = 0; i < requests; i++) {
                String line = client.readLine();
                if ("SERVER_ERROR failed".equals(line)) {
                    failed++;
                } else {
                    assertEquals("VA " + VALUE.length() + " Og" + i, line);
                    assertTrue(VALUE.equals(client.readLine()), "the value is not whole");
                }
            }
            int held = VALUES_BEYOND_LIMIT - 1;
            assertTrue(failed > 0 && failed <= requests - held, "failed requests: " + failed);
        }
    }

    /**
     * Guards against memory that runs out: Netty holds a value for each of many clients that read nothing. When there
     * is no other memory to free, one of them loses its connection, and a client that reads is served.
     */
    @Test
    void manyClientsThatDoNotReadStayWithinTheLimitTogether() throws Exception {
        try (ProxyFixture fixture = start()) {
            List<TestConnection> nodes = new ArrayList<>();
            int clients = 0;
            TestConnection node = null;
            while (openSessions(fixture) == clients) {
                assertTrue(clients < MAX_CLIENTS, "no client lost its connection");
                node = openClientThatDoesNotRead(fixture, nodes, "n" + clients + "x");
                clients++;
            }
            TestConnection reader = fixture.openClient();
            request(fixture, reader, node, "u1");
            serve(node, "u1");
            expectValue(reader, "u1");
        }
    }

    private static int openSessions(ProxyFixture fixture) throws Exception {
        return fixture.loop
                .submit(() -> fixture.proxy.admission.sessions().size())
                .get();
    }

    /**
     * Opens a client that is sent more values than the kernel takes for it. The nodes' connections are used again.
     * Returns the one that becomes idle last.
     */
    private static TestConnection openClientThatDoesNotRead(
            ProxyFixture fixture, List<TestConnection> nodes, String idPrefix) throws Exception {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        socket.connect(fixture.proxy.address());
        TestConnection client = new TestConnection(socket);
        fixture.clients.add(client);
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < VALUES_PER_CLIENT; i++) {
            commands.append(ProxyFixture.readCommand(idPrefix + i, WAIT_MS));
        }
        client.send(commands.toString());
        while (nodes.size() < VALUES_PER_CLIENT) {
            nodes.add(fixture.nodes.get(0).awaitConnection());
        }
        Map<String, TestConnection> nodeOfRequest = new HashMap<>();
        for (TestConnection node : nodes) {
            nodeOfRequest.put(requestId(node.readLine()), node);
        }
        for (int i = 0; i < VALUES_PER_CLIENT; i++) {
            serve(nodeOfRequest.get(idPrefix + i), idPrefix + i);
            awaitUnanswered(fixture, VALUES_PER_CLIENT - 1 - i);
        }
        return nodeOfRequest.get(idPrefix + (VALUES_PER_CLIENT - 1));
    }

    /** Returns the id in a command line, without the {@code O} in front. */
    private static String requestId(String line) {
        int idStart = line.indexOf(" O") + 2;
        return line.substring(idStart, line.indexOf(' ', idStart));
    }
}
