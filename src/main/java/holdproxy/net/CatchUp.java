package holdproxy.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Delays new attempts after a pause of the event loop until the input that arrived during the pause has been
 * read. Otherwise a request, an answer or a timer could start an attempt for a client whose disconnect is still
 * unread.
 */
final class CatchUp {
    /** A request is read in one pass of the event loop, and the disconnect that follows it in the next. */
    private static final int PASSES_TO_READ = 2;

    /** A task and the pass after which it runs. */
    private record Waiting(long pass, Runnable task) {}

    private final EventLoop loop;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private boolean running;
    /** Passes of the event loop, counted only while running. */
    private long pass;
    /** The pass at which the catch-up ends if no task is waiting. */
    private long lastPass;

    CatchUp(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts or extends the catch-up; called after a pause, and while connections from it are being accepted. */
    void begin() {
        lastPass = pass + PASSES_TO_READ + 1;
        if (!running) {
            running = true;
            loop.execute(this::endPass);
        }
    }

    /** Whether new attempts have to wait. */
    boolean isRunning() {
        return running;
    }

    /**
     * Runs the task once two more passes of the event loop have read pending input. Must be called only while
     * {@link #isRunning} returns true.
     */
    void runWhenCaughtUp(Runnable task) {
        waiting.add(new Waiting(pass + PASSES_TO_READ, task));
    }

    /** Runs among the tasks at the end of a pass; a timer set here fires only after the next pass has read input. */
    private void endPass() {
        while (!waiting.isEmpty() && waiting.peek().pass < pass) {
            waiting.poll().task.run();
        }
        pass++;
        running = pass < lastPass || !waiting.isEmpty();
        if (running) {
            loop.schedule(this::endPass, 0, TimeUnit.NANOSECONDS);
        }
    }
}
