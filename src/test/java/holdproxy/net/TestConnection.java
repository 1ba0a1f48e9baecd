package holdproxy.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A blocking socket on which a test plays the proxy's counterpart: a client, a cache node or the discovery service.
 * Reads and waits fail after 10 s.
 */
final class TestConnection implements Closeable {
    private static final int WAIT_MS = 10_000;
    /** More connections than any test opens at once. With a full queue, the kernel would delay further ones. */
    private static final int BACKLOG = 512;

    /** The socket itself, for options and for raw reads and writes. */
    final Socket socket;

    private final InputStream in;

    /** Wraps a connected socket and sets its read timeout. */
    TestConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(WAIT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Opens a connection to the address. */
    static TestConnection connect(InetSocketAddress address) throws IOException {
        return new TestConnection(new Socket(address.getAddress(), address.getPort()));
    }

    /** Sends the text as ISO 8859-1 bytes. */
    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads the next line and returns it without its line end; null at the end of the stream. */
    String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads one line for each argument and asserts that they are equal. */
    void expectLines(String... lines) throws IOException {
        for (String line : lines) {
            assertEquals(line, readLine());
        }
    }

    /** Waits until the other side ends or resets the connection; fails if a line arrives before that. */
    void expectEnd() throws IOException {
        try {
            assertEquals(null, readLine());
        } catch (java.net.SocketException e) {
            assertEquals("Connection reset", e.getMessage());
        }
    }

    /**
     * Waits until the kernel has removed this side of the connection, after a reset by the other side. A reset that
     * follows the end of the other side's output does not show in reads. Returns false if none came within the time.
     */
    boolean awaitReset(int waitMs) throws IOException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (KernelSockets.read().contains(socket)) {
            if (System.nanoTime() - untilNanos > 0) {
                return false;
            }
            Thread.onSpinWait();
        }
        return true;
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A listening socket that accepts connections in the background and queues them for the test. */
    static final class Listener implements Closeable {
        private final ServerSocket server;
        private final Thread thread;
        private final BlockingQueue<TestConnection> accepted = new LinkedBlockingQueue<>();
        private final List<TestConnection> all = new CopyOnWriteArrayList<>();

        /** Listens on an ephemeral loopback port. */
        Listener() throws IOException {
            this(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        }

        /** Listens on the given address. */
        Listener(InetSocketAddress address) throws IOException {
            server = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
            thread = new Thread(this::accept, "listener");
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    TestConnection connection = new TestConnection(server.accept());
                    accepted.add(connection);
                    // After the queue, so that every connection that acceptedCount() includes can be taken.
                    all.add(connection);
                }
            } catch (IOException e) {
                // the test has closed the listener
            }
        }

        /** Returns the address as {@code HOST:PORT}. */
        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Returns the address that it listens on. */
        java.net.InetSocketAddress socketAddress() {
            return (java.net.InetSocketAddress) server.getLocalSocketAddress();
        }

        /** Waits for the next connection, at most 10 s. */
        TestConnection awaitConnection() throws InterruptedException {
            TestConnection connection = accepted.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            if (connection == null) {
                throw new AssertionError("no connection was accepted within the time limit");
            }
            return connection;
        }

        /** Returns the next connection if one has been accepted, otherwise null. */
        TestConnection pollConnection() {
            return accepted.poll();
        }

        /** Returns the number of connections accepted so far, including those that the test has taken. */
        int acceptedCount() {
            return all.size();
        }

        @Override
        public void close() throws IOException {
            server.close();
            try {
                thread.join(); // otherwise it could accept one more connection that nobody closes
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (TestConnection connection : all) {
                connection.close();
            }
        }
    }

    /**
     * A listening socket whose accept queue is full, so that further connection attempts stay pending until
     * {@link #acceptNew} makes room.
     */
    static final class FullQueueListener implements Closeable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> queued = new CopyOnWriteArrayList<>();

        /** Fills the accept queue: connects until an attempt times out. */
        FullQueueListener() throws IOException {
            for (int i = 0; i < 16; i++) {
                Socket socket = new Socket();
                queued.add(socket);
                try {
                    socket.connect(server.getLocalSocketAddress(), 300);
                } catch (java.net.SocketTimeoutException e) {
                    return;
                }
            }
            throw new AssertionError("the accept queue did not fill up");
        }

        /** Empties the accept queue and waits at most 10 s for the first connection that is not its own. */
        TestConnection acceptNew() throws IOException {
            return acceptNew(WAIT_MS);
        }

        /** Like {@link #acceptNew()}; throws a {@link java.net.SocketTimeoutException} after this many ms. */
        TestConnection acceptNew(int waitMs) throws IOException {
            server.setSoTimeout(waitMs);
            while (true) {
                Socket socket = server.accept();
                if (queued.stream().noneMatch(client -> client.getLocalPort() == socket.getPort())) {
                    return new TestConnection(socket);
                }
            }
        }

        /** Returns the address as {@code HOST:PORT}. */
        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : queued) {
                socket.close();
            }
            server.close();
        }
    }
}
