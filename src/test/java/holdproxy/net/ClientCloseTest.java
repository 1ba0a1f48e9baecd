package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests at the moment at which the proxy closes their connection. A request that was read is answered; one that was
 * not leads to a reset, by which the client knows that it may send it again.
 */
@Timeout(60)
class ClientCloseTest {
    /** The time for a reset: a client that has none by then takes the end of the connection for an orderly one. */
    private static final int RESET_WAIT_MS = 3000;
    /** Longer than any time limit on connections, in microseconds. */
    private static final long LONG_AGO_US = 20_000_000;
    /** With this limit on descriptors 40 are for clients, 32 of them for clients that have sent a command. */
    private static final int FEW_DESCRIPTORS = 128;

    /** Longer than a drain takes, in milliseconds. */
    private static final long LONG_ACCEPT_MS = 60_000;

    private static final int MAX_CLIENTS = 40;
    private static final int MAX_ESTABLISHED = 32;
    /** More clients beyond the limit than may stay until they have sent a request. */
    private static final int EXCESS_CLIENTS = 20;

    /** Runs a close on the event loop right behind a pause, before what a client sends meanwhile has been read. */
    private static void closeUnreadInput(ProxyFixture fixture, TestConnection client, String input, Runnable close)
            throws Exception {
        LoopPause pause = LoopPause.begin(fixture);
        client.send(input);
        fixture.loop.execute(close);
        pause.resume();
    }

    /** The oldest session; to be called on the event loop. */
    private static ClientSession oldestSession(ProxyFixture fixture) {
        return fixture.proxy.admission.sessions().get(0);
    }

    private static TestConnection openUsedClient(ProxyFixture fixture, int commands) throws Exception {
        TestConnection client = fixture.openClient();
        for (int i = 0; i < commands; i++) {
            client.send("mn\r\n");
            client.expectLines("MN");
        }
        return client;
    }

    /** Answers a request at the node and asserts that its client gets the answer. */
    private static void expectServed(ProxyFixture fixture, TestConnection client, String id) throws Exception {
        TestConnection node = fixture.nodes.get(0).awaitConnection();
        assertTrue(node.readLine().contains(" O" + id + " "));
        node.send("VA 1 O" + id + "\r\n1\r\n");
        client.expectLines("VA 1 O" + id, "1");
    }

    private static void expectReset(TestConnection client, String id) throws Exception {
        client.send(ProxyFixture.readCommand(id, 900));
        assertTrue(client.awaitReset(RESET_WAIT_MS), "the request was read and not answered");
    }

