package stand2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A cache node. It begins a command when its last byte has come, and answers the commands of a connection in their
 * order. What it answers is the decision of its {@link Service}.
 */
final class CacheNode implements AutoCloseable {
    /** What the node does with its commands. */
    interface Service {
        /** A command's last byte has come; called on the thread that reads the connection. */
        default void begin(Command command, Connection connection) {}

        /** Answers the command; called once those before it on the connection are answered. */
        void answer(Command command, Connection connection) throws Exception;
    }

    /** One connection of a proxy. */
    final class Connection {
        final Socket socket;
        final CacheNode node = CacheNode.this;
        /** Whether the proxy has closed it or ended its sending. */
        volatile boolean ended;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void write(String text) throws IOException {
            synchronized (this) {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            }
        }
    }

    final String id;
    final InetSocketAddress address;
    private final ServerSocket listener;
    private final Service service;
    final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    CacheNode(String id, Service service) throws IOException {
        this.id = id;
        this.service = service;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        address = (InetSocketAddress) listener.getLocalSocketAddress();
        Threads.start("node " + id, this::accept);
    }

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket);
            connections.add(connection);
            Threads.start("connection to " + id, () -> serve(connection));
        }
    }

    private void serve(Connection connection) throws IOException {
        ExecutorService answers = Executors.newSingleThreadExecutor(Threads::daemon);
        try {
            Lines lines = new Lines(new BufferedInputStream(connection.socket.getInputStream()));
            for (String line = lines.line(); line != null; line = lines.line()) {
                if (line.equals("mn")) {
                    connection.write("MN\r\n");
                } else {
                    begin(line, lines, connection, answers);
                }
            }
        } finally {
            connection.ended = true;
            connections.remove(connection);
            answers.shutdownNow();
            connection.socket.close();
        }
    }

    private void begin(String line, Lines lines, Connection connection, ExecutorService answers) throws IOException {
        if (!line.startsWith("mg ") && !line.startsWith("ms ")) {
            connection.write("ERROR\r\n");
            return;
        }
        Command command = new Command(line);
        if (command.isWrite) {
            command.value = lines.block(Command.valueLength(line));
            if (command.value == null) {
                return;
            }
        }
        command.arrivedMs = Recorder.nowMs();
        service.begin(command, connection);
        answers.execute(() -> {
            try {
                service.answer(command, connection);
            } catch (Exception e) {
                // The connection has ended, or the node stops.
            }
        });
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }
}
