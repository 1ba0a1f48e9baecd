package stand2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client connection to a proxy. */
final class Client implements AutoCloseable {
    final Socket socket;
    final Lines lines;

    Client(InetSocketAddress proxy) throws IOException {
        socket = new Socket(proxy.getAddress(), proxy.getPort());
        socket.setTcpNoDelay(true);
        lines = new Lines(new BufferedInputStream(socket.getInputStream()));
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads the first line of an answer, and the value behind it; null if the connection ended. */
    String answer(int timeoutMs) throws IOException {
        socket.setSoTimeout(Math.max(1, timeoutMs));
        String line = lines.line();
        if (line != null && line.startsWith("VA ")) {
            int length = Integer.parseInt(line.split(" ")[1]);
            return lines.block(length) == null ? null : line;
        }
        return line;
    }

    /** The command that reads a key. */
    static String read(Settings settings, String key, String id, String requestClass, int waitMs) {
        return "mg " + key + " v O" + id + " Pc=" + requestClass + ",t=" + settings.tenant + ",d=" + waitMs + "\r\n";
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
