package holdproxy.scale.real;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The stand-in of the discovery service. */
class StandInDiscoveryTest {
    /**
     * Guards against an outage that cannot end: while the service did not listen, the kernel gave its port to the
     * connection of another process, since all used the same address.
     */
    @Test
    void portIsNotTakenByOtherSocketsOfTheCommonAddress() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            StandInDiscovery service =
                    new StandInDiscovery(loops.next(), new NodeList(1), new StandInDiscovery.Capacity(0, 0, 0));
            String address = service.openEndpoint(0, (endpoint, version) -> {}).address();
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            try (ServerSocket other = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                assertEquals(port, other.getLocalPort());
            }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
