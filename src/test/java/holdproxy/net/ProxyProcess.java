package holdproxy.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts the program as its users do: in a process of its own. */
final class ProxyProcess {
    private ProxyProcess() {}

    /**
     * Starts a proxy with its log in the file {@code log} of the folder.
     *
     * @param config the configuration file
     * @param discovery the address of the discovery service as {@code HOST:PORT}
     * @param jvmOptions further options of the JVM
     */
    static Process start(Path folder, Path config, InetSocketAddress listen, String discovery, String... jvmOptions)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(jvmOptions));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "holdproxy.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(ProxyFixture.environment(config, discovery));
        builder.environment().put("LB_LISTEN", hostAndPort(listen));
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        return builder.start();
    }

    /** Returns the address as {@code HOST:PORT}. */
    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
