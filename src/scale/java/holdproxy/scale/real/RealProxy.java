package holdproxy.scale.real;

import holdproxy.scale.Scale;
import holdproxy.scale.ScaleException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A proxy in its own process, started with the {@code run} command of the deploy file. */
final class RealProxy {
    private static final Path SETPRIV = Path.of("/usr/bin/setpriv");
    private static final int READY_TIMEOUT_S = 30;
    private static final int ANSWER_TIMEOUT_MS = 5000;
    private static final long CONNECT_RETRY_MS = 20;

    /** USER_HZ: the ticks per second in which /proc states processor times, 100 on all relevant Linux systems. */
    private static final double CLOCK_TICKS_PER_S = 100;

    private final InetSocketAddress listenAddress;
    private final Process process;
    private final Path logFile;

    /**
     * Starts the process.
     *
     * @param discovery address of discovery as HOST:PORT
     * @param number distinguishes the files of the proxies of a run
     * @param address loopback address to listen on, as four bytes
     */
    RealProxy(RunResources resources, ProxyConfig config, String discovery, int number, byte[] address)
            throws IOException {
        listenAddress = findFreePort(address);
        logFile = resources.folder().resolve("real" + number + ".log");
        Path temporaryFolder = Files.createDirectory(resources.folder().resolve("real" + number + ".tmp"));
        List<String> command = new ArrayList<>(List.of("/bin/sh", "-c", RunResources.runCommand()));
        if (Files.isExecutable(SETPRIV)) {
            // Ends the proxy even if this process is killed by SIGKILL, which runs no shutdown hook.
            command.addAll(0, List.of(SETPRIV.toString(), "--pdeathsig", "KILL"));
        }
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(Scale.repositoryRoot().toFile())
                .redirectErrorStream(true)
                .redirectOutput(logFile.toFile());
        Map<String, String> env = builder.environment();
        env.putAll(config.environment(
                listenAddress.getAddress().getHostAddress() + ":" + listenAddress.getPort(), discovery));
        env.put("TMPDIR", temporaryFolder.toString());
        process = resources.start(builder);
    }

    /**
     * Finds a free port on a loopback address that only this proxy uses. The kernel therefore does not assign
     * the port to another socket before the proxy binds it.
     */
    private static InetSocketAddress findFreePort(byte[] address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByAddress(address))) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    /** The address on which the proxy accepts clients. */
    InetSocketAddress address() {
        return listenAddress;
    }

    /**
     * Waits until the proxy answers {@code mn} with {@code MN}.
     *
     * @throws ScaleException if it does not within {@link #READY_TIMEOUT_S} or its process ends
     */
    void awaitReady() throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (System.nanoTime() < deadlineNs && process.isAlive()) {
            try (Socket socket = new Socket(listenAddress.getAddress(), listenAddress.getPort())) {
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
                String answer = new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
                if ("MN".equals(answer)) {
                    return;
                }
            } catch (ConnectException e) {
                Thread.sleep(CONNECT_RETRY_MS);
            }
        }
        throw new ScaleException("the proxy started by the run command does not answer mn; its output: "
                + String.join(" ", Files.readAllLines(logFile)));
    }

    /** Processor time used by the process since its start, in seconds, with a resolution of 10 ms. */
    double cpuS() throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_S;
    }

    /** Resident memory of the process in bytes, or 0 if the kernel does not report it. */
    long residentBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(l -> l.startsWith("VmRSS:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) * 1024)
                .findFirst()
                .orElse(0);
    }

    /** Sends SIGHUP, on which the proxy reads its configuration again. */
    void sendHangup(RunResources resources) throws IOException, InterruptedException {
        resources
                .start(new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())))
                .waitFor();
    }
}
