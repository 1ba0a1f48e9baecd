package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Pauses of the event loop, as when the process gets no processor time or much code is compiled at once. */
@Timeout(60)
class EventLoopPauseTest {
    private static final int REQUESTS = 30;
    private static final int REQUEST_DEADLINE_MS = 700;

    private final List<TestConnection> nodes = new ArrayList<>();

    /** Sends a request, asserts that it arrives on a new node connection, and adds that to {@link #nodes}. */
    private void sendOnNewNodeConnection(ProxyFixture f, TestConnection client, int i, int deadlineMs)
            throws Exception {
        client.send(ProxyFixture.readCommand("a" + i, deadlineMs));
        TestConnection node = f.nodes.get(0).awaitConnection();
        assertTrue(node.readLine().contains(" Oa" + i + " "));
        nodes.add(node);
    }

    /**
     * Guards against the fault that requests that expired during one pause were reported to the router as failures of
     * the node and as load, so that it refused requests for seconds.
     */
    @Test
    void requestsThatExpiredDuringALoopPauseDoNotCauseRefusalsAfterIt() throws Exception {
        try (ProxyFixture f = new ProxyFixture(1)) {
            List<TestConnection> clients = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                clients.add(f.openClient());
            }
            for (int i = 0; i < REQUESTS; i++) {
                sendOnNewNodeConnection(f, clients.get(i), i, 3000);
            }
            for (int i = 0; i < REQUESTS; i++) {
                nodes.get(i).send("VA 1 Oa" + i + "\r\n1\r\n");
                clients.get(i).expectLines("VA 1 Oa" + i, "1");
            }
            // Sends all at once on open connections, so that the attempts are in flight when the loop pauses.
            for (int i = 0; i < REQUESTS; i++) {
                clients.get(i).send(ProxyFixture.readCommand("b" + i, REQUEST_DEADLINE_MS));
            }
            for (TestConnection node : nodes) {
                assertTrue(node.readLine().contains(" Ob"));
            }
            LoopPause pause = LoopPause.begin(f);
            // until all requests are far past their deadlines
            pause.resumeAfter(System.nanoTime(), 2 * REQUEST_DEADLINE_MS);
            for (TestConnection client : clients) {
                assertTrue(client.readLine().startsWith("SERVER_ERROR "));
            }
            for (int i = 0; i < REQUESTS; i++) {
                TestConnection client = clients.get(i);
                client.send(ProxyFixture.readCommand("c" + i, 3000));
                TestConnection node = f.nodes.get(0).awaitConnection();
                assertTrue(node.readLine().contains(" Oc" + i + " "));
                node.send("VA 1 Oc" + i + "\r\n1\r\n");
                client.expectLines("VA 1 Oc" + i, "1");
                node.close();
            }
        }
    }
}
