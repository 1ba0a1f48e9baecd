import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Peers that send no proper request connect, and send much at once. Every client's request must get its answer in time. */
final class BadPeers {
    private static final int NODES = 8;
    private static final int CLIENTS = 8;
    private static final int WORK_MS = 70;
    private static final int WAIT_MS = 800;
    /** Up to half a second after its time an answer only earns nothing; every limit is 50 ms longer on sockets. */
    private static final int LATEST_MS = WAIT_MS + 500 + 50;

    private static final int[] WAVES_AT_MS = {2000, 8000};
    private static final int PEERS = 40;
    private static final int PEER_BYTES = 1 << 20;

    private final Site site;
    private final List<Client> clients = new ArrayList<>();
    private final Client[] current = new Client[CLIENTS];
    private int nextId;

    private BadPeers(String recordFile) throws Exception {
        site = new Site(recordFile, NODES, command -> CacheNode.Reply.serve(command, WORK_MS, 100));
    }

    public static void main(String[] args) {
        Site.run(() -> new BadPeers(args[0]).play());
    }

    private void play() throws Exception {
        int wave = 0;
        long start = site.record.now();
        while (site.record.now() < start + 14_000) {
            if (site.trouble && wave < WAVES_AT_MS.length && site.record.now() >= start + WAVES_AT_MS[wave]) {
                wave++;
                connectPeers(wave);
            }
            for (int i = 0; i < CLIENTS; i++) {
                sendNext(i);
            }
            Thread.sleep(20);
        }
        Thread.sleep(LATEST_MS + 8000);
        judge();
    }

    /** Sends the client's next request once it has the answer to the one before. */
    private void sendNext(int number) throws Exception {
        if (current[number] == null || current[number].hasEnded()) {
            current[number] = new Client("client" + number, site.record, site.proxy.port);
            clients.add(current[number]);
        }
        if (current[number].openCount() == 0) {
            String id = "Or" + nextId++;
            current[number].send(id, Client.read(Integer.toHexString(nextId * 7919), id, "feed", WAIT_MS));
        }
    }

    private void connectPeers(int wave) {
        site.record.line("peers", PEERS + " connect, and each sends " + PEER_BYTES + " bytes of lines 'hello'");
        byte[] lines = "hello\r\n".repeat(PEER_BYTES / 7).getBytes();
        for (int i = 0; i < PEERS; i++) {
            String name = "peer" + wave + "." + i;
            Threads.start(() -> sendLines(name, lines));
        }
    }

    /** Sends the lines and waits until the proxy closes the connection. */
    private void sendLines(String name, byte[] lines) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", site.proxy.port), 10_000);
            long connectedAt = site.record.now();
            Threads.start(() -> awaitError(name, socket, connectedAt));
            socket.getOutputStream().write(lines);
            Thread.sleep(10_000);
        }
    }

    private void awaitError(String name, Socket socket, long connectedAt) throws Exception {
        InputStream in = socket.getInputStream();
        String first;
        try {
            first = Lines.read(in);
        } catch (java.io.IOException e) {
            first = "a reset";
        }
        site.record.line(name, "gets " + first + " after " + (site.record.now() - connectedAt) + " ms");
        while (in.read() >= 0) {
            // reads until the proxy closes the connection
        }
    }

    private void judge() {
        int sent = 0;
        int lost = 0;
        long slowest = 0;
        for (Client client : clients) {
            for (Client.Request request : client.requests) {
                sent++;
                long tookMs = request.answer == null ? -1 : request.answeredAtMs - request.sentAtMs;
                slowest = Math.max(slowest, tookMs);
                if (request.answer == null || tookMs > LATEST_MS) {
                    lost++;
                    site.record.line("case", "lost: " + request.id + ", sent at " + request.sentAtMs + ", "
                            + (request.answer == null ? "never answered" : "answered after " + tookMs + " ms"));
                }
            }
        }
        site.finish(
                lost > 0,
                sent + " requests sent by clients, " + lost + " lost; the slowest answer took " + slowest + " ms");
    }
}
