package stand2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** The project's proxy in a process of its own, started by the line {@code run} of the deploy file. */
final class Proxy implements AutoCloseable {
    private static final int READY_MS = 30_000;

    final InetSocketAddress address;
    private final String name;
    private final Settings settings;
    private final String knownList;
    private final Path folder;
    private final Path configuration;
    private final Recorder recorder;
    private Process process;

    Proxy(String name, Settings settings, InetSocketAddress discovery, String knownList, Recorder recorder)
            throws IOException {
        this.name = name;
        this.settings = settings;
        this.knownList = knownList;
        this.recorder = recorder;
        address = freeAddress();
        folder = Files.createTempDirectory("review-2-");
        configuration = folder.resolve("config.json");
        writeConfiguration(discovery);
        start(discovery);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** Replaces the configuration by one that names this discovery. */
    void writeConfiguration(InetSocketAddress discovery) throws IOException {
        Path next = folder.resolve("next.json");
        Files.writeString(
                next,
                settings.configuration(name, Registry.text(address), Registry.text(discovery), knownList));
        Files.move(next, configuration, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private void start(InetSocketAddress discovery) throws IOException {
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", Deployment.line("run"));
        builder.directory(Deployment.ROOT.toFile());
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", Registry.text(address));
        builder.environment().put("LB_DISCOVERY", Registry.text(discovery));
        builder.environment().put("LB_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(log().toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        recorder.line("%s: started, listens on %s", name, Registry.text(address));
    }

    Path log() {
        return folder.resolve("log");
    }

    /** Waits until the proxy answers {@code mn} with {@code MN}. */
    void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (System.nanoTime() < until && process.isAlive()) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write("mn\r\n".getBytes());
                if ("MN".equals(new Lines(socket.getInputStream()).line())) {
                    recorder.line("%s: ready", name);
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new CannotRun("the proxy is not ready: " + Files.readString(log()));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    int awaitExit(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Sends a signal to the process that {@code run} started. */
    void signal(String signal) throws IOException, InterruptedException {
        recorder.line("%s: SIG%s", name, signal);
        int code = new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        if (code != 0) {
            throw new CannotRun("kill ended with " + code);
        }
    }

    /** Ends the process and copies its log to the record. */
    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (String line : Files.readAllLines(log())) {
            recorder.line("%s's log: %s", name, line);
        }
        delete(folder.toFile());
    }

    private static void delete(File file) {
        File[] children = file.listFiles();
        if (children != null) {
            for (File child : children) {
                delete(child);
            }
        }
        file.delete();
    }
}
