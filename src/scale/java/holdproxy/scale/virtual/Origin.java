package holdproxy.scale.virtual;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** What all cache nodes fetch from: so many fetches at a time, a bounded queue, and failure beyond it. */
final class Origin {
    private final EventClock clock;
    private final double fetchUs;
    private final int servers;
    private final int most;
    private final ArrayDeque<Consumer<Boolean>> waiting = new ArrayDeque<>();
    private int busy;
    long fetches;
    long refused;

    Origin(EventClock clock, double fetchesPerS, double fetchUs, double queueS) {
        this.clock = clock;
        this.fetchUs = fetchUs;
        servers = (int) Math.max(1, Math.round(fetchesPerS * fetchUs / 1e6));
        most = (int) (fetchesPerS * queueS);
    }

    void fetch(Consumer<Boolean> done) {
        fetches++;
        if (busy < servers) {
            busy++;
            begin(done);
        } else if (waiting.size() < most) {
            waiting.add(done);
        } else {
            refused++;
            done.accept(false);
        }
    }

    private void begin(Consumer<Boolean> done) {
        clock.after((long) fetchUs, () -> {
            Consumer<Boolean> next = waiting.poll();
            if (next == null) {
                busy--;
            } else {
                begin(next);
            }
            done.accept(true);
        });
    }
}
