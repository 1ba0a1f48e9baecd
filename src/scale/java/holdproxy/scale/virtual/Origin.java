package holdproxy.scale.virtual;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * The origin from which all cache nodes fetch: a limited number of concurrent fetches with a bounded queue. A fetch
 * that finds the queue full fails at once.
 */
final class Origin {
    private final EventClock clock;
    private final double fetchUs;
    private final int maxActiveFetches;
    private final int maxQueuedFetches;
    private final ArrayDeque<Consumer<Boolean>> queue = new ArrayDeque<>();
    private int activeFetches;
    /** Fetches asked for, refused ones included. */
    long fetches;
    /** Fetches refused because the queue was full. */
    long refusedFetches;

    Origin(EventClock clock, double fetchesPerS, double fetchUs, double queueS) {
        this.clock = clock;
        this.fetchUs = fetchUs;
        maxActiveFetches = (int) Math.max(1, Math.round(fetchesPerS * fetchUs / 1e6));
        maxQueuedFetches = (int) (fetchesPerS * queueS);
    }

    /** Starts or queues a fetch; {@code done} receives true when it is complete, or false if it was refused. */
    void fetch(Consumer<Boolean> done) {
        fetches++;
        if (activeFetches < maxActiveFetches) {
            activeFetches++;
            startFetch(done);
        } else if (queue.size() < maxQueuedFetches) {
            queue.add(done);
        } else {
            refusedFetches++;
            done.accept(false);
        }
    }

    private void startFetch(Consumer<Boolean> done) {
        clock.scheduleAfter((long) fetchUs, () -> {
            Consumer<Boolean> next = queue.poll();
            if (next == null) {
                activeFetches--;
            } else {
                startFetch(next);
            }
            done.accept(true);
        });
    }
}
