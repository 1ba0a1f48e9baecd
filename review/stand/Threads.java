import java.io.IOException;

/** Daemon threads whose work ends with the peer's connection. */
final class Threads {
    /** Work that may fail because a peer ended its connection. */
    interface Work {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the peer ended the connection
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
