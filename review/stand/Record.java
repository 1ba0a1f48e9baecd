import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;

/** The record of a case: what was sent, answered and run, with the milliseconds since the start of the case. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(String file) throws IOException {
        out = new PrintWriter(file, StandardCharsets.UTF_8);
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String who, String what) {
        out.printf("%7d %-10s %s%n", now(), who, what);
        out.flush();
    }

    synchronized void close() {
        out.close();
    }
}
