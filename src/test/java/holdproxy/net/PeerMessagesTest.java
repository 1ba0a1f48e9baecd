package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdproxy.BadInput;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Datagrams between proxies on real sockets; the test is the network between them, with their outer addresses. */
class PeerMessagesTest {
    private static final String TELLING = Fixture.SETTINGS.replace("\"balancers\":1", "\"balancers\":3")
        .replace("\"peers\":false", "\"peers\":true").replace("\"tenants\":[",
            "\"tenants\":[{\"name\":\"emca\",\"quotaPerS\":20.0,\"share\":1.0},");

    @TempDir
    Path folder;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final DatagramSocket[] outer = new DatagramSocket[3];
    private final DatagramSocket stranger = socket();
    private final BlockingQueue<String> got = new LinkedBlockingQueue<>();

    PeerMessagesTest() throws IOException {
        for (int i = 0; i < outer.length; i++) {
            outer[i] = socket();
        }
    }

    private static DatagramSocket socket() throws IOException {
        DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        s.setSoTimeout(20_000);
        return s;
    }

    @AfterEach
    void close() {
        for (DatagramSocket s : outer) {
            s.close();
        }
        stranger.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String address(DatagramSocket s) {
        return "127.0.0.1:" + s.getLocalPort();
    }

    private Config config(int index, String more, String settings) throws IOException {
        StringBuilder peers = new StringBuilder();
        for (DatagramSocket s : outer) {
            peers.append(peers.length() > 0 ? "," : "").append('"').append(address(s)).append('"');
        }
        String json = Fixture.json(Fixture.list(1, true), settings.replace("\"index\":0", "\"index\":" + index), 1024)
            .replace("\"known\":", "\"peers\":[" + peers + "]," + more + "\"known\":");
        Path file = folder.resolve("config" + index + ".json");
        Files.writeString(file, json);
        Map<String, String> env = new HashMap<>(Fixture.env(file, "127.0.0.1:1"));
        return Config.load(env);
    }

    private <T> T on(Callable<T> call) throws Exception {
        return loop.submit(call).get(20, TimeUnit.SECONDS);
    }

    private PeerMessages started(int index, String more, String settings) throws Exception {
        PeerMessages m = new PeerMessages(config(index, more, settings), loop, new Log(),
            (router, data) -> got.add(router + " " + Arrays.toString(data)));
        on(() -> {
            m.start();
            return null;
        });
        return m;
    }

    /** Binding is done by the loop, in tasks of its own. */
    private InetSocketAddress opened(PeerMessages m) throws Exception {
        InetSocketAddress a = on(m::address);
        while (a == null) {
            a = on(m::address);
        }
        return a;
    }

    private static void send(DatagramSocket from, InetSocketAddress to, byte[] data) throws IOException {
        from.send(new DatagramPacket(data, data.length, InetAddress.getLoopbackAddress(), to.getPort()));
    }

    private static byte[] receive(DatagramSocket at) throws IOException {
        DatagramPacket p = new DatagramPacket(new byte[2000], 2000);
        at.receive(p);
        return Arrays.copyOf(p.getData(), p.getLength());
    }

    private static final String LISTEN = "\"peer_listen\":\"127.0.0.1:0\",";

    @Test
    void itsSenderIsKnownByItsAddressAndStrangersAndLongOnesAreDropped() throws Exception {
        PeerMessages m = started(0, LISTEN, TELLING);
        InetSocketAddress here = opened(m);
        send(stranger, here, new byte[] {1});
        send(outer[0], here, new byte[] {2}); // from itself
        send(outer[2], here, new byte[257]);
        send(outer[2], here, new byte[1500]);
        send(outer[2], here, new byte[256]);
        send(outer[1], here, new byte[] {7, 8});
        assertEquals("2 " + Arrays.toString(new byte[256]), got.poll(20, TimeUnit.SECONDS));
        assertEquals("1 [7, 8]", got.poll(20, TimeUnit.SECONDS));
        assertEquals(2L, on(m::received));
        assertEquals(4L, on(m::dropped));
    }

    @Test
    void itTellsEachOtherProxyOrTheAddressThatReachesAll() throws Exception {
        PeerMessages m = started(1, LISTEN, TELLING);
        opened(m);
        on(() -> {
            m.tellAll(new byte[] {1});
            m.tell(1, new byte[] {2}); // itself
            m.tell(2, new byte[] {3});
            m.tell(-1, new byte[] {4});
            m.tell(3, new byte[] {4});
            m.tell(0, new byte[257]);
            m.tell(0, new byte[] {5});
            return null;
        });
        assertArrayEquals(new byte[] {1}, receive(outer[0]));
        assertArrayEquals(new byte[] {5}, receive(outer[0]));
        assertArrayEquals(new byte[] {1}, receive(outer[2]));
        assertArrayEquals(new byte[] {3}, receive(outer[2]));
        PeerMessages all = started(2, LISTEN + "\"peers_all\":\"" + address(stranger) + "\",", TELLING);
        opened(all);
        on(() -> {
            all.tellAll(new byte[] {6});
            all.tell(0, new byte[] {7});
            return null;
        });
        assertArrayEquals(new byte[] {6}, receive(stranger));
        assertArrayEquals(new byte[] {7}, receive(outer[0]));
        outer[1].setSoTimeout(1);
        assertThrows(SocketTimeoutException.class, () -> receive(outer[1]));
    }

    @Test
    void twoProxiesTellEachOtherAndAForeignDatagramChangesNothing() throws Exception {
        Proxy a = Proxy.start(config(0, LISTEN, TELLING), loop);
        Proxy b = Proxy.start(config(1, LISTEN, TELLING), loop);
        byte[] fromA = receive(outer[1]);
        byte[] fromB = receive(outer[0]);
        assertTrue(fromA.length <= 256 && fromA[0] == 1 && fromB[0] == 1, "a message of the first version");
        send(stranger, opened(b.peers), fromA);
        send(outer[0], opened(b.peers), fromA);
        send(outer[1], opened(a.peers), fromB);
        while (on(b.peers::received) + on(a.peers::received) < 2) {
            Thread.onSpinWait();
        }
        assertEquals(1L, on(b.peers::dropped));
        assertEquals(1L, on(b.peers::received));
        assertEquals(1L, on(a.peers::received));
    }

    @Test
    void withoutAnAddressOrWhereForbiddenThereIsNoSocketAndNothingIsSaid() throws Exception {
        PeerMessages none = started(0, "", TELLING);
        PeerMessages forbidden = started(0, LISTEN, Fixture.SETTINGS);
        on(() -> {
            none.tellAll(new byte[] {1});
            forbidden.tellAll(new byte[] {1});
            return null;
        });
        assertNull(on(none::address));
        assertNull(on(forbidden::address));
    }

    @Test
    void aPortThatIsTakenIsOneLineAndTheProxyServesOnAndTakesItOnceItIsFree() throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        Log log = new Log() {
            @Override
            synchronized void line(String text) {
                lines.add(text);
            }
        };
        String listen = "\"peer_listen\":\"" + address(stranger) + "\",";
        PeerMessages m = new PeerMessages(config(0, listen, TELLING), loop, log, (router, data) -> { });
        on(() -> {
            m.start();
            return null;
        });
        String line = lines.poll(20, TimeUnit.SECONDS);
        assertTrue(line.startsWith("no messages between proxies: cannot listen on"), line);
        try (Peer client = Peer.to(Proxy.start(config(1, listen, TELLING), loop).address())) {
            client.send("mn\r\n");
            assertEquals("MN", client.line());
        }
        stranger.close();
        opened(m);
        assertTrue(lines.isEmpty(), "one line only: " + lines);
    }

