package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The end of a proxy and of its clients' connections: what is still owed at that instant. */
@Timeout(60)
class DrainTest {
    private static final int MOST_WAITING = 128;

    /** Ends the proxy as SIGTERM does, and returns once it listens no longer. */
    private static void drain(Fixture f) throws Exception {
        Thread drain = new Thread(() -> f.proxy.drain(0), "drain");
        drain.setDaemon(true);
        drain.start();
        while (true) {
            try (Peer late = Peer.to(f.proxy.address())) {
                late.expectEnd(); // one of the last to be taken
            } catch (java.net.ConnectException | NullPointerException e) {
                return;
            }
        }
    }

    private static Fixture patient(int nodes) throws Exception {
        return new Fixture(nodes, s -> s.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0"), 1024);
    }

    /** Danger: not read on, what a client sent behind an open request was left without an answer. */
    @Test
    void whatComesBehindAnOpenRequestIsAnsweredBeforeTheEnd() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 4000));
            Peer node = f.nodes.get(0).next();
            assertTrue(node.line().contains(" Oa1 "));
            drain(f);
            client.send(Fixture.read("a2", 4000));
            Peer second = f.nodes.get(0).next();
            assertTrue(second.line().contains(" Oa2 "));
            second.send("VA 1 Oa2\r\n2\r\n");
            node.send("VA 1 Oa1\r\n1\r\n");
            client.expect("VA 1 Oa1", "1", "VA 1 Oa2", "2");
            client.expectEnd();
        }
    }

    /** Danger: its first half had been read, and the rest was thrown away. */
    @Test
    void aCommandThatIsHalfReadAndOneInTheSameReadAreAnsweredBeforeTheEnd() throws Exception {
        try (Fixture f = new Fixture(1)) {
            Peer client = f.client();
            client.send("mn\r\nm");
            client.expect("MN");
            drain(f);
            client.send("n\r\nmn\r\n");
            client.expect("MN", "MN");
            client.expectEnd();
        }
    }

    /** Danger: a connection that is not read does not show that its client has gone. */
    @Test
    void theGoingOfAClientIsSeenWhileDraining() throws Exception {
        try (Fixture f = patient(1)) {
            Peer client = f.client();
            client.send(Fixture.read("a1", 60_000));
            Peer node = f.nodes.get(0).next();
            assertTrue(node.line().contains(" Oa1 "));
            drain(f);
            client.close();
            node.expectEnd();
        }
    }

    /** Danger: the same where a connection has more requests open than it may. */
    @Test
    void theGoingOfAClientWithTooManyOpenRequestsIsSeenAndTheOthersAreNotSentOn() throws Exception {
        try (Fixture f = patient(1)) {
            Peer client = f.client();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < MOST_WAITING + 20; i++) {
                all.append(Fixture.read("a" + i, 60_000));
            }
            client.send(all.toString());
            List<Peer> out = new ArrayList<>();
            for (int i = 0; i < MOST_WAITING; i++) {
                out.add(f.nodes.get(0).next());
            }
            client.close();
            for (Peer p : out) {
                while (p.line() != null) {
                    // the request, and the end
                }
            }
            Peer other = f.client();
            other.send("mn\r\n");
            other.expect("MN");
            assertEquals(MOST_WAITING, f.nodes.get(0).count());
        }
    }

    /** Danger: closed with more in its queue than one pass of the loop takes up, the listener resets the rest. */
    @Test
    void whoWaitsInTheAcceptQueueWhenTheListenerEndsIsStillServed() throws Exception {
        try (Fixture f = new Fixture(1)) {
            CountDownLatch connected = new CountDownLatch(1);
            f.loop.execute(() -> {
                try {
                    connected.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            List<Peer> queued = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                Peer p = f.client();
                p.send("mn\r\n");
                queued.add(p);
            }
            Thread drain = new Thread(() -> f.proxy.drain(0), "drain");
            drain.start();
            while (drain.getState() != Thread.State.TIMED_WAITING) {
                Thread.onSpinWait(); // its task is in the loop's queue now
            }
            connected.countDown();
            for (Peer p : queued) {
                p.expect("MN");
                p.expectEnd();
                p.close();
            }
            drain.join();
        }
    }

    /** Danger: fixed at 3.6 s, the end came before requests of a longer deadline were answered. */
    @Test
    void theEndWaitsForTheLongestDeadlineOfTheSettings() {
        Router.Settings s = new Router.Settings();
        s.classes = new Router.RequestClass[] {new Router.RequestClass(), new Router.RequestClass()};
        s.classes[0].deadlineUs = 500_000;
        assertEquals(3_600_000, Proxy.drainMostUs(s));
        s.classes[1].deadlineUs = 8_000_000;
        assertEquals(8_600_000, Proxy.drainMostUs(s));
    }
}
