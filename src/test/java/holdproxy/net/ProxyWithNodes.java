package holdproxy.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The program in a process of its own, with cache nodes that the test process plays. */
final class ProxyWithNodes implements Closeable {
    /** The longest deadline that counts in the time until SIGKILL. */
    private static final int MAX_COUNTED_DEADLINE_MS = 3000;
    /** SIGKILL may follow SIGTERM after the longest deadline and this time. */
    private static final int KILL_DELAY_MS = 700;

    final List<ServingNode> nodes = new ArrayList<>();
    final InetSocketAddress listen;
    final Process process;
    /** The earliest time of SIGKILL, counted from SIGTERM. */
    final int killDelayMs;

    /**
     * Starts everything and returns once the proxy listens.
     *
     * @param folder receives the configuration and the log
     * @param nodeCount the number of cache nodes
     * @param serviceMs how long a node takes for a request
     * @param deadlineMs the deadline of all classes
     * @param descriptors the limit on descriptors
     */
    ProxyWithNodes(Path folder, int nodeCount, int serviceMs, int deadlineMs, int descriptors) throws Exception {
        killDelayMs = Math.min(deadlineMs, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS;
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            ServingNode node = new ServingNode(serviceMs);
            nodes.add(node);
            entries.add("{\"id\":\"s-" + i + "\",\"addr\":\"" + node.listener.address() + "\",\"zone\":\"east\","
                    + "\"kind\":\"full\",\"cell\":1,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}");
        }
        Path config = folder.resolve("config.json");
        String settings = ProxyFixture.SETTINGS.replace("\"deadlineMs\":5000.0", "\"deadlineMs\":" + deadlineMs + ".0");
        String known = ProxyFixture.nodeList(1, true, entries.toArray(String[]::new));
        Files.writeString(config, ProxyFixture.configurationJson(known, settings, descriptors));
        listen = StartTest.freeAddress();
        process = ProxyProcess.start(folder, config, listen, "127.0.0.1:1");
        StartTest.connectOnceListening(process, listen).close();
    }

    /** Sends a signal to the proxy, and returns once it is sent. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Whether a request with this id, with the O in front, has reached a cache node. */
    boolean wasSentToNode(String id) {
        return nodes.stream().anyMatch(node -> node.hasReceived(id));
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        for (ServingNode node : nodes) {
            node.close();
        }
    }
}
