package stand2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happens in a case to {@code record.txt}, each line with its time in milliseconds since the start. */
final class Recorder {
    private static final long START_NANOS = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Milliseconds since the start of the case. */
    static double nowMs() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    synchronized void line(String format, Object... values) {
        String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
        out.println(String.format(Locale.ROOT, "%10.1f  %s", nowMs(), text));
    }
}
