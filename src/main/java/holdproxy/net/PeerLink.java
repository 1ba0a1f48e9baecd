package holdproxy.net;

import holdproxy.Router;
import holdproxy.cluster.MalformedMessageException;
import holdproxy.cluster.MemberState;
import holdproxy.cluster.Membership;
import holdproxy.cluster.MembershipSettings;
import holdproxy.cluster.Message;
import holdproxy.cluster.MessageCodec;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.zip.CRC32C;

/**
 * Runs the membership protocol over UDP. It binds the address for messages between proxies, runs the timer of the
 * {@link Membership} state machine on the event loop, and passes messages to it. Datagrams that are not valid
 * messages of this group, or whose source is not the address of the member named as the sender, are counted and
 * dropped. All methods are called on the event loop.
 */
final class PeerLink {
    /** Longer than any valid message, so that a datagram that is too long is not truncated to a valid length. */
    private static final int RECEIVE_BUFFER_BYTES = 2 * MessageCodec.MAX_DATAGRAM_BYTES;

    private static final int BIND_RETRY_MS = 1000;
    private static final long DROP_LOG_INTERVAL_US = 10_000_000;

    private final Config.Cluster cluster;
    private final EventLoop loop;
    private final Log log;
    /** The proxy's monotonic clock, in microseconds. */
    private final LongSupplier clockUs;

    private final MessageCodec codec;
    private final Membership membership;
    /** Null until the address is bound. */
    private Channel channel;

    private boolean closed;
    private long droppedDatagrams;
    /** The value of {@link #droppedDatagrams} when it was last logged. */
    private long droppedAtLastLog;
    /**
     * When {@link #droppedDatagrams} was last logged. The initial value is long ago, but not so long that the
     * difference to the current time overflows.
     */
    private long lastDropLogUs = Long.MIN_VALUE / 2;

    /**
     * Creates the state machine. Nothing is bound or sent until {@link #open} is called.
     *
     * @param config a configuration that enables membership
     * @param clockUs the proxy's monotonic clock, in microseconds
     */
    PeerLink(Config config, EventLoop loop, Log log, LongSupplier clockUs) {
        this.cluster = config.cluster;
        this.loop = loop;
        this.log = log;
        this.clockUs = clockUs;
        int members = cluster.peers().size();
        codec = new MessageCodec(groupNumber(config.settings), members);
        MembershipSettings settings =
                MembershipSettings.forBandwidth(cluster.bytesPerSecond(), members, config.settings.index);
        membership = new Membership(
                settings,
                System.currentTimeMillis(),
                config.seed,
                clockUs.getAsLong(),
                this::send,
                this::logStateChange);
    }

    /**
     * Returns a number that is the same for all proxies of a tier and most likely differs from that of other tiers. It
     * is a checksum of the names of the request classes and the number of proxies.
     */
    private static int groupNumber(Router.Settings settings) {
        CRC32C crc = new CRC32C();
        for (Router.RequestClass requestClass : settings.classes) {
            crc.update((requestClass.name + "\n").getBytes(StandardCharsets.UTF_8));
        }
        crc.update(Integer.toString(settings.routerCount).getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /**
     * Binds the address and starts the protocol. If the address is in use, for example by the previous process of this
     * proxy, binding is retried and the proxy serves clients meanwhile.
     */
    void open() {
        if (closed) {
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(new Inbound())
                .bind(cluster.listenAddress())
                .addListener((ChannelFutureListener) binding -> {
                    if (!binding.isSuccess()) {
                        String reason = binding.cause().getMessage();
                        log.line("membership is not running yet: cannot bind " + cluster.listenAddress() + ": "
                                + reason);
                        loop.schedule(this::open, BIND_RETRY_MS, TimeUnit.MILLISECONDS);
                    } else if (closed) {
                        binding.channel().close();
                    } else {
                        channel = binding.channel();
                        onTimer();
                    }
                });
    }

    /** Announces to some other proxies that this one is shutting down, and stops the protocol. */
    void close() {
        if (!closed) {
            closed = true;
            membership.leave();
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** Returns this proxy's view of the other proxies. */
    Membership membership() {
        return membership;
    }

    /** Returns the number of datagrams dropped because they were not valid or had the wrong source address. */
    long droppedDatagrams() {
        return droppedDatagrams;
    }

    private void onTimer() {
        if (closed) {
            return;
        }
        long now = clockUs.getAsLong();
        long due = membership.onTimer(now);
        loop.schedule(this::onTimer, Math.max(0, due - now), TimeUnit.MICROSECONDS);
    }

    /** Sends a message; discards it if the address is not bound yet. */
    private void send(int member, Message message) {
        if (channel != null) {
            ByteBuf bytes = Unpooled.wrappedBuffer(codec.encode(message));
            channel.writeAndFlush(new DatagramPacket(bytes, cluster.peers().get(member)));
        }
    }

    private void logStateChange(int member, MemberState state, long incarnation) {
        if (state == MemberState.DEAD) {
            log.line("proxy " + member + " is considered dead at incarnation " + incarnation);
        } else if (state == MemberState.ALIVE) {
            log.line("proxy " + member + " is alive at incarnation " + incarnation);
        }
    }

    private void receive(DatagramPacket packet) {
        try {
            Message message = codec.decode(ByteBufUtil.getBytes(packet.content()));
            InetSocketAddress expected = cluster.peers().get(message.sender());
            if (expected.equals(packet.sender())) {
                membership.onMessage(clockUs.getAsLong(), message);
            } else {
                drop("source address");
            }
        } catch (MalformedMessageException e) {
            drop(e.getMessage());
        }
    }

    private void drop(String failedCheck) {
        droppedDatagrams++;
        long now = clockUs.getAsLong();
        if (now - lastDropLogUs > DROP_LOG_INTERVAL_US) {
            log.line(droppedDatagrams - droppedAtLastLog + " datagrams dropped; the last one failed the check of its "
                    + failedCheck);
            droppedAtLastLog = droppedDatagrams;
            lastDropLogUs = now;
        }
    }

    private final class Inbound extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            receive(packet);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // For example, a peer's port is closed. The protocol detects that by the missing answers.
        }
    }
}
