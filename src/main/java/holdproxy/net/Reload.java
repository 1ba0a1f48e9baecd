package holdproxy.net;

import holdproxy.BadInput;
import java.io.File;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reads the configuration file again on SIGHUP and passes the result on. Without a handler the JVM would exit on
 * this signal. Reading a file may block, so it is done on a thread of its own. A single thread does all reads in
 * order, so after two signals in quick succession the later state of the file is the one in effect.
 */
final class Reload {
    /** Short compared with the 4 s in which the proxy must receive all that a new discovery service publishes. */
    private static final int POLL_INTERVAL_MS = 250;

    private final Map<String, String> env;
    private final Log log;
    private final Consumer<Config> configConsumer;
    private final ScheduledExecutorService reader = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "reload");
        thread.setDaemon(true); // A read that blocks must not delay the exit of the proxy.
        return thread;
    });
    /** The result of {@link #fileStamp} for the file that was read last. */
    private long[] lastReadStamp;

    /**
     * Creates an instance that does nothing until {@link #reloadOnSignal} or {@link #requestReload} is called.
     *
     * @param env the environment variables, which name the file
     * @param log receives the reason when a configuration is rejected
     * @param configConsumer receives each valid configuration, on the thread that reads the file
     */
    Reload(Map<String, String> env, Log log, Consumer<Config> configConsumer) {
        this.env = env;
        this.log = log;
        this.configConsumer = configConsumer;
    }

    /**
     * Starts to react to SIGHUP. A JVM that was started with SIGHUP ignored, for example by nohup, never receives
     * the signal. In that case the file is polled and read whenever it has changed.
     */
    void reloadOnSignal() {
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> requestReload());
        if (previous == SignalHandler.SIG_IGN) {
            log.line("SIGHUP was ignored when the process started: polling the configuration file for changes");
            lastReadStamp = fileStamp();
            long intervalMs = POLL_INTERVAL_MS;
            reader.scheduleWithFixedDelay(this::readIfChanged, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the file's modification time and length, by which a change is detected; zeros if there is no file. */
    private long[] fileStamp() {
        File file = new File(env.getOrDefault("LB_CONFIG", ""));
        return new long[] {file.lastModified(), file.length()};
    }

    private void readIfChanged() {
        long[] current = fileStamp();
        if (current[1] > 0 && !Arrays.equals(current, lastReadStamp)) {
            lastReadStamp = current;
            read();
        }
    }

    /** Has the file read on the reading thread. */
    void requestReload() {
        reader.execute(this::read);
    }

    private void read() {
        try {
            configConsumer.accept(Config.reload(env));
        } catch (BadInput e) {
            log.line("the new configuration is not taken, the previous one stays in effect: " + e.getMessage());
        } catch (RuntimeException e) {
            log.line("the new configuration is not taken, the previous one stays in effect: " + e);
        }
    }
}
