package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an internal limit on the number of cache nodes or proxies. */
@Timeout(60)
class ManyNodesTest {
    private static final int NODES_AND_PROXIES = 1100;
    /** The most cache nodes that the operators name. */
    private static final int MOST_NODES = 3200;

    private static final int REQUESTS = 200;

    @TempDir
    Path folder;

    @Test
    void servesWithElevenHundredNodesAndProxies() throws Exception {
        serve(NODES_AND_PROXIES);
    }

    @Test
    void servesWithThousandsOfNodes() throws Exception {
        serve(MOST_NODES);
    }

    private void serve(int nodeCount) throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (TestConnection.Listener node = new TestConnection.Listener()) {
            Proxy proxy = Proxy.start(
                    Config.load(ProxyFixture.environment(writeConfig(node.address(), nodeCount), "127.0.0.1:1")), loop);
            assertEquals(nodeCount, proxy.listedNodeCount());
            try (TestConnection client = TestConnection.connect(proxy.address())) {
                for (int i = 0; i < REQUESTS; i++) {
                    client.send("mg " + Integer.toHexString(0x1000 + i) + " v Or" + i + " Pc=lookup,t=acme,d=4000\r\n");
                    TestConnection nodeConnection =
                            node.awaitConnection(); // the node that the key maps to has no open connection
                    assertTrue(nodeConnection.readLine().contains(" Or" + i + " "));
                    nodeConnection.send("VA 1 Or" + i + "\r\n1\r\n");
                    client.expectLines("VA 1 Or" + i, "1");
                    nodeConnection.close();
                }
            }
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private Path writeConfig(String address, int nodeCount) throws Exception {
        List<String> entries = new ArrayList<>();
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            entries.add("{\"id\":\"s-" + i + "\",\"addr\":\"" + address + "\",\"zone\":\"east\",\"kind\":\"full\","
                    + "\"cell\":1,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}");
        }
        for (int i = 0; i < NODES_AND_PROXIES; i++) {
            peers.add("\"127.0.0.1:" + (20_000 + i) + "\"");
        }
        String settings = ProxyFixture.SETTINGS.replace("\"balancers\":1", "\"balancers\":" + NODES_AND_PROXIES);
        String json = ProxyFixture.configurationJson(
                ProxyFixture.nodeList(1, true, entries.toArray(String[]::new)), settings, 1024);
        Path file = folder.resolve("config.json");
        Files.writeString(file, json.replaceFirst("\\{", "{\"peers\":[" + String.join(",", peers) + "],"));
        return file;
    }
}
