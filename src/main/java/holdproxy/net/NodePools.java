package holdproxy.net;

import holdproxy.Router;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The connection pools of all cache nodes, by the router's numbers for the nodes. The pools share one limit on the
 * number of connections.
 */
final class NodePools {
    /**
     * The part of the configured idle time by which idle connections are closed early, as a divisor: with 5 they are
     * closed after four fifths of that time, before the node closes them.
     */
    private static final long IDLE_MARGIN_DIVISOR = 5;

    /** Limit on the bytes of answers that are partially received, over all connections. */
    private static final long MAX_PARTIAL_ANSWER_BYTES = 12L << 20;

    final Proxy proxy;
    final Log log;
    /** The number of attempts that may share a connection. */
    final int attemptsPerConnection;

    private final Router.RequestClass[] classes;
    /** How long the first idle connection of a pool is kept, in microseconds. */
    final long idleUs;
    /** The largest number of open connections. */
    private final int maxConnections;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<Integer, NodePool> byId = new HashMap<>();
    private final ByteBudget partialAnswerBytes = new ByteBudget(MAX_PARTIAL_ANSWER_BYTES);
    /** The number of connections that are open or being opened. */
    private int openConnections;

    NodePools(Proxy proxy, Config config, EventLoop loop, Log log, int maxConnections) {
        this.proxy = proxy;
        this.log = log;
        this.maxConnections = maxConnections;
        this.loop = loop;
        classes = config.settings.classes;
        // An attempt that is given up on a shared connection cannot be cancelled at the node. Where a request must
        // not be in flight twice, connections are therefore not shared.
        attemptsPerConnection = config.settings.mayHedge ? config.settings.streamsPerConnection : 1;
        idleUs = config.settings.idleTimeoutUs - config.settings.idleTimeoutUs / IDLE_MARGIN_DIVISOR;
        // If the node starts to drain while a connection to it is being opened, the attempt that waits for the
        // connection must be written within the drain's grace period.
        long connectTimeoutUs = config.settings.dialTimeoutUs > 0 ? config.settings.dialTimeoutUs : 1_000_000;
        long graceUs = config.settings.drainGraceUs;
        connectTimeoutUs = graceUs > 0 ? Math.min(connectTimeoutUs, graceUs / 2) : connectTimeoutUs;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, HeapBuffers.INSTANCE)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1000));
    }

    /** Allows sending to a node at the address that the list states. Creates its pool if there is none. */
    void put(int id, String name, InetSocketAddress address) {
        NodePool pool = byId.get(id);
        if (pool == null) {
            byId.put(id, new NodePool(this, name, address));
        } else {
            pool.activate(address);
        }
    }

    /**
     * Stops sending to a node.
     *
     * @param removed true if the node has left the list, false if it is still listed but drains
     */
    void retire(int id, boolean removed) {
        NodePool pool = byId.get(id);
        if (pool != null) {
            pool.retire();
            if (removed) {
                byId.remove(id);
            }
        }
    }

    /** Returns the pool of a node; null if the node is not listed. */
    NodePool get(int id) {
        return byId.get(id);
    }

    /** Returns the latency target of the attempt's request class, in microseconds. */
    long targetUs(Attempt attempt) {
        return classes[attempt.exchange.command.requestClass].targetUs;
    }

    /** Whether the attempt's request may run more than once without harm. */
    boolean mayRepeat(Attempt attempt) {
        return classes[attempt.exchange.command.requestClass].effect == Router.Effect.SAFE;
    }

    /** Runs a task on the event loop after a delay. */
    Future<?> schedule(long delayUs, Runnable task) {
        return loop.schedule(task, delayUs, TimeUnit.MICROSECONDS);
    }

    /**
     * Starts to open a connection for a pool. If the limit is reached, an idle connection of any pool is closed to
     * make room for it. Returns null if the limit is reached and no connection is idle.
     */
    NodeConnection open(NodePool pool) {
        if (openConnections >= maxConnections && byId.values().stream().noneMatch(NodePool::closeOldestIdle)) {
            return null;
        }
        openConnections++;
        Answer.Decoder decoder = new Answer.Decoder(partialAnswerBytes);
        NodeConnection connection = new NodeConnection(pool, decoder);
        pool.add(connection);
        Bootstrap connectionBootstrap = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(decoder, connection);
            }
        });
        Connector.connect(pool.address, connectionBootstrap, loop, connection::onConnectFinished);
        return connection;
    }

    /** Called once for each connection that was closed or could not be opened. */
    void onConnectionClosed() {
        openConnections--;
    }
}
