package holdproxy.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens outgoing connections. */
final class Connector {
    private Connector() {}

    /**
     * Connects and passes the completed future to {@code done} on the event loop. If no socket could be created,
     * Netty notifies listeners on a thread of its own, so the call of {@code done} is handed over to the loop.
     */
    static void connect(InetSocketAddress address, Bootstrap bootstrap, EventLoop loop, Consumer<ChannelFuture> done) {
        bootstrap.connect(address).addListener((ChannelFutureListener) connecting -> {
            if (loop.inEventLoop()) {
                done.accept(connecting);
            } else {
                loop.execute(() -> done.accept(connecting));
            }
        });
    }
}
