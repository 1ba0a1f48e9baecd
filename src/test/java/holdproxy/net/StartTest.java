package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as it is started: what it does before its first answer. */
@Timeout(60)
class StartTest {
    @TempDir
    Path folder;

    /**
     * Danger: a deployment may have TCP and UDP alone. A start that talks to itself over anything else waits
     * there for somebody who never comes, and all proxies restarted together are away that much longer.
     */
    @Test
    void aStartUsesNoUnixSocket() throws Exception {
        InetSocketAddress listen = freeAddress();
        Process proxy = start(listen);
        try {
            assertEquals("MN", greeting(proxy, listen));
        } finally {
            proxy.destroy();
            assertTrue(proxy.waitFor(30, TimeUnit.SECONDS));
        }
        List<String> all = Files.readAllLines(folder.resolve("loaded"));
        assertTrue(all.stream().anyMatch(l -> l.contains("holdproxy.net.Proxy")));
        assertEquals(List.of(), all.stream()
            .filter(l -> l.contains("UnixDomainSockets") || l.contains("DomainSocketChannel")).toList());
    }

    /** Danger: a proxy told to end before it was ready died at once, with its first clients' requests taken. */
    @Test
    void whoComesDuringTheStartIsAnsweredAlsoIfItIsToldToEndThen() throws Exception {
        InetSocketAddress listen = freeAddress();
        Process proxy = start(listen);
        Peer client = firstClient(proxy, listen);
        proxy.destroy();
        client.send("mn\r\n");
        client.expect("MN");
        client.expectEnd();
        assertTrue(proxy.waitFor(30, TimeUnit.SECONDS));
        assertEquals(0, proxy.exitValue());
    }

    /** Danger: where the class archive was lost, in a copied checkout, only a line of the JVM's told so. */
    @Test
    void aStartWithoutItsClassArchiveSaysSo() throws Exception {
        InetSocketAddress listen = freeAddress();
        Process proxy = start(listen);
        try {
            assertEquals("MN", greeting(proxy, listen));
            said(proxy, "holdproxy: the class archive is not used: this start took longer");
        } finally {
            proxy.destroy();
            assertTrue(proxy.waitFor(30, TimeUnit.SECONDS));
        }
    }

    /** Waits for a line of the program's. */
    private void said(Process proxy, String line) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!Files.readAllLines(folder.resolve("log")).contains(line)) {
            assertTrue(proxy.isAlive() && System.nanoTime() < end, "not said: " + line);
            Thread.onSpinWait();
        }
    }

    private Process start(InetSocketAddress listen) throws IOException {
        Path config = folder.resolve("config.json");
        Files.writeString(config, Fixture.json(Fixture.list(1, true), Fixture.SETTINGS, 1024));
        ProcessBuilder builder = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xlog:class+load:file=" + folder.resolve("loaded"), "-cp", System.getProperty("java.class.path"),
            "holdproxy.Main", "serve");
        builder.environment().putAll(Fixture.env(config, "127.0.0.1:1"));
        builder.environment().put("LB_LISTEN", listen.getAddress().getHostAddress() + ":" + listen.getPort());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        return builder.start();
    }

    /** On a loopback address that nobody else uses: the port is still free when the program takes it. */
    private static InetSocketAddress freeAddress() throws IOException {
        byte[] own = new byte[4];
        ThreadLocalRandom.current().nextBytes(own);
        own[0] = 127;
        own[3] |= 2;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByAddress(own))) {
            return new InetSocketAddress(s.getInetAddress(), s.getLocalPort());
        }
    }

    /** Its answer to {@code mn}, as soon as it listens. */
    private static String greeting(Process proxy, InetSocketAddress listen) throws Exception {
        try (Peer client = firstClient(proxy, listen)) {
            client.send("mn\r\n");
            return client.line();
        }
    }

    private static Peer firstClient(Process proxy, InetSocketAddress listen) throws Exception {
        while (proxy.isAlive()) {
            try {
                return Peer.to(listen);
            } catch (java.net.ConnectException e) {
                Thread.onSpinWait(); // not listening yet
            }
        }
        throw new AssertionError("ended with " + proxy.exitValue());
    }
}
