package holdproxy;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;

/**
 * Reads big-endian fields from a range of a byte array. A read past the end of the range throws {@link BadInput}.
 */
final class FrameReader {
    private static final VarHandle SHORT = view(short[].class);
    private static final VarHandle INT = view(int[].class);
    private static final VarHandle LONG = view(long[].class);

    private byte[] source;
    private int position;
    private int end;
    /** Names the range in messages. */
    private String rangeName = "frame";

    private static VarHandle view(Class<?> type) {
        return MethodHandles.byteArrayViewVarHandle(type, ByteOrder.BIG_ENDIAN);
    }

    /**
     * Sets the range to read from.
     *
     * @param from the index of the first byte
     * @param to the index after the last byte
     * @param name names the range in messages
     */
    void setRange(byte[] bytes, int from, int to, String name) {
        source = bytes;
        position = from;
        end = to;
        rangeName = name;
    }

    /** The index of the next byte to read. */
    int position() {
        return position;
    }

    /** The number of bytes left to read. */
    int remaining() {
        return end - position;
    }

    /** Advances the position by {@code count} bytes and returns the old one; throws {@link BadInput} past the end. */
    private int advance(int count) {
        if (count < 0 || count > end - position) {
            throw new BadInput(rangeName + " is too short: " + count + " bytes needed, " + (end - position) + " left");
        }
        int start = position;
        position += count;
        return start;
    }

    int u8() {
        return source[advance(1)] & 0xff;
    }

    int u16() {
        return (short) SHORT.get(source, advance(2)) & 0xffff;
    }

    int i32() {
        return (int) INT.get(source, advance(4));
    }

    /** Reads an unsigned 32-bit number that must fit an int: a count, a length or an index. */
    int u31() {
        int value = i32();
        if (value < 0) {
            throw new BadInput(rangeName + " has an impossible number " + (value & 0xffffffffL));
        }
        return value;
    }

    long i64() {
        return (long) LONG.get(source, advance(8));
    }

    double f64() {
        return Double.longBitsToDouble(i64());
    }

    float f32() {
        return Float.intBitsToFloat(i32());
    }

    /** Reads a time or duration in milliseconds, a double on the wire, and returns it in microseconds. */
    long micros() {
        double ms = f64();
        if (!(Math.abs(ms) < 1e12)) {
            throw new BadInput(rangeName + " has an impossible time " + ms);
        }
        return Math.round(ms * 1000);
    }

    /** Reads a number of bytes into a new array. */
    byte[] bytes(int count) {
        int start = advance(count);
        return java.util.Arrays.copyOfRange(source, start, start + count);
    }

    /** Reads a UTF-8 text that is {@code byteCount} bytes long. */
    String text(int byteCount) {
        int start = advance(byteCount);
        return new String(source, start, byteCount, java.nio.charset.StandardCharsets.UTF_8);
    }
}
