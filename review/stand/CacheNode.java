import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache node as PROTOCOL describes it. It begins a command when its last byte has come, answers the commands of a
 * connection in their order, and drops the answers of a connection that has ended.
 */
final class CacheNode {
    /** One command of a proxy. */
    record Command(String line, boolean isWrite, String id, String requestClass, int connection) {}

    /** What the node does with a command: whether it runs it, and what it answers after which time. */
    record Reply(boolean runs, int delayMs, byte[] answer, int secondDelayMs, byte[] second) {
        static Reply serve(Command command, int delayMs, int valueBytes) {
            return new Reply(true, delayMs, served(command, valueBytes), 0, null);
        }

        /** The command is run and gets no answer. */
        static Reply hang() {
            return new Reply(true, 0, null, 0, null);
        }

        static Reply turnAway(int delayMs) {
            return new Reply(false, delayMs, bytes("SERVER_ERROR busy\r\n"), 0, null);
        }

        /** The answer comes a second time, {@code laterMs} after the first. */
        Reply twice(int laterMs) {
            return new Reply(runs, delayMs, answer, laterMs, answer);
        }

        private static byte[] served(Command command, int valueBytes) {
            return bytes(
                    command.isWrite
                            ? "HD " + command.id + " c" + command.id.substring(1) + "\r\n"
                            : "VA " + valueBytes + " " + command.id + " h1\r\n" + "v".repeat(valueBytes) + "\r\n");
        }
    }

    /** Decides what the node does with a command. */
    interface Plan {
        Reply replyTo(Command command);
    }

    private record Due(long atNanos, byte[] answer) {}

    final String name;
    /** How often each request has been run here, by its id. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    /** When each request was begun here for the last time, by its id. */
    final Map<String, Long> begunAtMs = new ConcurrentHashMap<>();

    private final Record record;
    private final ServerSocket listener;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile Plan plan;

    CacheNode(String name, Record record, Plan plan) throws IOException {
        this.name = name;
        this.record = record;
        this.plan = plan;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void setPlan(Plan newPlan) {
        plan = newPlan;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            LinkedBlockingQueue<Due> answers = new LinkedBlockingQueue<>();
            int number = connections.incrementAndGet();
            Threads.start(() -> read(socket, number, answers));
            Threads.start(() -> write(socket, answers));
        }
    }

    private void read(Socket socket, int connection, LinkedBlockingQueue<Due> answers) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            for (String line = Lines.read(in); line != null; line = Lines.read(in)) {
                String[] tokens = line.split(" ");
                if (tokens[0].equals("ms")) {
                    in.readNBytes(Integer.parseInt(tokens[2]) + 2);
                }
                begin(line, tokens, connection, answers);
            }
        } finally {
            answers.add(new Due(0, null));
            record.line(name, "connection " + connection + " ended");
        }
    }

    private void begin(String line, String[] tokens, int connection, LinkedBlockingQueue<Due> answers) {
        if (tokens[0].equals("mn")) {
            answers.add(new Due(System.nanoTime(), bytes("MN\r\n")));
            return;
        }
        if (!tokens[0].equals("mg") && !tokens[0].equals("ms")) {
            answers.add(new Due(System.nanoTime(), bytes("ERROR\r\n")));
            return;
        }
        String id = Lines.flag(tokens, 'O');
        String fields = Lines.flag(tokens, 'P');
        Command command =
                new Command(line, tokens[0].equals("ms"), id, fields.replaceAll(".*c=([^,]*).*", "$1"), connection);
        Reply reply = plan.replyTo(command);
        record.line(name, "connection " + connection + (reply.runs ? " runs " : " turns away ") + line);
        begunAtMs.put(id, record.now());
        if (reply.runs) {
            runs.merge(id, 1, Integer::sum);
        }
        long at = System.nanoTime() + reply.delayMs * 1_000_000L;
        if (reply.answer != null) {
            answers.add(new Due(at, reply.answer));
        } else {
            answers.add(new Due(Long.MAX_VALUE, null));
        }
        if (reply.second != null) {
            answers.add(new Due(at + reply.secondDelayMs * 1_000_000L, reply.second));
        }
    }

    private void write(Socket socket, LinkedBlockingQueue<Due> answers) throws Exception {
        OutputStream out = socket.getOutputStream();
        while (!socket.isClosed()) {
            Due due = answers.take();
            if (due.answer == null) {
                return; // the connection has ended, or a command hangs: nothing behind it is answered
            }
            long waitNanos = due.atNanos - System.nanoTime();
            if (waitNanos > 0) {
                Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
            }
            int lineLength = 0;
            while (due.answer[lineLength] != '\r') {
                lineLength++;
            }
            if (!socket.isClosed()) {
                out.write(due.answer);
                record.line(name, "answers " + new String(due.answer, 0, lineLength, StandardCharsets.ISO_8859_1));
            }
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
