package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients that read their answers late still get all of them before their connection is closed, unless they leave them
 * unread for too long.
 */
@Timeout(60)
class SlowReaderTest {
    /** Answers of one MiB each: more than the socket buffers hold, less than the proxy holds for all its clients. */
    private static final int ANSWER_COUNT = 9;

    /** The size of one value in bytes. */
    private static final int VALUE_BYTES = 1 << 20;

    /** Sends the requests of a client that does not read yet, and returns it once all are answered. */
    private static TestConnection openClientWithUnreadAnswers(ProxyFixture fixture) throws Exception {
        TestConnection client = fixture.openClient();
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < ANSWER_COUNT; i++) {
            commands.append(ProxyFixture.readCommand("a" + i, 4900));
        }
        client.send(commands.toString());
        for (int i = 0; i < ANSWER_COUNT; i++) {
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            String line = node.readLine();
            int idStart = line.indexOf(" Oa") + 1;
            node.send("VA " + VALUE_BYTES + " " + line.substring(idStart, line.indexOf(' ', idStart)) + "\r\n"
                    + "x".repeat(VALUE_BYTES) + "\r\n");
        }
        while (!fixture.loop
                .submit(() -> fixture.proxy.admission.sessions().stream().allMatch(ClientSession::isIdle))
                .get()) {
            Thread.onSpinWait();
        }
        return client;
    }

    /** Opens more client connections than the proxy accepts under a limit of 128 descriptors. */
    private static void openExcessClients(ProxyFixture fixture) throws Exception {
        for (int i = 0; i < 60; i++) { // 40 of them find room
            TestConnection client = fixture.openClient();
            client.send("mn\r\n");
            client.expectLines("MN");
        }
    }

    /** Reads all answers and asserts that they are complete and in order. */
    private static void expectAllAnswers(TestConnection client) throws Exception {
        for (int i = 0; i < ANSWER_COUNT; i++) {
            assertEquals("VA " + VALUE_BYTES + " Oa" + i, client.readLine());
            String value = client.readLine();
            assertEquals(VALUE_BYTES, value == null ? 0 : value.length());
        }
    }

    /**
     * Guards against truncated answers: a connection without open requests counted as idle, and was closed to make
     * room while its client was still reading.
     */
    @Test
    void connectionWithUnreadAnswersIsNotClosedForNewOnes() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 40 of the 128 descriptors are for clients
            TestConnection client = openClientWithUnreadAnswers(fixture);
            openExcessClients(fixture);
            expectAllAnswers(client);
        }
    }

    /** Guards against a descriptor leak: a client that reads nothing never counts as idle and would stay forever. */
    @Test
    void connectionWithAnswersUnreadForLongIsClosedForNewOnes() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) {
            TestConnection client = openClientWithUnreadAnswers(fixture);
            // longer than the proxy waits for the client to read its answers
            fixture.loop.schedule(() -> {}, 3500, TimeUnit.MILLISECONDS).get();
            openExcessClients(fixture);
            byte[] buffer = new byte[1 << 16];
            while (client.socket.getInputStream().read(buffer) >= 0) {
                // reads until the proxy closes the connection
            }
        }
    }

    /** A client that reads nothing for seconds, longer than the proxy counts it as busy, gets its answers whole. */
    @Test
    void answersUnreadForSecondsAreCompleteWhileThereIsRoom() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = openClientWithUnreadAnswers(fixture);
            fixture.loop.schedule(() -> {}, 4500, TimeUnit.MILLISECONDS).get();
            expectAllAnswers(client);
            client.send("mn\r\n");
            client.expectLines("MN");
        }
    }

    /**
     * Guards against truncated answers at the end of a drain: connections were closed half a second after the proxy
     * had begun to shut them down, even if their answers were not all written yet.
     */
    @Test
    void drainWaitsUntilAnswersAreRead() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = openClientWithUnreadAnswers(fixture);
            Thread drain = new Thread(() -> fixture.proxy.drain(0), "drain");
            drain.setDaemon(true);
            drain.start();
            while (drain.getState() != Thread.State.TIMED_WAITING) {
                Thread.onSpinWait(); // the thread waits only after it has queued its task on the event loop
            }
            // longer than the proxy keeps a connection open once it has shut the output down
            fixture.loop.schedule(() -> {}, 700, TimeUnit.MILLISECONDS).get();
            expectAllAnswers(client);
            client.expectEnd();
        }
    }
}
