package stand2;

import java.util.HashMap;
import java.util.Map;

/** One {@code mg} or {@code ms} command as a cache node receives it. */
final class Command {
    final boolean isWrite;
    final String key;
    /** The id, without the letter of its flag. */
    final String id;
    /** The names and values of the {@code P} flag. */
    final Map<String, String> fields = new HashMap<>();
    /** When the last byte had come, on the clock of {@link Recorder}. */
    double arrivedMs;
    byte[] value;

    Command(String line) {
        String[] tokens = line.split(" ");
        isWrite = tokens[0].equals("ms");
        key = tokens[1];
        String foundId = "";
        for (int i = 2; i < tokens.length; i++) {
            if (tokens[i].startsWith("O")) {
                foundId = tokens[i].substring(1);
            } else if (tokens[i].startsWith("P")) {
                readFields(tokens[i].substring(1));
            }
        }
        id = foundId;
    }

    private void readFields(String text) {
        for (String field : text.split(",")) {
            int separator = field.indexOf('=');
            if (separator > 0) {
                fields.put(field.substring(0, separator), field.substring(separator + 1));
            }
        }
    }

    /** The length of the data block that the line of an {@code ms} command states. */
    static int valueLength(String line) {
        return Integer.parseInt(line.split(" ")[2]);
    }

    /** The answer of a cache node that serves the command: a value or a receipt. */
    String served() {
        return isWrite ? "HD O" + id + " c" + Math.abs(id.hashCode()) + "\r\n" : "VA 5 O" + id + " h1\r\nhello\r\n";
    }
}
