import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Discovery as PROTOCOL describes it, with a list that stays as it is: a fetch, and a watch with an empty line every 2 s. */
final class Discovery {
    private final Record record;
    private final String list;
    private final ServerSocket listener;

    Discovery(Record record, List<CacheNode> nodes) throws IOException {
        this.record = record;
        list = listOf(nodes);
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    /** The complete list in the form of discovery. */
    static String listOf(List<CacheNode> nodes) {
        StringBuilder servers = new StringBuilder();
        for (CacheNode node : nodes) {
            servers.append(servers.length() == 0 ? "" : ",")
                    .append(String.format(
                            "{\"id\":\"s-%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"milano-nord\",\"kind\":\"tipo-a\","
                                    + "\"cell\":1,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}",
                            node.name, node.port()));
        }
        return "{\"version\":41,\"full\":true,\"servers\":[" + servers + "]}";
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String request = Lines.read(in);
            for (String header = request; header != null && !header.isEmpty(); header = Lines.read(in)) {
                // reads the request to its end
            }
            record.line("discovery", "is asked " + request);
            OutputStream out = socket.getOutputStream();
            boolean isWatch = request != null && request.contains("stream=1");
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + (isWatch ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + list.length() + "\r\n\r\n")));
            out.write(isWatch ? chunk(list + "\n") : bytes(list));
            while (isWatch) {
                Thread.sleep(2000);
                out.write(chunk("\n"));
            }
        }
    }

    private static byte[] chunk(String text) {
        return bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
