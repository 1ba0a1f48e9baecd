package holdproxy;

import holdproxy.net.Proxy;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The command line: {@code serve} runs the proxy, {@code simhost} runs routers for the simulator. */
public final class Main {
    private Main() {}

    /**
     * Runs the command that the only argument names. The exit status is 2 for a wrong command line or an invalid
     * configuration, and 1 if the input of {@code simhost} is invalid or cannot be read.
     *
     * @param args the command
     */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve();
            case "simhost" -> simHost();
            default -> {
                System.err.println("usage: java -jar holdproxy.jar serve | simhost");
                System.exit(2);
            }
        }
    }

    private static void serve() {
        try {
            Proxy.serve(System.getenv());
            if (!isClassArchiveUsed()) {
                System.err.println("holdproxy: the class archive is not used: this start took longer");
            }
        } catch (BadInput e) {
            System.err.println("holdproxy: " + e.getMessage());
            Runtime.getRuntime().halt(2); // no client was served, so the shutdown hook has nothing to drain
        }
    }

    /** Whether the JVM has mapped a class archive other than its own; true if that cannot be determined. */
    private static boolean isClassArchiveUsed() {
        try {
            for (String mapping : Files.readAllLines(Path.of("/proc/self/maps"))) {
                if (mapping.endsWith(".jsa") && !mapping.contains("/classes")) {
                    return true;
                }
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private static void simHost() {
        try {
            FileInputStream in = new FileInputStream(FileDescriptor.in);
            new SimHost(in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (BadInput | IOException e) {
            System.err.println("holdproxy: " + e.getMessage());
            System.exit(1);
        }
    }
}
