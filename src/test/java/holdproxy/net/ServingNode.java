package holdproxy.net;

import java.io.Closeable;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A cache node that serves every request after a fixed time, reads with a value of one byte, until told to hang. */
final class ServingNode implements Closeable {
    final TestConnection.Listener listener;
    private final long serviceMs;
    /** Completed once the node may answer. */
    private final CompletableFuture<?> mayAnswer;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    /** The ids of the requests that have arrived, with the O in front. */
    private final Set<String> received = ConcurrentHashMap.newKeySet();

    private volatile boolean hanging;

    /** Starts a node with an address of its own that takes this time for a request. */
    ServingNode(long serviceMs) throws IOException {
        this(new TestConnection.Listener(), serviceMs, CompletableFuture.completedFuture(null));
    }

    /** Starts a node that begins to answer once {@code mayAnswer} is complete. */
    ServingNode(TestConnection.Listener listener, long serviceMs, CompletableFuture<?> mayAnswer) {
        this.listener = listener;
        this.serviceMs = serviceMs;
        this.mayAnswer = mayAnswer;
        Thread acceptor = new Thread(this::acceptAll, "cache node");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Gives no further answers. */
    void hang() {
        hanging = true;
    }

    /** Whether the request with this id, with the O in front, has arrived. */
    boolean hasReceived(String id) {
        return received.contains(id);
    }

    private void acceptAll() {
        while (!timer.isShutdown()) {
            try {
                TestConnection connection = listener.awaitConnection();
                Thread reader = new Thread(() -> readAll(connection), "cache node connection");
                reader.setDaemon(true);
                reader.start();
            } catch (InterruptedException | AssertionError e) {
                // none has come for a while, or the node is being closed
            }
        }
    }

    private void readAll(TestConnection connection) {
        try {
            connection.socket.setSoTimeout(0);
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                String id = line.split(" ")[3];
                boolean isWrite = line.startsWith("ms");
                if (isWrite) {
                    connection.readLine();
                }
                received.add(id);
                String answer = isWrite ? "HD " + id + " c1\r\n" : "VA 1 " + id + "\r\n1\r\n";
                mayAnswer.thenRun(
                        () -> timer.schedule(() -> send(connection, answer), serviceMs, TimeUnit.MILLISECONDS));
            }
        } catch (IOException | RuntimeException e) {
            // the proxy or the test has closed the connection
        }
    }

    private void send(TestConnection connection, String answer) {
        if (hanging) {
            return;
        }
        try {
            connection.send(answer);
        } catch (IOException e) {
            // the proxy has given the attempt up
        }
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        listener.close();
    }
}
