package holdproxy.net;

import holdproxy.BadInput;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The socket on which the proxy listens for clients, from its binding until a drain has emptied its accept queue. */
final class ClientListener {
    /** The length of the kernel's accept queue. */
    private static final int ACCEPT_QUEUE_LENGTH = 512;
    /** The time between two attempts to bind the listen address. */
    private static final int BIND_RETRY_MS = 100;

    private final InetSocketAddress listenAddress;
    private final EventLoop loop;
    private final Log log;
    private final Consumer<Channel> connectionSetup;
    /** Null before the proxy listens and once it has stopped. */
    private volatile Channel channel;
    /** The number of connections accepted so far. */
    private long accepted;
    /** The proxy stops listening, or must not begin to. */
    private boolean stopping;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param connectionSetup adds the handlers of an accepted connection
     */
    ClientListener(InetSocketAddress listenAddress, EventLoop loop, Log log, Consumer<Channel> connectionSetup) {
        this.listenAddress = listenAddress;
        this.loop = loop;
        this.log = log;
        this.connectionSetup = connectionSetup;
    }

    /**
     * Binds the listen address, and retries while it is in use. Blocks; not to be called on the event loop. Returns
     * false if the listener was told to stop before it could listen.
     *
     * @param maxRetryUs how long binding is retried, in microseconds
     * @throws BadInput if the address cannot be bound
     * @throws InterruptedException if the calling thread is interrupted
     */
    boolean open(long maxRetryUs) throws InterruptedException {
        long retryUntilNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(maxRetryUs);
        Future<Boolean> listens = bind().await();
        if (listens.cause() instanceof BindException) {
            log.line("address " + NetUtil.toSocketAddressString(listenAddress) + " is in use: retrying for "
                    + maxRetryUs / 1000 + " ms");
        }
        while (listens.cause() instanceof BindException && System.nanoTime() - retryUntilNanos < 0) {
            Thread.sleep(BIND_RETRY_MS);
            listens = bind().await();
        }
        if (!listens.isSuccess()) {
            throw new BadInput("failed to listen on " + listenAddress + ": "
                    + listens.cause().getMessage());
        }
        return listens.getNow();
    }

    /** Tries to bind once. The future is true once the proxy listens, and false if the listener is stopping. */
    private Future<Boolean> bind() {
        Promise<Boolean> listens = loop.newPromise();
        loop.execute(() -> {
            if (stopping) {
                listens.setSuccess(false);
                return;
            }
            bootstrap().bind(listenAddress).addListener((ChannelFutureListener) binding -> {
                if (!binding.isSuccess()) {
                    listens.setFailure(binding.cause());
                } else if (stopping) {
                    binding.channel().close();
                    listens.setSuccess(false);
                } else {
                    channel = binding.channel();
                    listens.setSuccess(true);
                }
            });
        });
        return listens;
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_LENGTH)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(Admission.MAX_ACCEPTS_PER_PASS))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, HeapBuffers.INSTANCE)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ClientSession.receiveBuffers())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        accepted++;
                        connectionSetup.accept(connection);
                    }
                });
    }

    /** The address to which the listener is bound. Must be called only while it listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Whether the socket is bound. */
    boolean isOpen() {
        return channel != null;
    }

    /**
     * Stops listening after a while, once the connections that wait in the accept queue have been accepted. A proxy
     * that does not listen yet does not begin to, and {@code whenStopped} is run at once.
     *
     * @param delayMs how long connections are accepted as before
     * @param whenStopped run on the event loop once the socket is closed
     */
    void stop(long delayMs, Runnable whenStopped) {
        stopping = true;
        if (channel == null) {
            whenStopped.run();
            return;
        }
        // Accepts at most one full accept queue, so that new connections cannot keep the listener open.
        loop.schedule(
                () -> emptyAcceptQueue(accepted + ACCEPT_QUEUE_LENGTH, whenStopped), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Accepts the connections that wait in the accept queue, some in each pass of the event loop, and closes the
     * socket after a pass that found none. Closing it at once would reset the queued connections and close those
     * accepted in the last pass before their requests were read.
     *
     * @param acceptLimit the number of accepted connections at which the socket is closed in any case
     */
    private void emptyAcceptQueue(long acceptLimit, Runnable whenStopped) {
        long acceptedBefore = accepted;
        loop.schedule(
                () -> {
                    // This runs in the next pass at the earliest, after the loop has polled the kernel for new
                    // connections and input.
                    if (accepted == acceptedBefore || accepted >= acceptLimit) {
                        channel.close();
                        channel = null;
                        whenStopped.run();
                    } else {
                        emptyAcceptQueue(acceptLimit, whenStopped);
                    }
                },
                0,
                TimeUnit.MILLISECONDS);
    }
}
