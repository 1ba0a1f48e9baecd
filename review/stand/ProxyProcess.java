import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A proxy, started by the command {@code run} of the deploy file from the root of the repository. */
final class ProxyProcess {
    final int port = freePort();
    private final String name;
    private final Record record;
    private final Process process;

    /**
     * Starts a proxy and waits until it answers {@code mn}.
     *
     * @param settings the settings as JSON
     * @param folder a folder for its configuration and log
     */
    ProxyProcess(String name, Record record, Path folder, List<CacheNode> nodes, int discoveryPort, String settings)
            throws Exception {
        this.name = name;
        this.record = record;
        String listen = "127.0.0.1:" + port;
        String discovery = "127.0.0.1:" + discoveryPort;
        Path config = folder.resolve(name + ".json");
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":" + Discovery.listOf(nodes) + ",\"settings\":" + settings + "}");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.environment().putAll(Map.of(
                "LB_NAME", name,
                "LB_LISTEN", listen,
                "LB_DISCOVERY", discovery,
                "LB_CONFIG", config.toString()));
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        awaitReady();
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.length() - 1);
            }
        }
        throw new IOException("deploy/balancer.toml has no line run");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private void awaitReady() throws Exception {
        for (int i = 0; i < 150; i++) {
            if (answersNoOp(1000)) {
                record.line(name, "answers mn with MN");
                return;
            }
            Thread.sleep(200);
        }
        throw new IOException("the proxy did not answer mn within 30 s");
    }

    /** Whether a new connection gets {@code MN} for {@code mn} within this time. */
    boolean answersNoOp(int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write("mn\r\n".getBytes());
            return "MN".equals(Lines.read(socket.getInputStream()));
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends SIGTERM. */
    void terminate() {
        record.line(name, "gets SIGTERM");
        process.destroy();
    }

    /** Waits for the end of the process; returns false if it is still alive after this time. */
    boolean awaitExit(long timeoutMs) throws InterruptedException {
        boolean exited = process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        record.line(name, exited ? "exits with " + process.exitValue() : "is still running");
        return exited;
    }

    /** Ends the process with SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }
}
