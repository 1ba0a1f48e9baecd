package stand2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery: lists and watches over HTTP, with an empty line every 2 s on a watch as long as nothing changes. */
final class Registry implements AutoCloseable {
    private static final long EMPTY_LINE_MS = 2000;

    /** An entry of the list. */
    record Entry(String id, String address, String state, long startedMs) {
        String json() {
            return "{\"id\":\"" + id + "\",\"addr\":\"" + address
                    + "\",\"zone\":\"milano-nord\",\"kind\":\"tipo-a\",\"cell\":1,\"state\":\"" + state
                    + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
        }
    }

    final InetSocketAddress address;
    private final String name;
    private final Recorder recorder;
    private final ServerSocket listener;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Set<Watch> watches = ConcurrentHashMap.newKeySet();
    private long version = 41;
    /** How long a call waits before its turn comes, in milliseconds. */
    volatile double turnMs;

    Registry(String name, Recorder recorder) throws IOException {
        this.name = name;
        this.recorder = recorder;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        address = (InetSocketAddress) listener.getLocalSocketAddress();
        Threads.start(name, this::accept);
    }

    /** Sets an entry without telling anybody. */
    synchronized void put(String id, InetSocketAddress at, String state) {
        entries.put(id, new Entry(id, text(at), state, 0));
        version++;
    }

    /** Sets an entry and writes the change to the watches. */
    synchronized void change(String id, InetSocketAddress at, String state) throws IOException {
        put(id, at, state);
        String line = list(false, List.of(entries.get(id)));
        recorder.line("%s: %s is now %s, version %d", name, id, state, version);
        for (Watch watch : watches) {
            watch.write(line + "\n");
        }
    }

    /** The open watches say nothing more; their connections stay open. */
    synchronized void silenceWatches() {
        watches.forEach(watch -> watch.silent = true);
        recorder.line("%s: %d open watches fall silent", name, watches.size());
    }

    /** Writes an empty line to the open watches now, as the periodic one. */
    synchronized void emptyLine() throws IOException {
        for (Watch watch : watches) {
            watch.write("\n");
        }
    }

    /** Takes no more connections and closes the open ones after a while, as after a reconfiguration. */
    void retire(long closeAfterMs) throws IOException {
        listener.close();
        Threads.start(name + " retires", () -> {
            Threads.sleep(closeAfterMs);
            close();
        });
    }

    synchronized String fullList() {
        return list(true, entries.values());
    }

    private String list(boolean full, Collection<Entry> of) {
        String servers = String.join(",", of.stream().map(Entry::json).toList());
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + servers + "]}";
    }

    static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Threads.start(name + " call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            Lines lines = new Lines(new BufferedInputStream(socket.getInputStream()));
            String request = lines.line();
            for (String header = request; header != null && !header.isEmpty(); ) {
                header = lines.line();
            }
            if (request == null) {
                return;
            }
            recorder.line("%s: call %s", name, request);
            Threads.sleep(turnMs);
            answer(request, socket, lines);
        }
    }

    private void answer(String request, Socket socket, Lines lines) throws IOException {
        if (!request.contains("stream=1")) {
            String body = fullList();
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                                    + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            return;
        }
        Watch watch = new Watch(socket);
        try {
            open(watch);
            Threads.start(name + " watch", watch::keepAlive);
            while (lines.line() != null) {
                // A watch lasts until its connection ends.
            }
        } finally {
            watches.remove(watch);
            recorder.line("%s: a call or watch has ended", name);
        }
    }

    private synchronized void open(Watch watch) throws IOException {
        watch.raw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.write(fullList() + "\n");
        watches.add(watch);
        recorder.line("%s: the whole list is written to a watch, version %d", name, version);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Watch watch : watches) {
            watch.socket.close();
        }
    }

    private final class Watch {
        final Socket socket;
        volatile boolean silent;

        Watch(Socket socket) {
            this.socket = socket;
        }

        synchronized void raw(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        void write(String text) throws IOException {
            if (!silent) {
                raw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
        }

        void keepAlive() throws IOException, InterruptedException {
            while (!socket.isClosed()) {
                Thread.sleep(EMPTY_LINE_MS);
                write("\n");
            }
        }
    }
}