    @Test
    void requestThatIsUnreadWhenADrainClosesIsAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = openUsedClient(fixture, 1);
            closeUnreadInput(
                    fixture,
                    client,
                    ProxyFixture.readCommand("a1", 4000),
                    () -> oldestSession(fixture).closeWhenAnswered(CloseReason.DRAIN));
            expectServed(fixture, client, "a1");
            client.expectEnd();
        }
    }

    @Test
    void requestThatIsUnreadWhenAnIdleConnectionIsClosedIsAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = openUsedClient(fixture, 1);
            closeUnreadInput(fixture, client, ProxyFixture.readCommand("a1", 4000), () -> {
                oldestSession(fixture).idleSinceUs -= LONG_AGO_US;
                fixture.proxy.admission.sweep();
            });
            expectServed(fixture, client, "a1");
        }
    }

    @Test
    void requestThatIsUnreadWhenASurplusConnectionIsClosedIsAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, FEW_DESCRIPTORS)) {
            TestConnection client = openUsedClient(fixture, 2);
            for (int i = 0; i < MAX_ESTABLISHED; i++) {
                openUsedClient(fixture, 2);
            }
            closeUnreadInput(fixture, client, ProxyFixture.readCommand("a1", 4000), () -> {
                oldestSession(fixture).idleSinceUs -= LONG_AGO_US;
                fixture.proxy.admission.sweep();
            });
            expectServed(fixture, client, "a1");
        }
    }

    @Test
    void firstRequestThatIsUnreadWhenItsTimeIsOverIsAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = openUsedClient(fixture, 0);
            closeUnreadInput(fixture, client, ProxyFixture.readCommand("a1", 4000), () -> {
                oldestSession(fixture).openedUs -= LONG_AGO_US;
                fixture.proxy.admission.sweep();
            });
            expectServed(fixture, client, "a1");
        }
    }

    @Test
    void firstRequestThatIsUnreadWhenRoomIsMadeIsAnswered() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, FEW_DESCRIPTORS)) {
            List<TestConnection> silent = new ArrayList<>();
            for (int i = 0; i < MAX_CLIENTS; i++) {
                silent.add(openUsedClient(fixture, 0));
            }
            LoopPause pause = LoopPause.begin(fixture);
            fixture.openClient(); // before the request, so that it is accepted before the request is read
            silent.get(0).send(ProxyFixture.readCommand("a1", 4000));
            pause.resume();
            expectServed(fixture, silent.get(0), "a1");
        }
    }

    /** Guards against closes right after the accept, where the request has arrived during a pause. */
    @Test
    void requestsOnConnectionsFarBeyondTheLimitAreRefused() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, FEW_DESCRIPTORS)) {
            for (int i = 0; i < MAX_CLIENTS; i++) {
                TestConnection client = fixture.openClient();
                client.send("mn\r\nmg 7f3a"); // with half a command, so that it is not closed to make room
                client.expectLines("MN");
            }
            LoopPause pause = LoopPause.begin(fixture);
            List<TestConnection> excess = new ArrayList<>();
            for (int i = 0; i < EXCESS_CLIENTS; i++) {
                TestConnection client = fixture.openClient();
                client.send(ProxyFixture.readCommand("a" + i, 4000));
                excess.add(client);
            }
            pause.resume();
            for (TestConnection client : excess) {
                assertEquals("SERVER_ERROR busy 500", client.readLine());
                client.expectEnd();
            }
        }
    }

    /** Guards against the loss of a request that was read and waits, undecoded, behind an invalid command. */
    @Test
    void requestBehindAnInvalidOneIsAnsweredWhenTheTimeForAFirstOneIsOver() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send("bad\r\n" + ProxyFixture.readCommand("a1", 4000));
            assertTrue(client.readLine().contains("ERROR"));
            fixture.loop
                    .submit(() -> {
                        oldestSession(fixture).openedUs -= LONG_AGO_US;
                        fixture.proxy.admission.sweep();
                    })
                    .sync();
            expectServed(fixture, client, "a1");
        }
    }

    /** Guards against the loss of a request that was read and waits, undecoded, behind an invalid command. */
    @Test
    void requestBehindAnInvalidOneIsAnsweredWhenRoomIsMade() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1, s -> s, FEW_DESCRIPTORS)) {
            TestConnection client = fixture.openClient();
            client.send("bad\r\n" + ProxyFixture.readCommand("a1", 4000));
            assertTrue(client.readLine().contains("ERROR"));
            for (int i = 0; i < MAX_CLIENTS; i++) {
                openUsedClient(fixture, 0);
            }
            expectServed(fixture, client, "a1");
        }
    }

    /** Guards against the loss of a request behind several invalid ones, after which nothing more is read. */
    @Test
    void requestBehindInvalidOnesIsAnsweredWhenTheTimeForAFirstOneIsOver() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send("bad\r\nbad\r\n" + ProxyFixture.readCommand("a1", 4000));
            assertTrue(client.readLine().contains("ERROR"));
            fixture.loop
                    .submit(() -> {
                        oldestSession(fixture).openedUs -= LONG_AGO_US;
                        fixture.proxy.admission.sweep();
                    })
                    .sync();
            assertTrue(client.readLine().contains("ERROR"));
            expectServed(fixture, client, "a1");
            client.expectEnd();
        }
    }

    /** Guards against the loss of a request that waits behind an invalid one for longer than the process lives. */
    @Test
    void requestBehindAnInvalidOneIsNotHeldUpBeforeTheExit() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertNotNull(node.readLine());
            ClientSession session =
                    fixture.loop.submit(() -> oldestSession(fixture)).get();
            fixture.loop.submit(session::closeBeforeExit).sync();
            client.send("bad\r\nmn\r\n");
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1");
            assertTrue(client.readLine().contains("ERROR"));
            assertTrue(fixture.loop.submit(session::isDecodable).get(), "what follows is held up");
            client.expectLines("MN");
        }
    }

    /** Guards against the same loss on a connection that was accepted when the last answers had been given already. */
    @Test
    void requestBehindAnInvalidOneIsNotHeldUpOnALateConnection() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(1, s -> s.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":100.0"), 1024)) {
            Thread drain = new Thread(() -> fixture.proxy.drain(LONG_ACCEPT_MS), "drain");
            drain.setDaemon(true);
            drain.start();
            while (drain.getState() != Thread.State.TIMED_WAITING) {
                Thread.onSpinWait(); // the thread waits only after it has queued its task on the event loop
            }
            // The last answers are due 0.25 s before the end of the drain, which takes the deadline and 0.6 s.
            fixture.loop.schedule(() -> {}, 500, TimeUnit.MILLISECONDS).get();
            TestConnection client = fixture.openClient();
            client.send("bad\r\nmn\r\n");
            assertTrue(client.readLine().contains("ERROR"));
            assertTrue(
                    fixture.loop
                            .submit(() -> oldestSession(fixture).isDecodable())
                            .get(),
                    "what follows is held up");
            client.expectLines("MN");
        }
    }

    @Test
    void requestThatFollowsTheEndOfAnIdleConnectionIsReset() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = openUsedClient(fixture, 1);
            fixture.loop.execute(() -> oldestSession(fixture).closeWhenAnswered(CloseReason.DRAIN));
            assertEquals(null, client.readLine());
            expectReset(client, "a1");
        }
    }

    @Test
    void requestThatFollowsTheLastAnswerAndTheEndIsReset() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000));
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertNotNull(node.readLine());
            fixture.loop
                    .submit(() -> oldestSession(fixture).closeWhenAnswered(CloseReason.DRAIN))
                    .sync();
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1");
            assertEquals(null, client.readLine());
            expectReset(client, "a2");
        }
    }

    /** Guards against the loss of requests behind an incomplete one, while an earlier one keeps the connection open. */
    @Test
    void requestBehindAnIncompleteOneThatTookTooLongIsReset() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(1)) {
            TestConnection client = fixture.openClient();
            client.send(ProxyFixture.readCommand("a1", 4000) + "mg 7f3a");
            TestConnection node = fixture.nodes.get(0).awaitConnection();
            assertNotNull(node.readLine());
            fixture.loop
                    .submit(() -> {
                        oldestSession(fixture).partialSinceUs -= LONG_AGO_US;
                        fixture.proxy.admission.sweep();
                    })
                    .sync();
            client.send("9c21 v Oa2 Pc=lookup,t=acme,d=900\r\n" + ProxyFixture.readCommand("a3", 900));
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expectLines("VA 1 Oa1", "1", "CLIENT_ERROR the command does not end");
            client.expectEnd();
            assertTrue(client.awaitReset(RESET_WAIT_MS), "the requests were read and not answered");
        }
    }
}
