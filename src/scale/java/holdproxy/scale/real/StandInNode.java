package holdproxy.scale.real;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands in for all cache nodes at a single address. It has a value for every key and answers each request after
 * a fixed time.
 */
final class StandInNode {
    private static final int MAX_LINE_BYTES = 8192;
    private static final int ACCEPT_BACKLOG = 256;

    private final EventLoop loop;
    private final long serviceUs;
    private final Channel server;
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();

    /** Starts listening on a free port of 127.0.0.1. */
    StandInNode(EventLoop loop, long serviceUs) {
        this.loop = loop;
        this.serviceUs = serviceUs;
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        connections.incrementAndGet();
                        ch.pipeline()
                                .addLast(
                                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                        new StringDecoder(StandardCharsets.ISO_8859_1),
                                        new CommandHandler());
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    /** The address as HOST:PORT. */
    String address() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Number of reads and writes received so far. */
    long requests() {
        return requests.get();
    }

    /** Number of connections accepted so far. */
    long connections() {
        return connections.get();
    }

    /** Answers the commands of one connection. */
    private final class CommandHandler extends SimpleChannelInboundHandler<String> {
        /** The opaque flag of a write whose value has not arrived yet, or null. */
        private String pendingWriteOpaque;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (pendingWriteOpaque != null) {
                answerAfterServiceTime(
                        ctx, "HD " + pendingWriteOpaque + " c1\r\n"); // This line was the value of the write.
                pendingWriteOpaque = null;
            } else if (line.startsWith("mg ")) {
                answerAfterServiceTime(ctx, "VA 5 " + opaqueFlag(line) + " h1\r\nhello\r\n");
            } else if (line.startsWith("ms ")) {
                pendingWriteOpaque = opaqueFlag(line);
            } else {
                ctx.writeAndFlush(
                        Unpooled.copiedBuffer(line.equals("mn") ? "MN\r\n" : "ERROR\r\n", StandardCharsets.ISO_8859_1));
            }
        }

        /** The opaque flag of a command, or {@code O0} if it has none. */
        private String opaqueFlag(String line) {
            for (String word : line.split(" ")) {
                if (word.startsWith("O")) {
                    return word;
                }
            }
            return "O0";
        }

        private void answerAfterServiceTime(ChannelHandlerContext ctx, String text) {
            requests.incrementAndGet();
            loop.schedule(
                    () -> ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1)),
                    serviceUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
