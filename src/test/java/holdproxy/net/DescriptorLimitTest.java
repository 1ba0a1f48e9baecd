package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the program with its lowest descriptor limit while discovery fails, with idle clients on every descriptor
 * that they can get and requests in flight at a node. The descriptors reserved for discovery, nodes and new clients
 * must still be available.
 */
@Timeout(60)
class DescriptorLimitTest {
    private static final int DESCRIPTOR_LIMIT = 256;
    /** More clients than the proxy accepts, so that others connect as soon as it closes some. */
    private static final int IDLE_CLIENTS = 200;

    private static final int CLIENTS_PER_BURST = 50;
    /** A change must be applied within this time after discovery can be reached again. */
    private static final long MAX_UPDATE_DELAY_MS = 6000;
    /** Together with one idle connection, the highest number of connections that may be open to nodes. */
    private static final int OPEN_REQUESTS = 87;

    @TempDir
    Path folder;

    private final List<TestConnection> clients = new ArrayList<>();
    private final ArrayDeque<TestConnection> idleClients = new ArrayDeque<>();
    private InetSocketAddress listen;
    private volatile int maxDescriptors;

    /** What the discovery service does with a call during its outage. */
    private enum Outage {
        REFUSES,
        RESETS,
        HANGS
    }

    @Test
    void recoveryIsNoticedAndNewClientsAreServedWhenDiscoveryRefusedConnections() throws Exception {
        runOutage(Outage.REFUSES);
    }

    @Test
    void recoveryIsNoticedAndNewClientsAreServedWhenDiscoveryResetConnections() throws Exception {
        runOutage(Outage.RESETS);
    }

    @Test
    void recoveryIsNoticedAndNewClientsAreServedWhenDiscoveryHung() throws Exception {
        runOutage(Outage.HANGS);
    }

