package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients that send nothing, stop inside a command, open too many connections or break the protocol: their
 * connections are closed, and well-behaved clients are still served.
 */
@Timeout(60)
class BadClientsTest {
    /** Sends a request and asserts that it is answered by the first node on a new connection. */
    private static void expectServed(ProxyFixture fixture, TestConnection client, String id) throws Exception {
        client.send(ProxyFixture.readCommand(id, 4000));
        TestConnection node = fixture.nodes.get(0).awaitConnection();
        assertTrue(node.readLine().startsWith("mg 7f3a9c21e0b4d655 v O" + id + " "));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expectLines("VA 1 O" + id, "1");
        node.close();
    }

    /** Sends {@code mn}, the no-op command, which the proxy answers without a node, and asserts its answer. */
    private static void expectNoOpAnswer(TestConnection client) throws Exception {
        client.send("mn\r\n");
        client.expectLines("MN");
    }

    /** Asserts that the proxy closes the connection, with or without an error line first. */
    private static void expectClosed(TestConnection connection) throws Exception {
        String line = connection.readLine();
        if (line != null) {
            assertEquals("CLIENT_ERROR the command does not end", line);
            connection.expectEnd();
        }
    }

    /** Guards against a descriptor leak: connections that send nothing would stay open forever. */
    @Test
    void silentConnectionIsClosed() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            fixture.openClient().expectEnd();
        }
    }

    @Test
    void connectionThatStopsInsideItsFirstCommandIsClosed() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection line = fixture.openClient();
            TestConnection value = fixture.openClient();
            line.send("mg 7f3a9c2");
            value.send("ms 7f3a9c21e0b4d655 5 Oa1 Pc=charge,t=acme,d=900,k=1\r\nhel");
            expectClosed(line);
            expectClosed(value);
        }
    }

    @Test
    void clientThatStopsInsideALaterCommandGetsAnErrorAfterItsOpenRequestIsAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4900)
                    + "ms 7f3a9c21e0b4d655 5 Oa2 Pc=charge,t=acme,d=900,k=1\r\nhe");
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            node.readLine();
            TestConnection idle =
                    fixture.openClient(); // opened later, so its time-out comes after the one of the unfinished command
            idle.expectEnd();
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1", "CLIENT_ERROR the command does not end");
            client.expectEnd();
        }
    }

    /** Guards against a flood of silent connections: the proxy would close connections in use to make room for it. */
    @Test
    void floodOfSilentConnectionsClosesNoneThatHasSentACommand() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 40 of the 128 descriptors are for clients
            List<TestConnection> active = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                TestConnection client = fixture.openClient();
                expectNoOpAnswer(client);
                active.add(client);
            }
            TestConnection first = fixture.openClient();
            for (int i = 0; i < 200; i++) {
                fixture.openClient();
            }
            first.expectEnd();
            for (int i = 0; i < active.size(); i++) {
                expectServed(fixture, active.get(i), "a" + i);
            }
        }
    }

    /** Guards against a flood of first commands that do not end: new clients would be refused for seconds. */
    @Test
    void floodOfIncompleteFirstCommandsKeepsNoNewClientOut() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 40 of the 128 descriptors are for clients
            TestConnection first = fixture.openClient();
            first.send("mg 7f3a");
            for (int i = 0; i < 39; i++) {
                fixture.openClient().send("mg 7f3a");
            }
            expectServed(fixture, fixture.openClient(), "a1");
            first.expectEnd();
        }
    }

    /**
     * Guards against a shortage of connections: clients that send one command and stay connected, of which few send
     * another, would take up all connections that clients may open.
     */
    @Test
    void connectionsWithOneCommandAreClosedBeforeOneWithSeveral() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 32 are for clients that have sent a command
            TestConnection active = fixture.openClient();
            expectNoOpAnswer(active);
            expectNoOpAnswer(active);
            List<TestConnection> singleCommand = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                TestConnection client = fixture.openClient();
                expectNoOpAnswer(client);
                singleCommand.add(client);
            }
            for (int i = 0; i < 60 - 31; i++) {
                singleCommand.get(i).expectEnd();
            }
            expectNoOpAnswer(singleCommand.get(59));
            expectServed(fixture, active, "a1");
        }
    }

    /**
     * Guards against a shortage of connections: idle clients that had sent a second command once kept their
     * connections for 10 s, and together held all that clients may open.
     */
    @Test
    void reusedConnectionsAreClosedAfterTwoIdleSecondsWhenConnectionsAreShort() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 32 are for clients that have sent a command
            List<TestConnection> reused = new ArrayList<>();
            for (int i = 0; i < 38; i++) {
                TestConnection client = fixture.openClient();
                expectNoOpAnswer(client);
                expectNoOpAnswer(client);
                reused.add(client);
            }
            TestConnection silent = fixture.openClient(); // closed after 2 s, when the others have been idle for longer
            silent.expectEnd();
            for (TestConnection client : reused.subList(0, 6)) {
                client.socket.setSoTimeout(5000); // without a shortage they would stay open for 10 s
                client.expectEnd();
            }
            for (int i = 6; i < 38; i++) {
                expectServed(fixture, reused.get(i), "a" + i);
            }
        }
    }

    /**
     * Guards against lost commands in a burst: connections that were closed for newer ones before their first read
     * lost what their clients had already sent.
     */
    @Test
    void everyClientOfABurstBeyondTheLimitIsAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 40 of the 128 descriptors are for clients
            LoopPause pause = LoopPause.begin(fixture);
            List<TestConnection> burst = new ArrayList<>();
            for (int i = 0; i < 48; i++) {
                TestConnection client = fixture.openClient();
                client.send("mn\r\n");
                burst.add(client);
            }
            pause.resume();
            for (TestConnection client : burst) {
                String line = client.readLine();
                assertTrue("MN".equals(line) || "SERVER_ERROR busy 500".equals(line), "unexpected answer: " + line);
            }
        }
    }

    /**
     * Guards against needless refusals: of several clients that connected together, only one replaced a client that
     * had been idle for long, and the others were refused.
     */
    @Test
    void wholeBurstIsAcceptedWhenOtherClientsHaveBeenIdleForLong() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 40 of the 128 descriptors are for clients
            for (int i = 0; i < 32; i++) {
                TestConnection client = fixture.openClient();
                expectNoOpAnswer(client);
                expectNoOpAnswer(client);
            }
            fixture.openClient()
                    .expectEnd(); // sends nothing and is closed after 2 s: the others have been idle for longer
            LoopPause pause = LoopPause.begin(fixture);
            List<TestConnection> burst = new ArrayList<>();
            for (int i = 0; i < 15; i++) { // few enough that all are accepted before the first one surely has been read
                TestConnection client = fixture.openClient();
                client.send("mn\r\n");
                burst.add(client);
            }
            pause.resume();
            for (TestConnection client : burst) {
                client.expectLines("MN");
            }
        }
    }

    /**
     * Guards against lost commands: a connection that is closed to make room in the middle of a read loses the
     * commands that are still in the decoder.
     */
    @Test
    void commandsReadTogetherAreAllAnsweredWhenConnectionsAreClosedForRoom() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, 128)) { // 32 are for clients that have sent a command
            for (int i = 0; i < 38; i++) {
                TestConnection client = fixture.openClient();
                client.send("mn\r\nmn\r\nmn\r\n");
                client.expectLines("MN", "MN", "MN");
            }
            TestConnection last = fixture.openClient();
            last.send("mn\r\nmg x\r\nmn\r\n");
            last.expectLines("MN", "CLIENT_ERROR O and P are needed", "MN");
        }
    }

    /** Guards against a mix-up: with one id in use twice, a client could receive the value meant for another. */
    @Test
    void idOfAnOpenRequestIsRejectedUntilThatRequestEnds() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            TestConnection other = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertTrue(node.readLine().contains(" Oa1 "));
            other.send(ProxyFixture.readCommand("a1", 4000));
            other.expectLines("CLIENT_ERROR the id is in use");
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1");
            node.close();
            expectServed(fixture, other, "a1");
        }
    }

    /** Guards against false failure counts: a bad request, tried at each node in turn, would count against them all. */
    @Test
    void requestRejectedByANodeAsInvalidIsNotSentToAnother() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(2)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000));
            while (fixture.nodes.get(0).acceptedCount() + fixture.nodes.get(1).acceptedCount() == 0) {
                Thread.onSpinWait();
            }
            TestConnection node = fixture.nodes
                    .get(fixture.nodes.get(0).acceptedCount() == 1 ? 0 : 1)
                    .awaitConnection();
            node.readLine();
            node.send("CLIENT_ERROR bad request\r\n");
            client.expectLines("CLIENT_ERROR bad request");
            node.expectEnd();
            assertEquals(
                    1,
                    fixture.nodes.get(0).acceptedCount() + fixture.nodes.get(1).acceptedCount());
        }
    }

    /** Guards against endless reads from a client that keeps sending after its command has been rejected. */
    @Test
    void inputAfterLostFramingIsNotRead() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send("ms 7f3a9c21e0b4d655 60000000 Oa1 Pc=charge,t=acme,d=900,k=1\r\n");
            client.expectLines("CLIENT_ERROR object too large");
            byte[] block = new byte[1 << 16];
            int sent = 0;
            try {
                for (; sent < 900; sent++) {
                    client.socket.getOutputStream().write(block);
                }
            } catch (java.net.SocketException e) {
                // the proxy has closed the connection
            }
            assertTrue(sent < 900, "the proxy read all of the 60 MB");
        }
    }

    /**
     * Guards against lost commands: a write for whose value there was no memory ended its connection, and the commands
     * that had been sent behind it got no answer.
     */
    @Test
    void writeWithoutRoomIsRefusedAndTheCommandsBehindItAreAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            String line = "ms 7f3a9c21e0b4d655 65536 O%s Pc=charge,t=acme,d=4000,k=1\r\n";
            for (int i = 0; i < 64; i++) { // 64 values of 64 KiB are all that may arrive at once
                fixture.openClient().send("mn\r\n" + String.format(line, "v" + i));
            }
            for (TestConnection announced : fixture.clients) {
                announced.expectLines("MN");
            }
            TestConnection client = fixture.openClient();
            client.send(String.format(line, "a1") + "v".repeat(65536) + "\r\nmn\r\n");
            client.expectLines("SERVER_ERROR busy 500", "MN");
        }
    }
}
