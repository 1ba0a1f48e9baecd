import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** One connection of a client. Answers come in the order of its commands; the client reads them at once. */
final class Client {
    /** A request and what became of it. */
    static final class Request {
        final String id;
        final long sentAtMs;
        /** The first line of the answer, or null. */
        volatile String answer;
        volatile long answeredAtMs;
        /** Whether the connection ended before the answer. */
        volatile boolean cutOff;

        Request(String id, long sentAtMs) {
            this.id = id;
            this.sentAtMs = sentAtMs;
        }
    }

    final String name;
    final List<Request> requests = new ArrayList<>();

    private final Record record;
    private final Socket socket = new Socket();
    private final ArrayDeque<Request> open = new ArrayDeque<>();
    private volatile boolean ended;

    Client(String name, Record record, int port) throws IOException {
        this.name = name;
        this.record = record;
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        socket.setTcpNoDelay(true);
        Threads.start(this::readAnswers);
    }

    /** Whether the proxy has ended the connection. */
    boolean hasEnded() {
        return ended;
    }

    /** Writes commands at once; each has an id and the text with it. A command on an ended connection is not sent. */
    void send(List<String> ids, List<String> commands) throws IOException {
        StringBuilder text = new StringBuilder();
        synchronized (open) {
            if (ended) {
                return;
            }
            for (int i = 0; i < ids.size(); i++) {
                Request request = new Request(ids.get(i), record.now());
                open.add(request);
                requests.add(request);
                text.append(commands.get(i));
            }
        }
        for (int i = 0; i < ids.size(); i++) {
            record.line(name, "sends " + commands.get(i).split("\r\n")[0]);
        }
        socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    Request send(String id, String command) throws IOException {
        send(List.of(id), List.of(command));
        return requests.get(requests.size() - 1);
    }

    static String read(String key, String id, String requestClass, int waitMs) {
        return "mg " + key + " v " + id + " Pc=" + requestClass + ",t=voci-padane,d=" + waitMs + "\r\n";
    }

    static String write(String key, String id, String requestClass, int waitMs) {
        return "ms " + key + " 5 " + id + " Pc=" + requestClass + ",t=voci-padane,d=" + waitMs + "\r\nhello\r\n";
    }

    int openCount() {
        synchronized (open) {
            return open.size();
        }
    }

    void close() throws IOException {
        socket.close();
    }

    private void readAnswers() throws IOException {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            for (String line = Lines.read(in); line != null; line = Lines.read(in)) {
                String[] tokens = line.split(" ");
                boolean whole = true;
                if (tokens[0].equals("VA")) {
                    int length = Integer.parseInt(tokens[1]) + 2;
                    whole = in.readNBytes(length).length == length;
                }
                if (whole) {
                    take(line);
                }
            }
        } finally {
            end();
        }
    }

    private void take(String line) {
        Request request;
        synchronized (open) {
            request = open.poll();
        }
        if (request == null) {
            record.line(name, "gets an answer to nothing: " + line);
            return;
        }
        request.answer = line;
        request.answeredAtMs = record.now();
        record.line(name, "gets for " + request.id + ": " + line);
    }

    private void end() {
        synchronized (open) {
            ended = true;
            for (Request request : open) {
                request.cutOff = true;
            }
        }
        record.line(name, "connection ended by the proxy with " + open.size() + " requests unanswered");
    }
}
