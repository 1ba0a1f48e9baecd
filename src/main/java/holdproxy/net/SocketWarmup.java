package holdproxy.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs the code that accepts, connects, reads, writes and closes sockets until the first client connects, so that
 * the JIT compiler has compiled it. It is most of the code that is still interpreted in a first burst of
 * connections. The rounds connect over TCP to the proxy's own listener, because the proxy must not listen on
 * another address and a deployment may not provide another kind of socket.
 */
final class SocketWarmup {
    /** The number of connections that a complete warm-up makes. */
    static final int ROUNDS = 35;

    static final int CONNECT_TIMEOUT_MS = 50;
    private static final int ANSWER_TIMEOUT_MS = 250;
    private static final int TOTAL_TIMEOUT_MS = 2_000;

    private final EventLoop loop;
    private final InetSocketAddress listener;
    private final BooleanSupplier noClientYet;
    private final Promise<Integer> done;
    /** Rounds that were answered so far. */
    private int answeredRounds;

    private SocketWarmup(EventLoop loop, InetSocketAddress listener, BooleanSupplier noClientYet) {
        this.loop = loop;
        this.listener = listener;
        this.noClientYet = noClientYet;
        done = loop.newPromise();
    }

    /**
     * Runs the rounds and returns how many were answered. It blocks, so it must not be called on the event loop.
     * It ends early when a round fails or times out, when the total time is used up, or when a client connects.
     *
     * @param noClientYet whether no client has connected yet; asked on the event loop before each round
     */
    static int run(EventLoop loop, InetSocketAddress listener, BooleanSupplier noClientYet)
            throws InterruptedException {
        SocketWarmup warmup = new SocketWarmup(loop, listener, noClientYet);
        loop.execute(warmup::startRound);
        loop.schedule(warmup::finish, TOTAL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return warmup.done.await().getNow();
    }

    /** Returns whether a connection to the listener comes from the warm-up, that is from the listener's address. */
    static boolean isOwnConnection(InetSocketAddress remote, InetSocketAddress listener) {
        return remote != null && remote.getAddress().equals(listener.getAddress());
    }

    private void startRound() {
        if (done.isDone()) {
            return;
        }
        if (answeredRounds == ROUNDS || !noClientYet.getAsBoolean()) {
            finish();
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new Client())
                .connect(listener, new InetSocketAddress(listener.getAddress(), 0))
                .addListener((ChannelFutureListener) connecting -> {
                    if (connecting.isSuccess()) {
                        connecting
                                .channel()
                                .writeAndFlush(Unpooled.copiedBuffer("mn\r\n", StandardCharsets.ISO_8859_1));
                        int roundsBefore = answeredRounds;
                        loop.schedule(
                                () -> {
                                    if (answeredRounds == roundsBefore) {
                                        connecting.channel().close();
                                        finish();
                                    }
                                },
                                ANSWER_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        finish();
                    }
                });
    }

    private void finish() {
        done.trySuccess(answeredRounds);
    }

    /** Closes the connection at the answer to its one request. The closing starts the next round. */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf answer) {
            answered = true;
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (answered) {
                answeredRounds++;
                loop.execute(SocketWarmup.this::startRound);
            } else {
                finish();
            }
        }
    }
}
