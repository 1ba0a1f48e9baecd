package holdproxy.scale.real;

import holdproxy.scale.Scale;
import holdproxy.scale.ScaleException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The temporary folder and the child processes of a run. Both are removed when the run ends, including by Ctrl-C
 * or SIGTERM.
 */
final class RunResources implements AutoCloseable {
    private static final long EXIT_TIMEOUT_S = 10;

    private final Path folder = Files.createTempDirectory("scale");
    private final List<Process> processes = new ArrayList<>();
    private final Thread shutdownHook = new Thread(this::cleanUp, "end");
    private boolean closed;

    RunResources() throws IOException {
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** The temporary folder. */
    Path folder() {
        return folder;
    }

    /**
     * The shell command that starts a proxy: the {@code run} line of the deploy file.
     *
     * @throws ScaleException if the deploy file has no such line, or the proxy's jar has not been built
     */
    static String runCommand() {
        Path file = Scale.repositoryRoot().resolve("deploy/balancer.toml");
        if (!Files.exists(Scale.repositoryRoot().resolve("target/holdproxy.jar"))) {
            throw new ScaleException("target/holdproxy.jar is missing: run the build line of deploy/balancer.toml");
        }
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(l -> l.matches("run = \".*\""))
                    .map(l -> l.substring(7, l.length() - 1))
                    .findFirst()
                    .orElseThrow(() -> new ScaleException("deploy/balancer.toml has no run line"));
        } catch (IOException e) {
            throw new ScaleException(
                    "deploy/balancer.toml cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** Starts a process that is killed when the run ends. */
    synchronized Process start(ProcessBuilder builder) throws IOException {
        if (closed) {
            throw new IllegalStateException("the run is shutting down: no process can be started");
        }
        Process p = builder.start();
        processes.add(p);
        return p;
    }

    private synchronized void cleanUp() {
        closed = true;
        for (Process p : processes) {
            p.descendants().forEach(ProcessHandle::destroyForcibly);
            p.destroyForcibly();
        }
        try {
            for (Process p : processes) {
                p.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Collections.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            System.err.println("scale: temporary folder " + folder + " could not be deleted: "
                    + e.getClass().getSimpleName());
        }
    }

    @Override
    public void close() {
        cleanUp();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            return; // The JVM is shutting down already, so the hook cannot be removed.
        }
    }
}