    @Test
    void malformedAddressesEndTheStartWithOneLine() throws Exception {
        for (String bad : new String[] {"\"peer_listen\":\"here\",", "\"peer_listen\":7946,", "\"peer_listen\":{},",
            "\"peers_all\":\"10.0.0.1:70000\",", "\"peers\":\"10.0.0.1:1\",", "\"peers\":[7],",
            "\"peers\":[\"a:1\"],", "\"peers\":[null],"}) {
            String json = Fixture.json(Fixture.list(1, true), TELLING, 1024).replace("\"known\":", bad + "\"known\":");
            Path file = folder.resolve("bad.json");
            Files.writeString(file, json);
            String message = assertThrows(BadInput.class,
                () -> Config.load(Fixture.env(file, "127.0.0.1:1")), bad).getMessage();
            assertTrue(!message.contains("\n") && message.contains(bad.substring(1, 6)), message);
        }
        Path file = folder.resolve("none.json");
        Files.writeString(file, Fixture.json(Fixture.list(1, true), TELLING, 1024)
            .replace("\"known\":", "\"peer_listen\":null,\"peers\":null,\"known\":"));
        Config none = Config.load(Fixture.env(file, "127.0.0.1:1"));
        assertNull(none.peerListen);
        assertTrue(none.peers.isEmpty());
    }
}
