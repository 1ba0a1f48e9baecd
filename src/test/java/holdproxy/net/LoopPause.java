package holdproxy.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Blocks the proxy's event loop, so that what a test does meanwhile is pending when the loop resumes. */
final class LoopPause {
    private final CountDownLatch paused = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);

    /** Blocks the event loop, and returns once it is blocked. */
    static LoopPause begin(ProxyFixture fixture) throws InterruptedException {
        LoopPause pause = new LoopPause();
        fixture.loop.execute(pause::pauseLoop);
        pause.awaitPaused();
        return pause;
    }

    /** Blocks the calling thread, the event loop, until the test resumes it. */
    void pauseLoop() {
        paused.countDown();
        try {
            resumed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the event loop is blocked. */
    void awaitPaused() throws InterruptedException {
        paused.await();
    }

    /** Resumes the event loop. */
    void resume() {
        resumed.countDown();
    }

    /** Resumes the event loop once this much time has passed since {@code sinceNanos}. */
    void resumeAfter(long sinceNanos, long delayMs) {
        while (System.nanoTime() - sinceNanos < TimeUnit.MILLISECONDS.toNanos(delayMs)) {
            Thread.onSpinWait();
        }
        resume();
    }
}