    private void runOutage(Outage outage) throws Exception {
        InetSocketAddress discoveryAddress = StartTest.freeAddress();
        listen = StartTest.freeAddress();
        TestConnection.Listener discovery =
                outage == Outage.REFUSES ? null : new TestConnection.Listener(discoveryAddress);
        TestConnection.Listener old = new TestConnection.Listener();
        TestConnection.Listener other = new TestConnection.Listener();
        Process proxy = start(discoveryAddress, ProxyFixture.nodeList(1, true, entry("s-0", old, "SERVING")));
        Thread sampler = new Thread(() -> sampleDescriptors(proxy), "descriptor sampler");
        try {
            StartTest.connectOnceListening(proxy, listen).close();
            sampler.start();
            openRequests(old);
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
            for (int failureCount = 0; failureCount < 2; ) {
                assertTrue(System.nanoTime() < deadlineNanos, "the proxy does not call discovery");
                addIdleClients();
                failureCount += takeFailedCalls(discovery, outage);
            }
            TestConnection idleConnection = serveNewClient("a1", old);
            if (outage == Outage.REFUSES) {
                discovery = new TestConnection.Listener(discoveryAddress);
            }
            TestConnection watch;
            long recoveredNanos = System.nanoTime();
            while ((watch = discovery.pollConnection()) == null) {
                assertTrue(System.nanoTime() < deadlineNanos, "the proxy does not call discovery");
                addIdleClients();
            }
            acceptWatch(watch);
            ProxyFixture.sendChunk(
                    watch,
                    ProxyFixture.nodeList(2, false, entry("s-0", old, "DRAINING"), entry("s-1", other, "SERVING")));
            idleConnection.expectEnd();
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - recoveredNanos);
            assertTrue(tookMs < MAX_UPDATE_DELAY_MS, "applied " + tookMs + " ms after discovery was back");
            addIdleClients();
            serveNewClient("a2", other);
            int descriptors = maxDescriptors;
            assertTrue(descriptors <= DESCRIPTOR_LIMIT, descriptors + " open descriptors, limit " + DESCRIPTOR_LIMIT);
            assertTrue(
                    descriptors >= DESCRIPTOR_LIMIT * 3 / 4,
                    "only " + descriptors + " descriptors of " + DESCRIPTOR_LIMIT + " were in use");
        } finally {
            proxy.destroyForcibly().waitFor();
            sampler.join();
            clients.addAll(idleClients);
            for (TestConnection p : clients) {
                p.close();
            }
            old.close();
            other.close();
            if (discovery != null) {
                discovery.close();
            }
        }
    }

    private Process start(InetSocketAddress discoveryAddress, String known) throws IOException {
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                ProxyFixture.configurationJson(
                        known,
                        ProxyFixture.SETTINGS.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":60000.0"),
                        DESCRIPTOR_LIMIT));
        return ProxyProcess.start(folder, config, listen, ProxyProcess.hostAndPort(discoveryAddress));
    }

    private static String entry(String id, TestConnection.Listener node, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + node.address() + "\",\"zone\":\"east\",\"kind\":\"full\","
                + "\"cell\":1,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** Samples the number of open descriptors of the process until it ends. */
    private void sampleDescriptors(Process proxy) {
        File descriptorFolder = new File("/proc/" + proxy.pid() + "/fd");
        while (proxy.isAlive()) {
            String[] names = descriptorFolder.list();
            maxDescriptors = Math.max(maxDescriptors, names == null ? 0 : names.length);
        }
    }

    private TestConnection connectClient() throws IOException {
        TestConnection client = TestConnection.connect(listen);
        clients.add(client);
        return client;
    }

    /** Sends requests that the node leaves unanswered, each on a connection of its own. */
    private void openRequests(TestConnection.Listener node) throws Exception {
        TestConnection client = connectClient();
        for (int i = 0; i < OPEN_REQUESTS; i++) {
            client.send(ProxyFixture.readCommand("open" + i, 60_000));
        }
        for (int i = 0; i < OPEN_REQUESTS; i++) {
            assertTrue(node.awaitConnection().readLine().contains(" Oopen"));
        }
    }

    /**
     * Connects a burst of clients, each of which sends up to two requests and then stays idle. Beyond the limit, the
     * proxy refuses some of them or closes their connections unread.
     */
    private void addIdleClients() throws IOException {
        List<TestConnection> newClients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_PER_BURST; i++) {
            if (idleClients.size() == IDLE_CLIENTS) {
                idleClients.poll().close();
            }
            newClients.add(TestConnection.connect(listen));
            idleClients.add(newClients.get(i));
        }
        for (TestConnection p : newClients) {
            try {
                p.send("mn\r\n");
                if ("MN".equals(p.readLine())) {
                    p.send("mn\r\n");
                    p.readLine();
                }
            } catch (java.net.SocketException e) {
                // The proxy closed the connection without reading from it.
            }
        }
    }

    /** Has a request of a new client served by this node; returns the node connection, which is idle afterwards. */
    private TestConnection serveNewClient(String id, TestConnection.Listener node) throws Exception {
        TestConnection client = connectClient();
        client.send(ProxyFixture.readCommand(id, 4000));
        TestConnection nodeConnection = node.awaitConnection();
        assertTrue(nodeConnection.readLine().contains(" O" + id + " "));
        nodeConnection.send("VA 1 O" + id + "\r\n1\r\n");
        client.expectLines("VA 1 O" + id, "1");
        return nodeConnection;
    }

    /**
     * Returns the number of calls to discovery that have failed since this was last called. Refused connections cannot
     * be counted: then it waits until the proxy closes a silent client, and returns 1.
     */
    private int takeFailedCalls(TestConnection.Listener discovery, Outage outage) throws IOException {
        if (outage == Outage.REFUSES) {
            connectClient().expectEnd(); // silent: closed after about 2 s, or earlier in favour of new clients
            return 1;
        }
        TestConnection call = discovery.pollConnection();
        if (call != null && outage == Outage.RESETS) {
            call.reset();
        }
        return call == null ? 0 : 1;
    }

    /** Reads the request of a watch and sends the response header. */
    private static void acceptWatch(TestConnection call) throws IOException {
        for (String line = call.readLine(); !line.isEmpty(); line = call.readLine()) {
            // skips the request header
        }
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
}
