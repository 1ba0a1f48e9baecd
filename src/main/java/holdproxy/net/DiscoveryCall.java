package holdproxy.net;

import holdproxy.BadInput;
import holdproxy.DiscoveryTiming;
import holdproxy.Router;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One HTTP request to the discovery service: a watch, whose response is an endless stream of lists, or the fetch of one
 * list. All methods are called on the event loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAX_LIST_BYTES = 1 << 20;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    /** How long a fetch may take: the longest wait for its turn, and the transfer of the list. */
    private static final long FETCH_TIMEOUT_US = DiscoveryTiming.MAX_CALL_WAIT_US + 200_000;
    /** Is told what a call brings. */
    interface Listener {
        /**
         * A complete list has arrived.
         *
         * @throws BadInput if the list cannot be used, which ends the call as failed
         */
        void onList(DiscoveryCall call, Map<String, Object> list);

        /** A watch is open, and nothing has changed. Returns whether that counts as its first list. */
        boolean onOpenWithoutChanges(DiscoveryCall call);

        /** The service has been silent on a watch for so many microseconds. The call stays open, and may go on. */
        void onSilent(DiscoveryCall call, long silenceUs);

        /** The call has ended by itself. A fetch that has delivered its list is not reported. */
        void onEnded(DiscoveryCall call, String reason, Router.NodeListEvent kind);
    }

    /** Whether this is a watch. */
    final boolean isWatch;

    private final EventLoop loop;
    private final Listener listener;
    private final ListDecoder listDecoder = new ListDecoder();
    private Channel channel;
    /** The timer that reports that the service has been silent for too long. */
    private Future<?> silenceTimer;
    /** Whether the service has been silent for too long. */
    private boolean silent;
    /** Whether the call has delivered a list, or the news that the watch is open without changes. */
    private boolean delivered;
    /** Whether the call has ended. */
    private boolean ended;

    /**
     * Calls the service.
     *
     * @param path the path and query of the request
     */
    DiscoveryCall(EventLoop loop, InetSocketAddress serviceAddress, String path, boolean isWatch, Listener listener) {
        this.loop = loop;
        this.isWatch = isWatch;
        this.listener = listener;
        restartSilenceTimer(isWatch ? DiscoveryTiming.CALL_SILENCE_US : FETCH_TIMEOUT_US);
        Connector.connect(serviceAddress, bootstrap(), loop, connecting -> {
            if (connecting.isSuccess()) {
                DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                get.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(serviceAddress));
                connecting.channel().writeAndFlush(get);
            } else {
                fail("cannot connect");
            }
        });
    }

    private Bootstrap bootstrap() {
        DiscoveryCall call = this;
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, HeapBuffers.INSTANCE)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        channel = opened;
                        opened.pipeline().addLast(new HttpClientCodec(), call, listDecoder, new ListHandler(call));
                    }
                });
    }

    /**
     * Ends a silence and restarts its timer. Only the start of a list, a complete list or an empty line between lists
     * ends the silence. If any byte did, a list that never ends would keep a dead watch in use.
     */
    private void restartSilenceTimer(long silenceUs) {
        silent = false;
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        silenceTimer = loop.schedule(() -> onSilence(silenceUs), silenceUs, TimeUnit.MICROSECONDS);
    }

    private void onSilence(long silenceUs) {
        if (isWatch) {
            silent = true;
            listener.onSilent(this, silenceUs);
        } else {
            end("no complete list within " + silenceUs / 1000 + " ms", Router.NodeListEvent.SILENT);
        }
    }

    /** Whether the service has been silent for too long, and still is. */
    boolean isSilent() {
        return silent;
    }

    /** Ends the call; its end is not reported. */
    void end() {
        ended = true;
        silenceTimer.cancel(false);
        if (channel != null) {
            channel.close();
        }
    }

    private void fail(String reason) {
        end(reason, Router.NodeListEvent.FAILED);
    }

    /** Ends the call and reports it. */
    private void end(String reason, Router.NodeListEvent kind) {
        if (ended) {
            return;
        }
        end();
        if (isWatch || !delivered) {
            listener.onEnded(this, reason, kind);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (ended) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("the response is not valid HTTP");
            return;
        }
        if (message instanceof HttpResponse response && response.status().code() != 200) {
            fail("HTTP status " + response.status().code());
            return;
        }
        if (message instanceof HttpContent content) {
            onContent(ctx, content.content());
            if (content instanceof LastHttpContent && !ended) {
                onLastContent();
            }
        }
    }

    private void onLastContent() {
        if (isWatch) {
            fail("the service ended the watch");
        } else if (delivered) {
            end();
        } else {
            fail("the response contains no list");
        }
    }

    /**
     * Passes a part of the body to the list decoder. On a watch, a line end between lists and the start of a list
     * restart the silence timer. An empty line as the first content of a watch means that nothing has changed.
     */
    private void onContent(ChannelHandlerContext ctx, ByteBuf bytes) {
        boolean containsLineEnd = bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) '\n') >= 0;
        boolean wasBetweenLists = !listDecoder.hasPartialList();
        ctx.fireChannelRead(bytes.retain());
        if (ended || !isWatch) {
            return;
        }
        boolean isBetweenLists = !listDecoder.hasPartialList();
        boolean hasEmptyLine = containsLineEnd && isBetweenLists;
        if (hasEmptyLine || wasBetweenLists && !isBetweenLists) {
            restartSilenceTimer(DiscoveryTiming.WATCH_SILENCE_US);
        }
        if (hasEmptyLine && !delivered) {
            delivered = listener.onOpenWithoutChanges(this);
        }
    }

    /** Delivers a complete list. A list that cannot be used fails the call. */
    private void onList(String text) {
        if (ended) {
            return;
        }
        Map<String, Object> list = Config.parseObject(text);
        try {
            if (list == null) {
                throw new BadInput("not JSON: " + Config.printable(text));
            }
            listener.onList(this, list);
        } catch (BadInput e) {
            fail("list rejected: " + e.getMessage());
            return;
        }
        delivered = true;
        if (isWatch && !ended) {
            restartSilenceTimer(DiscoveryTiming.WATCH_SILENCE_US);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(cause.getClass().getSimpleName());
    }

    /** Splits the response body into lists. Each list is a JSON object, which may span several lines. */
    private static final class ListDecoder extends JsonObjectDecoder {
        ListDecoder() {
            super(MAX_LIST_BYTES);
        }

        /** Returns whether a list was received in part. */
        boolean hasPartialList() {
            return actualReadableBytes() > 0;
        }
    }

    /** Passes each complete list to its call. */
    private static final class ListHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final DiscoveryCall call;

        ListHandler(DiscoveryCall call) {
            this.call = call;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf list) {
            call.onList(list.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            call.fail("list rejected: not JSON, or too long");
        }
    }
}
