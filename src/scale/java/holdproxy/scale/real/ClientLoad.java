package holdproxy.scale.real;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/**
 * Sends reads with Zipf-distributed keys to one proxy at a constant rate, independently of its answers, and
 * records the time from sending to the answer.
 */
final class ClientLoad {
    private static final int CONNECTIONS = 8;
    private static final int KEY_COUNT = 100_000;
    private static final double ZIPF_EXPONENT = 1.0;
    private static final int SEND_INTERVAL_MS = 5;
    private static final int MAX_LINE_BYTES = 8192;
    private static final long MAX_LATENCY_US = 60_000_000;

    private final EventLoop loop;
    private final UniformRandomProvider random;
    private final DiscreteSampler keySampler;
    private final int tenantCount;
    private final double requestsPerS;
    private final List<ClientConnection> connections = new ArrayList<>();
    private final Histogram latencies = new ConcurrentHistogram(MAX_LATENCY_US, 3);
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final long startNs = System.nanoTime();
    private final Future<?> sendTask;

    /** Connects to the proxy and starts sending {@code requestsPerS} requests per second. */
    ClientLoad(
            EventLoop loop,
            InetSocketAddress proxy,
            double requestsPerS,
            int tenantCount,
            UniformRandomProvider random) {
        this.loop = loop;
        this.random = random;
        this.requestsPerS = requestsPerS;
        this.tenantCount = tenantCount;
        keySampler = RejectionInversionZipfSampler.of(random, KEY_COUNT, ZIPF_EXPONENT);
        for (int i = 0; i < CONNECTIONS; i++) {
            connections.add(new ClientConnection(proxy));
        }
        sendTask = loop.scheduleAtFixedRate(
                this::sendDueRequests, SEND_INTERVAL_MS, SEND_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void sendDueRequests() {
        long due = (long) ((System.nanoTime() - startNs) / 1e9 * requestsPerS);
        while (sent.get() < due) {
            connections.get((int) (sent.get() % CONNECTIONS)).send(sent.incrementAndGet());
        }
    }

    /** Stops sending and closes the connections without waiting for outstanding answers. */
    void stop() {
        sendTask.cancel(false);
        connections.forEach(c -> c.channel.close().syncUninterruptibly());
    }

    /** Latencies of the answered requests in microseconds. */
    Histogram latencies() {
        return latencies;
    }

    /** Number of requests sent. */
    long sent() {
        return sent.get();
    }

    /** Number of requests that were answered without a value: misses, refusals and failures. */
    long failed() {
        return failed.get();
    }

    /** One client connection; the proxy answers its requests in order. */
    private final class ClientConnection extends SimpleChannelInboundHandler<String> {
        /** Sending times of the requests without an answer, oldest first. */
        private final ArrayDeque<Long> sentTimesNs = new ArrayDeque<>();

        private final Channel channel;
        /** Whether the next line is the value of a hit. */
        private boolean expectsValue;

        ClientConnection(InetSocketAddress proxy) {
            channel = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                            new StringDecoder(StandardCharsets.ISO_8859_1),
                                            ClientConnection.this);
                        }
                    })
                    .connect(proxy)
                    .syncUninterruptibly()
                    .channel();
        }

        void send(long number) {
            long key = keySampler.sample() * 0x9e3779b97f4a7c15L;
            sentTimesNs.add(System.nanoTime());
            channel.writeAndFlush(Unpooled.copiedBuffer(
                    String.format("mg %016x v O%x Pc=read,t=t%d,d=1000\r\n", key, number, random.nextInt(tenantCount)),
                    StandardCharsets.ISO_8859_1));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (expectsValue) {
                expectsValue = false;
                return;
            }
            expectsValue = line.startsWith("VA ");
            if (!expectsValue) {
                failed.incrementAndGet();
            }
            latencies.recordValue(Math.min(MAX_LATENCY_US, (System.nanoTime() - sentTimesNs.remove()) / 1000));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
