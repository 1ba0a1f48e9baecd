package stand2;

import java.io.IOException;

/** Threads that end with the process. */
final class Threads {
    private Threads() {}

    /** Work on sockets, which ends when the socket does. */
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

    static Thread start(String name, Work work) {
        Thread thread = daemon(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // The socket was closed.
            }
        });
        thread.setName(name);
        thread.start();
        return thread;
    }

    static void sleep(double ms) throws InterruptedException {
        if (ms > 0) {
            Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
        }
    }
}
