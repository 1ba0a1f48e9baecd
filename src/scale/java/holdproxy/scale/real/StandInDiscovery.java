package holdproxy.scale.real;

import holdproxy.scale.ScaleException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * An implementation of the discovery protocol on loopback: it answers calls for the whole list, and calls for a
 * watch, on which it also sends an empty line every 2 s.
 *
 * <p>Calls and changes share one queue that sends a limited number of list lines per second. A call that would
 * wait too long, or that arrives while too many calls wait, is answered with 503. All state belongs to one event
 * loop; the methods for other threads run their work on it and wait for the result.
 */
final class StandInDiscovery implements AutoCloseable {
    private static final String COMMON_ADDRESS = "127.0.0.1";
    private static final String PATH = "/registry/instances";
    private static final long EMPTY_LINE_INTERVAL_MS = 2000;
    private static final int ACCEPT_BACKLOG = 256;
    private static final int FILL_CONNECT_TIMEOUT_MS = 200;

    /**
     * How the service behaves. UP: it serves. DOWN: it resets and refuses connections. FAILING: it answers calls
     * with 503. RESETTING: it accepts connections and resets them at the call. SILENT: it accepts calls and never
     * answers.
     */
    enum State {
        UP,
        DOWN,
        FAILING,
        RESETTING,
        SILENT
    }

    /**
     * Limits of the service; 0 means no limit.
     *
     * @param linesPerS list lines sent per second
     * @param maxWaitMs longest time in milliseconds for which a call may wait in the queue
     * @param maxWaitingCalls number of calls that may wait in the queue
     */
    record Capacity(double linesPerS, long maxWaitMs, int maxWaitingCalls) {}

    /**
     * Traffic at an endpoint.
     *
     * @param calls HTTP requests received
     * @param bytes payload in both directions, without TCP/IP headers
     * @param lines list lines sent
     * @param failedCalls calls that were rejected
     */
    record Traffic(long calls, long bytes, long lines, long failedCalls) {
        /** The traffic after {@code before} was read. */
        Traffic since(Traffic before) {
            return new Traffic(
                    calls - before.calls, bytes - before.bytes, lines - before.lines, failedCalls - before.failedCalls);
        }

        /** The sum of both. */
        Traffic plus(Traffic other) {
            return new Traffic(
                    calls + other.calls, bytes + other.bytes, lines + other.lines, failedCalls + other.failedCalls);
        }
    }

    private final EventLoop loop;
    private final NodeList list;
    private final Capacity capacity;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private State state = State.UP;
    /** When all lines in the queue will have been sent, according to {@link System#nanoTime()}. */
    private long queueEmptyNs = System.nanoTime();

    /** Number of calls in the queue. */
    private int waitingCalls;

    StandInDiscovery(EventLoop loop, NodeList list, Capacity capacity) {
        this.loop = loop;
        this.list = list;
        this.capacity = capacity;
    }

    /**
     * Opens a further address of the service.
     *
     * @param port port to listen on at 127.0.0.1, or 0 for any free port of a loopback address of its own
     * @param onWritten called on the event loop when a version was written to a connection
     * @throws ScaleException if the port cannot be bound
     */
    Endpoint openEndpoint(int port, BiConsumer<Endpoint, NodeList.Version> onWritten) {
        Endpoint endpoint = new Endpoint(onWritten);
        endpoint.listen(new InetSocketAddress(port == 0 ? ownAddress() : COMMON_ADDRESS, port));
        runOnLoop(() -> endpoints.add(endpoint));
        return endpoint;
    }

