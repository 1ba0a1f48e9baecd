package holdproxy.net;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** An open client request: its command, the slot for its answer, and its attempts at cache nodes. */
final class Exchange {
    final long id;
    final Command command;
    final ClientSession session;
    final AnswerQueue.Slot slot;
    /** When the final answer is due, on the router's clock in microseconds. */
    final long dueUs;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** The number of attempts in flight. */
    int attemptsInFlight;
    /** Whether the client has its answer, or needs none because it disconnected. */
    boolean answered;
    /** The timer that fails the request if the router leaves it unanswered. */
    Future<?> overdueTimer;

    Exchange(long id, Command command, ClientSession session, AnswerQueue.Slot slot, long dueUs) {
        this.id = id;
        this.command = command;
        this.session = session;
        this.slot = slot;
        this.dueUs = dueUs;
    }
}
