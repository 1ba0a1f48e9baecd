package holdproxy.net;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The TCP sockets of the machine at one moment, from the kernel's tables. */
final class KernelSockets {
    /** The JDK may open IPv6 sockets for IPv4 addresses, which stand in a table of their own. */
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

    /** The columns of the two addresses in a row of a table. */
    private static final int LOCAL_ADDRESS = 1;

    private static final int REMOTE_ADDRESS = 2;

    private final Set<String> portPairs = new HashSet<>();

    /** Reads the tables. */
    static KernelSockets read() throws IOException {
        KernelSockets sockets = new KernelSockets();
        for (Path table : TABLES) {
            for (String row : Files.readAllLines(table)) {
                String[] columns = row.trim().split("\\s+");
                sockets.portPairs.add(port(columns[LOCAL_ADDRESS]) + " " + port(columns[REMOTE_ADDRESS]));
            }
        }
        return sockets;
    }

    private static String port(String address) {
        return address.substring(address.indexOf(':') + 1);
    }

    /** Whether the socket was in a table: it is not any more once the other side has reset the connection. */
    boolean contains(Socket socket) {
        return portPairs.contains(String.format("%04X %04X", socket.getLocalPort(), socket.getPort()));
    }
}
