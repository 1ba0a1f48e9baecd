import java.io.IOException;
import java.io.InputStream;

/** Lines that end in CRLF, and their flags. */
final class Lines {
    private Lines() {}

    /** Reads a line and returns it without its end; null at the end of the input. */
    static String read(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) b);
        }
        return null;
    }

    /** Returns the flag with this letter, its letter included; an empty text if there is none. */
    static String flag(String[] tokens, char letter) {
        for (int i = tokens[0].equals("ms") ? 3 : 2; i < tokens.length; i++) {
            if (!tokens[i].isEmpty() && tokens[i].charAt(0) == letter) {
                return tokens[i];
            }
        }
        return "";
    }
}
