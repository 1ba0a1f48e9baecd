package holdproxy.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Limits the work of decoding in one pass of the event loop over all sessions, so that sessions with much input do not
 * keep the loop from the connections of others. The unit is bytes of command lines, to which a fixed cost of each
 * command is added. Once the limit is reached, each session may still have one command decoded in the pass.
 */
final class DecodeBudget {
    /** The limit for one session. */
    static final int MAX_COST_PER_SESSION = 32 << 10;
    /** The limit for all sessions. */
    private static final int MAX_COST = 256 << 10;
    /** The cost of a command beside the length of its line: answering it takes as long as decoding so many bytes. */
    private static final int COMMAND_COST = 64;

    private final EventLoop loop;
    private int used;
    private boolean resetScheduled;

    /** Creates a budget of which nothing is used. */
    DecodeBudget(EventLoop loop) {
        this.loop = loop;
    }

    /** Charges a command whose line has this length; returns its cost. */
    int charge(int lineBytes) {
        int cost = COMMAND_COST + lineBytes;
        used += cost;
        if (!resetScheduled) {
            resetScheduled = true;
            runInNextPass(this::reset);
        }
        return cost;
    }

    /** Whether the limit for all sessions is reached in this pass. */
    boolean isUsedUp() {
        return used >= MAX_COST;
    }

    private void reset() {
        used = 0;
        resetScheduled = false;
    }

    /** Runs a task in the next pass of the event loop, after the input that has arrived until then was read. */
    void runInNextPass(Runnable task) {
        // The inner timer is set among the tasks of this pass, so it fires among those of the next one.
        loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
    }
}
