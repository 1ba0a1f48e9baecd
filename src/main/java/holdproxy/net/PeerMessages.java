package holdproxy.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Datagrams between the tier's proxies, on one socket. Who sent one is told by its source address; what comes
 * from elsewhere or is too long is dropped. A message that cannot go out at once is lost.
 */
final class PeerMessages {
    static final int LONGEST = 256;
    /** A proxy that ends while this one starts holds the address for a few seconds more. */
    private static final int BIND_TRIES = 30;
    private static final long BIND_AGAIN_MS = 1000;

    interface Receiver {
        void told(int router, byte[] data);
    }

    private final Config config;
    private final EventLoop loop;
    private final Log log;
    private final Receiver receiver;
    private final Map<InetSocketAddress, Integer> senders = new HashMap<>();
    private Channel channel;
    private int tries;
    private long received;
    private long dropped;

    PeerMessages(Config config, EventLoop loop, Log log, Receiver receiver) {
        this.config = config;
        this.loop = loop;
        this.log = log;
        this.receiver = receiver;
        for (int i = 0; i < config.peers.size(); i++) {
            senders.put(config.peers.get(i), i);
        }
        senders.remove(own());
    }

    private InetSocketAddress own() {
        int index = config.settings.index;
        return index < config.peers.size() ? config.peers.get(index) : null;
    }

    /** Opens the socket where the configuration and the settings provide for it; on the event loop. */
    void start() {
        if (config.peerListen == null || !config.settings.mayTell) {
            return;
        }
        ChannelFuture bound = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LONGEST + 1))
            .handler(new Incoming())
            .bind(config.peerListen);
        bound.addListener(f -> bound(bound));
    }

    private void bound(ChannelFuture bound) {
        if (bound.isSuccess()) {
            channel = bound.channel();
            return;
        }
        if (tries == 0) {
            log.line("no messages between proxies: cannot listen on " + config.peerListen + ": "
                + bound.cause().getMessage());
        }
        if (++tries < BIND_TRIES) {
            loop.schedule(this::start, BIND_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** To another proxy by its number. */
    void tell(int router, byte[] data) {
        if (router >= 0 && router < config.peers.size() && router != config.settings.index) {
            send(config.peers.get(router), data);
        }
    }

    /** To all others: by the address that reaches every proxy, else to each. */
    void tellAll(byte[] data) {
        if (config.peersAll != null) {
            send(config.peersAll, data);
            return;
        }
        for (int i = 0; i < config.peers.size(); i++) {
            tell(i, data);
        }
    }

    private void send(InetSocketAddress to, byte[] data) {
        if (channel != null && channel.isWritable() && data.length <= LONGEST) {
            DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(data), to);
            channel.writeAndFlush(packet, channel.voidPromise());
        }
    }

    /** Null until it is open. */
    InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    /** Datagrams from other proxies, passed on. */
    long received() {
        return received;
    }

    /** Datagrams that were too long or came from no other proxy. */
    long dropped() {
        return dropped;
    }

    private final class Incoming extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer from = senders.get(packet.sender());
            if (from == null || packet.content().readableBytes() > LONGEST) {
                dropped++;
                return;
            }
            received++;
            receiver.told(from, ByteBufUtil.getBytes(packet.content()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // a datagram that could not be sent or read is lost; the socket stays
        }
    }
}
