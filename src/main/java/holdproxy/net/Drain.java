package holdproxy.net;

import holdproxy.Router;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The shutdown after SIGTERM. The proxy accepts connections for a while longer, then closes each connection once its
 * requests are answered, and ends the requests that are still open a moment before the process has to exit. Times are
 * microseconds on the proxy's clock.
 */
final class Drain {
    /**
     * How long the proxy accepts connections after SIGTERM. New connections still arrive for 0.4 s, and
     * connections that arrive after 0.7 s may be cut off.
     */
    static final long ACCEPT_MS = 500;
    /** SIGKILL follows SIGTERM after at least the longest deadline of a request class plus this time. */
    private static final long KILL_DELAY_US = 700_000;
    /** A longest deadline that is longer than this counts as this long in the time until SIGKILL. */
    private static final long KILL_MAX_DEADLINE_US = 3_000_000;
    /** The part of the time before SIGKILL that is kept for the last log line and the exit. */
    private static final long EXIT_MARGIN_US = 100_000;
    /** The longest time that a drain may take with any settings. */
    static final long MAX_DURATION_US = KILL_MAX_DEADLINE_US + KILL_DELAY_US - EXIT_MARGIN_US;
    /**
     * The time between the last answers and the exit. The process may be held up for 0.15 s, and the clients have to
     * receive what was written.
     */
    private static final long LAST_ANSWERS_US = 250_000;

    private final Router.Settings settings;
    private final LongSupplier clock;
    private final EventLoop loop;
    private final Log log;
    private final ClientListener listener;
    private final Admission admission;
    private final Runnable endOpenRequests;
    private final CountDownLatch allClosed = new CountDownLatch(1);

    private boolean begun;
    /** When every request has to be answered. */
    private long answersEndUs = Long.MAX_VALUE;

    /**
     * Creates a drain that has not begun.
     *
     * @param endOpenRequests gives every open request its final answer
     */
    Drain(
            Router.Settings settings,
            LongSupplier clock,
            EventLoop loop,
            Log log,
            ClientListener listener,
            Admission admission,
            Runnable endOpenRequests) {
        this.settings = settings;
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        this.admission = admission;
        this.endOpenRequests = endOpenRequests;
    }

    /** The longest time that a drain may take with these settings: it ends before SIGKILL can come. */
    static long maxDurationUs(Router.Settings settings) {
        long longestDeadlineUs = 0;
        for (Router.RequestClass requestClass : settings.classes) {
            // A class with a deadline of 0 has none.
            long deadlineUs = requestClass.deadlineUs > 0 ? requestClass.deadlineUs : Long.MAX_VALUE;
            longestDeadlineUs = Math.max(longestDeadlineUs, deadlineUs);
        }
        return MAX_DURATION_US - Math.max(0, KILL_MAX_DEADLINE_US - longestDeadlineUs);
    }

    /**
     * Starts the drain, on the event loop.
     *
     * @param acceptMs how long the proxy accepts connections
     */
    void begin(long acceptMs) {
        begun = true;
        long answersUs = maxDurationUs(settings) - LAST_ANSWERS_US;
        answersEndUs = clock.getAsLong() + answersUs;
        loop.schedule(this::endAnswers, answersUs, TimeUnit.MICROSECONDS);
        listener.stop(acceptMs, this::closeSessions);
    }

    /** Blocks the calling thread until all sessions are closed or the time for it is over. */
    void awaitEnd() throws InterruptedException {
        boolean isDone = allClosed.await(maxDurationUs(settings), TimeUnit.MICROSECONDS);
        log.line(isDone ? "drained" : "drain timed out with connections open");
    }

    /** Whether sessions are closed as soon as their requests are answered. */
    boolean closesSessions() {
        return begun && !listener.isOpen();
    }

    /** When a request has to be answered that is due at the given time. */
    long latestDueUs(long dueUs) {
        return Math.min(dueUs, answersEndUs);
    }

    /** Whether requests that arrive now are refused, because the process is about to exit. */
    boolean refusesRequests(long nowUs) {
        return nowUs >= answersEndUs;
    }

    /** A session was closed. */
    void onSessionClosed() {
        if (closesSessions() && admission.isEmpty()) {
            allClosed.countDown();
        }
    }

    /** Closes each session once its requests are answered. */
    private void closeSessions() {
        admission.sessions().forEach(session -> session.closeWhenAnswered(CloseReason.DRAIN));
        onSessionClosed();
    }

    /** Ends all open requests. Those that arrive from now on are refused, so each session comes to its end. */
    private void endAnswers() {
        endOpenRequests.run();
        admission.sessions().forEach(ClientSession::closeBeforeExit);
    }
}
