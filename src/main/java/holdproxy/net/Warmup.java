package holdproxy.net;

import holdproxy.Router;
import holdproxy.RoutingPolicy;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;

/**
 * Runs the request path before the proxy listens, so that the JIT compiler has compiled it when the first
 * clients connect. Without the warm-up, the first burst of clients waits half a second if the proxy has only a
 * fraction of a core. The warm-up uses embedded channels without sockets and a router of its own, so the state of
 * the proxy's router is not affected. The actions that its router requests are ignored.
 */
final class Warmup implements Router.Actions {
    /**
     * Methods are compiled after 20 calls, as the deployment file configures. A few more rounds cover branches
     * that are not taken in every round.
     */
    private static final int ROUNDS = 25;

    /** Time between two rounds on the warm-up router's clock, and the latency of each request. */
    private static final long ROUND_INTERVAL_US = 10_000;

    private Warmup() {}

    /** Runs all rounds and returns when they are done. */
    static void run(Proxy proxy, Config config, Command.Names names) {
        new Warmup().runRounds(proxy, config, names);
    }

    private void runRounds(Proxy proxy, Config config, Command.Names names) {
        ByteBudget budget = new ByteBudget(1 << 20);
        Router.Settings settings = config.settings;
        RoutingPolicy policy = new RoutingPolicy(settings, config.seed, 0, this);
        Router.Node[] nodes = new Router.Node[8];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new Router.Node();
            nodes[i].id = i;
        }
        policy.onNodeList(0, Router.NodeListEvent.FULL, nodes, nodes.length, this);
        String tenant = settings.tenants.length > 0 ? ",t=" + settings.tenants[0].name : "";
        String command = "mg 0123456789abcdef v O%d Pc=" + settings.classes[0].name + tenant + ",d=100\r\n";
        Router.Request request = new Router.Request();
        Router.LoadReport report = new Router.LoadReport();
        for (int i = 1; i <= ROUNDS; i++) {
            long now = i * ROUND_INTERVAL_US;
            EmbeddedChannel client = new EmbeddedChannel();
            Command.Decoder clientDecoder = new Command.Decoder(names, budget);
            client.pipeline().addLast(clientDecoder, new ClientSession(proxy, clientDecoder));
            client.writeInbound(bytes("mn\r\n"));
            client.finishAndReleaseAll();
            EmbeddedChannel commandChannel = new EmbeddedChannel(new Command.Decoder(names, budget));
            commandChannel.writeInbound(bytes(String.format(command, i)));
            if (commandChannel.readInbound() instanceof Command decoded) {
                decoded.encode(UnpooledByteBufAllocator.DEFAULT, ROUND_INTERVAL_US)
                        .release();
                decoded.copyTo(request);
                request.id = i;
                request.dueUs = now + ROUND_INTERVAL_US;
                request.key = i;
                policy.onRequest(now, request, this);
            }
            EmbeddedChannel node = new EmbeddedChannel(new Answer.Decoder(budget));
            node.writeInbound(bytes("VA 5 O" + i + " h1 Lutil=0.5\r\nhello\r\n"));
            if (node.readInbound() instanceof Answer answer) {
                answer.readLoadReport(report);
                answer.encode().release();
                policy.onOutcome(
                        now + ROUND_INTERVAL_US,
                        i,
                        0,
                        Router.Outcome.OK,
                        ROUND_INTERVAL_US,
                        true,
                        answer.cacheStatus,
                        report,
                        this);
            }
            commandChannel.finishAndReleaseAll();
            node.finishAndReleaseAll();
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void send(long requestId, int nodeId, long timeoutUs) {
        // The warm-up has no nodes to send to.
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        // The warm-up's requests have no client.
    }

    @Override
    public void fail(long requestId) {
        // The warm-up's requests have no client.
    }

    @Override
    public void cancel(long requestId, int attempt) {
        // No attempt is in flight.
    }

    @Override
    public void setTimer(long delayUs, long label) {
        // The warm-up ends before any timer is due.
    }

    @Override
    public void probe(int nodeId) {
        // The warm-up has no nodes to probe.
    }

    @Override
    public void closeIdleConnections(int nodeId) {
        // No connection is open.
    }

    @Override
    public void subscribe() {
        // The node list is fixed.
    }

    @Override
    public void fetchNodes() {
        // The node list is fixed.
    }

    @Override
    public void sendToPeer(int routerIndex, byte[] data) {
        // The warm-up's router has no peers.
    }

    @Override
    public void log(String line) {
        // Log lines of the warm-up's router do not concern the proxy.
    }
}
