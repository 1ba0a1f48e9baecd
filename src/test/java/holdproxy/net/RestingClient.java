package holdproxy.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A client that keeps its connection, rests between requests for about as long as the proxy leaves a connection open,
 * and does not look whether the connection has ended before it sends. It records what became of each request.
 */
final class RestingClient implements Runnable {
    /** What became of a request. */
    enum Outcome {
        /** An answer came in time. */
        ANSWERED,
        /** The connection was reset, so that the request may be sent again. */
        UNREAD,
        /** The connection ended, and whether it was reset is not known yet. */
        ENDED,
        /** The answer did not come in time. */
        LATE
    }

    /** A request and its outcome. */
    record Sent(String id, Outcome outcome, TestConnection connection, long sentNanos, long endedNanos) {}

    /** A final answer may come so long after the client's wait is over: 0.5 s, and the slack of each time limit. */
    private static final int LATE_MS = 550;
    /** The pause before a further attempt to connect. */
    private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** No node answers a request of this name, since the proxy does not send it on. */
    private static final String INVALID = "bad";

    /** How a client spends the time before a request. */
    private interface Rest {
        /** The length of a rest in milliseconds; the first one on a connection is longer for some clients. */
        double nextMs(SplittableRandom random, boolean isFirst);
    }

    /** The rests around the proxy's time limits, in milliseconds. */
    private static final List<Rest> RESTS = List.of(
            (random, isFirst) -> 0,
            (random, isFirst) -> random.nextDouble(5, 60),
            (random, isFirst) -> random.nextDouble(60, 300),
            (random, isFirst) -> random.nextDouble(1900, 2300),
            (random, isFirst) -> isFirst ? random.nextDouble(1900, 2300) : random.nextDouble(60, 300),
            (random, isFirst) -> isFirst ? 0 : random.nextDouble(9800, 10300));

    private final InetSocketAddress proxy;
    private final String name;
    private final SplittableRandom random;
    private final int deadlineMs;
    private final Rest rest;
    private final ArrayDeque<String> outstanding = new ArrayDeque<>();
    private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();
    private final List<Sent> results = new ArrayList<>();
    private volatile boolean stopped;
    /** When the next request is sent in any case; 0 if no such time is set. */
    private volatile long nextSendNanos;

    private TestConnection connection;
    private boolean isFirst;
    private int count;

    /**
     * Creates a client.
     *
     * @param name distinguishes the ids of its requests from those of other clients
     * @param kind chooses how it rests
     * @param deadlineMs how long it waits for an answer
     */
    RestingClient(InetSocketAddress proxy, String name, int kind, SplittableRandom random, int deadlineMs) {
        this.proxy = proxy;
        this.name = name;
        this.random = random;
        this.deadlineMs = deadlineMs;
        rest = RESTS.get(kind % RESTS.size());
    }

    /** Ends the rest at this time, so that a request is sent then. */
    void sendAt(long nanos) {
        nextSendNanos = nanos;
    }

    /** Opens no further connection and sends nothing more. */
    void stop() {
        stopped = true;
    }

    /** The requests whose outcome is known; to be called once {@link #run} has returned. */
    List<Sent> results() {
        return results;
    }

    @Override
    public void run() {
        while (!stopped) {
            try {
                connection = TestConnection.connect(proxy);
                connection.socket.setSoTimeout(deadlineMs + LATE_MS);
                useConnection();
            } catch (IOException e) {
                LockSupport.parkNanos(RECONNECT_NANOS); // not listening
            }
        }
    }

    private void useConnection() {
        isFirst = true;
        try {
            while (!stopped) {
                rest();
                send();
                while (!outstanding.isEmpty()) {
                    if (!readAnswer()) {
                        endAll(Outcome.ENDED);
                        return;
                    }
                }
                isFirst = false;
            }
        } catch (SocketTimeoutException e) {
            endAll(Outcome.LATE);
        } catch (IOException e) {
            endAll(Outcome.UNREAD);
        }
    }

    private void rest() {
        long untilNanos = System.nanoTime() + (long) (rest.nextMs(random, isFirst) * 1e6);
        while (!stopped) {
            long sendNanos = nextSendNanos;
            long leftNanos = (sendNanos != 0 ? Math.min(sendNanos, untilNanos) : untilNanos) - System.nanoTime();
            if (leftNanos <= 0) {
                nextSendNanos = sendNanos != 0 && sendNanos <= System.nanoTime() ? 0 : sendNanos;
                return;
            }
            LockSupport.parkNanos(Math.min(leftNanos, TimeUnit.MILLISECONDS.toNanos(5)));
        }
    }

    /** Sends a read: alone, in two parts, behind an invalid command, or several at once. */
    private void send() throws IOException {
        int shape = random.nextInt(20);
        String text = shape == 0 ? INVALID + "\r\n" : "";
        int requests = shape == 1 ? 3 : 1;
        if (shape == 0) {
            addOutstanding(INVALID);
        }
        for (int i = 0; i < requests; i++) {
            String id = name + "-" + count++;
            String key = Long.toHexString(random.nextLong());
            text += ProxyFixture.readCommand(id, deadlineMs).replace("7f3a9c21e0b4d655", key);
            addOutstanding("O" + id);
        }
        if (shape == 2) {
            int half = text.length() / 2;
            connection.send(text.substring(0, half));
            LockSupport.parkNanos((long) (random.nextDouble(5, 30) * 1e6));
            text = text.substring(half);
        }
        connection.send(text);
    }

    private void addOutstanding(String id) {
        outstanding.add(id);
        sentNanos.add(System.nanoTime());
    }

    private boolean readAnswer() throws IOException {
        String line = connection.readLine();
        if (line == null || line.startsWith("VA ") && connection.readLine() == null) {
            return false;
        }
        end(Outcome.ANSWERED);
        return true;
    }

    private void end(Outcome outcome) {
        results.add(new Sent(outstanding.poll(), outcome, connection, sentNanos.poll(), System.nanoTime()));
    }

    private void endAll(Outcome outcome) {
        while (!outstanding.isEmpty()) {
            end(outcome);
        }
    }
}
