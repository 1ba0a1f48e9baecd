package holdproxy;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds the reply to one batch. Each action becomes a record of the instance that was last set by
 * {@link #setInstance}.
 */
final class FrameWriter implements Router.Actions {
    // Codes of the records, under the names that the simulator's wire format gives them.
    static final int SEND = 80;
    static final int SHED = 81;
    static final int FINISH_ERROR = 82;
    static final int RETRACT = 83;
    static final int WAKE_ME = 84;
    static final int INSPECT = 85;
    static final int LET_GO = 86;
    static final int MEMO_TO = 87;
    static final int RELOAD = 91;
    static final int JOURNAL_LINE = 88;
    static final int BUG = 89;
    static final int SUBSCRIBE = 90;
    /** The header of a reply: the number of the batch, the number of records, and their total length. */
    static final int REPLY_HEADER_BYTES = 12;
    /** Longer texts are cut off at this many bytes. */
    private static final int MAX_TEXT_BYTES = 2000;

    private byte[] bytes = new byte[1 << 16];
    private int position = REPLY_HEADER_BYTES;
    private int recordCount;
    private int instanceNumber;

    /** Sets the instance of the records that follow. */
    void setInstance(int number) {
        instanceNumber = number;
    }

    /** Writes the reply with a single call and starts the next one. */
    void flush(int batchNumber, OutputStream out) throws IOException {
        int size = position;
        position = 0;
        put(batchNumber, 4);
        put(recordCount, 4);
        put(size - REPLY_HEADER_BYTES, 4);
        out.write(bytes, 0, size);
        out.flush();
        position = REPLY_HEADER_BYTES;
        recordCount = 0;
    }

    /** Appends the low {@code width} bytes of a number. */
    private void put(long value, int width) {
        for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) {
            bytes[position++] = (byte) (value >>> shift);
        }
    }

    /** Appends a time, given in microseconds, as a double in milliseconds. */
    private void putMillis(long us) {
        put(Double.doubleToRawLongBits(us / 1000.0), 8);
    }

    /** Begins a record and makes room for its fields, which are {@code fieldBytes} long. */
    private void beginRecord(int code, int fieldBytes) {
        if (position + fieldBytes + 16 > bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * bytes.length + fieldBytes);
        }
        bytes[position++] = (byte) code;
        put(4 + fieldBytes, 4);
        put(instanceNumber, 4);
        recordCount++;
    }

    /** Appends a record with a single text. */
    private void writeText(int code, String text) {
        byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(encoded.length, MAX_TEXT_BYTES);
        beginRecord(code, 2 + length);
        put(length, 2);
        System.arraycopy(encoded, 0, bytes, position, length);
        position += length;
    }

    @Override
    public void send(long request, int node, long timeoutUs) {
        beginRecord(SEND, 20);
        put(request, 8);
        put(node, 4);
        putMillis(timeoutUs);
    }

    @Override
    public void refuse(long request, long retryAfterUs) {
        beginRecord(SHED, 16);
        put(request, 8);
        putMillis(retryAfterUs);
    }

    @Override
    public void fail(long request) {
        beginRecord(FINISH_ERROR, 8);
        put(request, 8);
    }

    @Override
    public void cancel(long request, int attempt) {
        beginRecord(RETRACT, 9);
        put(request, 8);
        put(attempt, 1);
    }

    @Override
    public void setTimer(long delayUs, long label) {
        beginRecord(WAKE_ME, 16);
        putMillis(delayUs);
        put(label, 8);
    }

    @Override
    public void probe(int node) {
        beginRecord(INSPECT, 4);
        put(node, 4);
    }

    @Override
    public void closeIdleConnections(int node) {
        beginRecord(LET_GO, 4);
        put(node, 4);
    }

    @Override
    public void subscribe() {
        beginRecord(SUBSCRIBE, 1);
        put(1, 1);
    }

    @Override
    public void fetchNodes() {
        beginRecord(RELOAD, 0);
    }

    @Override
    public void sendToPeer(int router, byte[] data) {
        beginRecord(MEMO_TO, 4 + data.length);
        put(router, 2);
        put(data.length, 2);
        System.arraycopy(data, 0, bytes, position, data.length);
        position += data.length;
    }

    @Override
    public void log(String line) {
        writeText(JOURNAL_LINE, line);
    }

    /** Reports an exception in the router. */
    void reportBug(String cause) {
        writeText(BUG, cause);
    }
}