    /**
     * Draws a loopback address. The kernel uses another one for outgoing connections, so that none of them takes the
     * port while the service does not listen.
     */
    private static String ownAddress() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(16, 216) + "." + random.nextInt(256) + "." + random.nextInt(1, 255);
    }

    /** The list that this service serves. */
    NodeList list() {
        return list;
    }

    /** Publishes a change and queues it for every open watch. */
    NodeList.Version publish(List<NodeList.Entry> changed) {
        return publish(changed, false);
    }

    /** Publishes a change and queues the whole list for every open watch. */
    NodeList.Version publishWhole(List<NodeList.Entry> changed) {
        return publish(changed, true);
    }

    private NodeList.Version publish(List<NodeList.Entry> changed, boolean whole) {
        return runOnLoop(() -> {
            NodeList.Version version = list.publish(changed);
            if (whole) {
                list.discardChanges();
            }
            endpoints.forEach(d -> List.copyOf(d.connections).forEach(CallerConnection::enqueueChange));
            return version;
        });
    }

    /** Changes the behaviour of the service at all endpoints, and clears the backlog of list lines. */
    void setState(State newState) {
        runOnLoop(() -> {
            State oldState = state;
            state = newState;
            for (Endpoint endpoint : endpoints) {
                if (newState == State.DOWN) {
                    endpoint.server.close();
                    endpoint.resetConnections();
                } else if (oldState == State.SILENT) {
                    endpoint.resetConnections(); // After a restart the machine does not know its old connections.
                }
            }
            queueEmptyNs = System.nanoTime();
            return null;
        });
        if (newState != State.DOWN) {
            endpoints.stream().filter(d -> !d.server.isOpen()).forEach(d -> d.listen(d.address));
        }
    }

    /** Accepts no new connections, and closes the open ones after {@code afterMs}, as a service that is replaced. */
    void retire(long afterMs) {
        runOnLoop(() -> {
            endpoints.forEach(d -> d.server.close());
            loop.schedule(() -> endpoints.forEach(Endpoint::closeConnections), afterMs, TimeUnit.MILLISECONDS);
            return null;
        });
    }

    @Override
    public void close() {
        runOnLoop(() -> {
            endpoints.forEach(d -> {
                d.server.close();
                d.resetConnections();
            });
            return null;
        });
    }

    /** Runs a task on the event loop and waits for its result; must not be called on the event loop. */
    private <T> T runOnLoop(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Adds lines to the queue and returns the time in nanoseconds from now until they will have been sent. */
    private long enqueueLines(int lines) {
        long nowNs = System.nanoTime();
        if (capacity.linesPerS() <= 0) {
            return 0;
        }
        queueEmptyNs = Math.max(nowNs, queueEmptyNs) + (long) (lines * 1e9 / capacity.linesPerS());
        return queueEmptyNs - nowNs;
    }

    /** Whether a call for so many lines would wait longer than permitted. */
    private boolean wouldWaitTooLong(int lines) {
        double queueMs = Math.max(0, queueEmptyNs - System.nanoTime()) / 1e6;
        return capacity.maxWaitMs() > 0
                && capacity.linesPerS() > 0
                && queueMs + lines * 1e3 / capacity.linesPerS() > capacity.maxWaitMs();
    }

    /** One address of the service, with the traffic of its callers and the state of the network to them. */
    final class Endpoint {
        private final BiConsumer<Endpoint, NodeList.Version> onWritten;
        private final Set<CallerConnection> connections = new HashSet<>();
        private final List<Socket> fillerSockets = new ArrayList<>();
        private InetSocketAddress address;
        private volatile Channel server;
        private boolean cutOff;
        private long bytes;
        private long lines;
        private long failedCalls;
        private long calls;
        private final EventSeries callEvents = new EventSeries();
        private final EventSeries lineEvents = new EventSeries();

        Endpoint(BiConsumer<Endpoint, NodeList.Version> onWritten) {
            this.onWritten = onWritten;
        }

        String address() {
            return address.getAddress().getHostAddress() + ":" + address.getPort();
        }

        private void listen(InetSocketAddress listenAddress) {
            ChannelFuture bound = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new ByteCounter(Endpoint.this),
                                            new HttpServerCodec(),
                                            new CallerConnection(Endpoint.this));
                        }
                    })
                    .bind(listenAddress)
                    .awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw new ScaleException(
                        "cannot listen on " + listenAddress.getAddress().getHostAddress() + ":"
                                + listenAddress.getPort() + ": " + bound.cause().getMessage());
            }
            server = bound.channel();
            address = (InetSocketAddress) server.localAddress();
        }

        Traffic traffic() {
            return runOnLoop(() -> new Traffic(calls, bytes, lines, failedCalls));
        }

        /** The calls since {@code fromNs}, as pairs of time and 1. */
        List<long[]> callsSince(long fromNs) {
            return runOnLoop(() -> callEvents.since(fromNs));
        }

        /** The lists sent since {@code fromNs}, as pairs of time and number of lines. */
        List<long[]> linesSince(long fromNs) {
            return runOnLoop(() -> lineEvents.since(fromNs));
        }

        private void countSentLines(NodeList.Payload payload) {
            lines += payload.lines();
            lineEvents.add(payload.lines());
        }

        /** Closes the oldest watch at this endpoint, as if its proxy had ended. */
        void closeOldestWatch() {
            runOnLoop(() -> {
                connections.stream()
                        .filter(c -> c.isWatch && !c.closed)
                        .min((a, b) -> Long.compare(a.openedNs, b.openedNs))
                        .ifPresent(CallerConnection::close);
                return null;
            });
        }

        /** Interrupts the network to the callers: open connections carry no data, and no new ones open. */
        void cutOff() {
            runOnLoop(() -> {
                cutOff = true;
                server.config().setAutoRead(false);
                connections.forEach(c -> c.context.channel().config().setAutoRead(false));
                return null;
            });
            // Fills the accept queue with connections that are never accepted, until connecting times out.
            for (int i = 0; i < 4 * ACCEPT_BACKLOG; i++) {
                Socket socket = new Socket();
                fillerSockets.add(socket);
                try {
                    socket.connect(address, FILL_CONNECT_TIMEOUT_MS);
                } catch (IOException e) {
                    return;
                }
            }
            throw new IllegalStateException("the accept queue did not fill up");
        }

        /** Restores the network to the callers and resets their old connections. */
        void restoreNetwork() throws IOException {
            for (Socket socket : fillerSockets) {
                socket.close();
            }
            fillerSockets.clear();
            runOnLoop(() -> {
                cutOff = false;
                resetConnections();
                server.config().setAutoRead(true);
                return null;
            });
        }

        /** Closes all connections with a TCP reset. */
        private void resetConnections() {
            for (CallerConnection connection : List.copyOf(connections)) {
                connection.context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                connection.close();
            }
        }

        /** Closes all connections. */
        private void closeConnections() {
            List.copyOf(connections).forEach(CallerConnection::close);
        }
    }

    /** Counts the payload of a connection in both directions. */
    private static final class ByteCounter extends ChannelDuplexHandler {
        private final Endpoint endpoint;

        ByteCounter(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            endpoint.bytes += ((ByteBuf) message).readableBytes();
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            endpoint.bytes += ((ByteBuf) message).readableBytes();
            ctx.write(message, promise);
        }
    }

    /** One connection of a proxy, which carries one call. */
    private final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
        private final Endpoint endpoint;
        private final long openedNs = System.nanoTime();
        private ChannelHandlerContext context;
        private Future<?> emptyLineTask;
        private boolean isWatch;
        /** Whether a change for this watch is in the queue. */
        private boolean changeQueued;

        private boolean closed;

        /** Version of the list that this watch was sent last. */
        private long sentVersion;

        CallerConnection(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
            endpoint.connections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            close();
        }

        void close() {
            closed = true;
            endpoint.connections.remove(this);
            if (emptyLineTask != null) {
                emptyLineTask.cancel(false);
            }
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (!(message instanceof HttpRequest call) || endpoint.cutOff || closed) {
                return;
            }
            endpoint.calls++;
            endpoint.callEvents.add(1);
            QueryStringDecoder query = new QueryStringDecoder(call.uri());
            if (!query.path().equals(PATH)) {
                answer(HttpResponseStatus.NOT_FOUND, new byte[0]);
                return;
            }
            boolean requestsWatch = query.parameters().containsKey("stream");
            long index = requestsWatch
                    ? Long.parseLong(query.parameters().get("index").get(0))
                    : 0;
            switch (state) {
                case SILENT -> {}
                case FAILING -> rejectCall();
                case RESETTING, DOWN -> {
                    ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                    close();
                }
                case UP -> enqueueCall(requestsWatch, index);
            }
        }

        /**
         * Queues a call. Rejects it at once if too many calls wait, or after the longest permitted wait if it would
         * wait longer.
         */
        private void enqueueCall(boolean requestsWatch, long index) {
            int lines = requestsWatch
                    ? list.changesSince(index).lines()
                    : list.wholeList().lines();
            if (capacity.maxWaitingCalls() > 0 && waitingCalls >= capacity.maxWaitingCalls()) {
                rejectCall();
            } else if (wouldWaitTooLong(lines)) {
                loop.schedule(this::rejectCall, capacity.maxWaitMs(), TimeUnit.MILLISECONDS);
            } else {
                waitingCalls++;
                loop.schedule(
                        () -> {
                            waitingCalls--;
                            if (requestsWatch) {
                                startWatch(index);
                            } else if (canReachCaller()) {
                                NodeList.Payload whole = list.wholeList();
                                endpoint.countSentLines(whole);
                                answer(HttpResponseStatus.OK, whole.bytes());
                            }
                        },
                        enqueueLines(lines),
                        TimeUnit.NANOSECONDS);
            }
        }

        /** Whether the service and the network are in a state in which an answer reaches the caller. */
        private boolean canReachCaller() {
            return !closed && !endpoint.cutOff && state == State.UP;
        }

        private void rejectCall() {
            endpoint.failedCalls++;
            if (canReachCaller() || state == State.FAILING) {
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            }
        }

        private void answer(HttpResponseStatus status, byte[] body) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        private void startWatch(long index) {
            if (!canReachCaller()) {
                return;
            }
            DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            context.write(response);
            isWatch = true;
            sentVersion = index;
            send(list.changesSince(index));
            emptyLineTask = loop.scheduleAtFixedRate(
                    () -> {
                        if (canReachCaller()) {
                            context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[] {'\n'})));
                        }
                    },
                    EMPTY_LINE_INTERVAL_MS,
                    EMPTY_LINE_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }

        /** Queues a change. What is sent is determined when its turn comes, so that later changes are included. */
        void enqueueChange() {
            if (isWatch && !changeQueued && canReachCaller()) {
                changeQueued = true;
                loop.schedule(
                        () -> {
                            changeQueued = false;
                            if (canReachCaller() && sentVersion != list.latest().number()) {
                                send(list.changesSince(sentVersion));
                            }
                        },
                        enqueueLines(list.changesSince(sentVersion).lines()),
                        TimeUnit.NANOSECONDS);
            }
        }

        private void send(NodeList.Payload payload) {
            endpoint.countSentLines(payload);
            NodeList.Version sent = list.latest();
            sentVersion = sent.number();
            context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(payload.bytes())))
                    .addListener(f -> {
                        if (f.isSuccess()) {
                            endpoint.onWritten.accept(endpoint, sent);
                        }
                    });
        }
    }
}
