package holdproxy.net;

import java.io.Closeable;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A cache node that answers every read with a value of one byte after a fixed time, until it is told to hang. */
final class ServingNode implements Closeable {
    final TestConnection.Listener listener = new TestConnection.Listener();
    private final long serviceMs;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    /** The ids of the requests that have arrived, with the O in front. */
    private final Set<String> received = ConcurrentHashMap.newKeySet();

    private volatile boolean hanging;

    /** Starts a node that takes this time for a request. */
    ServingNode(long serviceMs) throws IOException {
        this.serviceMs = serviceMs;
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
                received.add(id);
                timer.schedule(() -> answer(connection, id), serviceMs, TimeUnit.MILLISECONDS);
            }
        } catch (IOException | RuntimeException e) {
            // the proxy or the test has closed the connection
        }
    }

    private void answer(TestConnection connection, String id) {
        if (hanging) {
            return;
        }
        try {
            connection.send("VA 1 " + id + "\r\n1\r\n");
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
