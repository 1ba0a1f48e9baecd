package stand2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines and blocks from a socket. */
final class Lines {
    private final InputStream in;

    Lines(InputStream in) {
        this.in = in;
    }

    /** Reads a line without its end; null at the end of the input. */
    String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads a block with the line end behind it; null at the end of the input. */
    byte[] block(int length) throws IOException {
        byte[] block = in.readNBytes(length);
        byte[] end = in.readNBytes(2);
        return block.length == length && end.length == 2 ? block : null;
    }
}
