package holdproxy;

import java.util.Arrays;

/**
 * One datagram between proxies: version, period in seconds and number of tenants named, a byte each; epoch
 * (another for each life of the sender) and sequence number, four bytes each; then floats cut to their upper
 * two bytes: the ratio to their even share that tenants not named are at most at, and for each tenant named,
 * in order, as a varint how many tenants lie between it and the one before, and its requests a second. Values
 * are held in whole units, so that sums of them are the same in any order.
 */
final class RatesMessage {
    static final int VERSION = 1;
    static final int HEAD = 13;
    static final int LONGEST = 256;
    static final int PERIOD_MOST_S = 60;
    /** Requests a second, and ratios: more is no message of ours. */
    static final float MOST = 0x1p23f;
    static final double UNIT = 1024;

    int periodS;
    final int epoch;
    final int sequence;
    /** In units, as the rates. */
    long bound;
    int named;
    final int[] tenant;
    final long[] rate;
    /** With the receiver: until when it counts, and its sender's newest of the epoch before, 0 for none. */
    long until;
    int formerEpoch;
    int formerSequence;

    /** {@code most}: tenants that it may name. */
    RatesMessage(int most, int epoch, int sequence) {
        this.epoch = epoch;
        this.sequence = sequence;
        tenant = new int[most];
        rate = new long[most];
    }

    /**
     * Whether it is newer than its sender's last, null where there is none. Late ones of the life before are
     * known by their numbers too; one that was never seen counts until the next of the present life.
     */
    boolean replaces(RatesMessage last) {
        if (last == null) {
            return true;
        }
        boolean restarted = epoch != last.epoch;
        boolean newer = !restarted ? sequence - last.sequence > 0 // numbers wrap around
                : epoch != last.formerEpoch || sequence - last.formerSequence > 0;
        formerEpoch = restarted ? last.epoch : last.formerEpoch;
        formerSequence = restarted ? last.sequence : last.formerSequence;
        return newer;
    }

    /** How many tenants fit into so many bytes, whichever of all they are. */
    static int fitting(int bytes, int tenants) {
        return (bytes - HEAD) / (tenants <= 1 << 7 ? 3 : tenants <= 1 << 14 ? 4 : 5);
    }

    /** Names a further tenant, behind those named. */
    void add(int number, double perS) {
        tenant[named] = number;
        rate[named++] = units(perS);
    }

    static long units(double value) {
        return Math.round(value(compact(value)) * UNIT);
    }

    byte[] bytes() {
        byte[] data = new byte[LONGEST];
        int at = HEAD;
        int before = -1;
        for (int i = 0; i < named; i++) {
            int gap = tenant[i] - before - 1;
            for (; gap > 0x7f; gap >>>= 7) {
                data[at++] = (byte) (gap | 0x80);
            }
            data[at++] = (byte) gap;
            at = put(data, at, compact(rate[i] / UNIT), 2);
            before = tenant[i];
        }
        data[0] = VERSION;
        data[1] = (byte) periodS;
        data[2] = (byte) named;
        put(data, 3, epoch, 4);
        put(data, 7, sequence, 4);
        put(data, 11, compact(bound / UNIT), 2);
        return Arrays.copyOf(data, at);
    }

    /** What the bytes say; null where they are cut, of another version, or name what cannot be. */
    static RatesMessage read(byte[] data, int tenants) {
        if (data.length < HEAD || data.length > LONGEST || data[0] != VERSION || data[1] < 1
                || data[1] > PERIOD_MOST_S || data[2] < 0 || !inRange(data, 11)) {
            return null;
        }
        RatesMessage m = new RatesMessage(data[2], number(data, 3, 4), number(data, 7, 4));
        m.periodS = data[1];
        m.bound = Math.round(value(number(data, 11, 2)) * UNIT);
        int at = HEAD;
        int next = 0;
        while (m.named < data[2]) {
            int gap = 0;
            int shift = 0;
            do {
                if (at + 3 > data.length || shift > 14) {
                    return null;
                }
                gap |= (data[at] & 0x7f) << shift;
                shift += 7;
            } while (data[at++] < 0);
            next += gap;
            if (next >= tenants || !inRange(data, at)) {
                return null;
            }
            m.tenant[m.named] = next++;
            m.rate[m.named++] = Math.round(value(number(data, at, 2)) * UNIT);
            at += 2;
        }
        return at == data.length ? m : null;
    }

    /** The upper half of a float's bits, rounded up. */
    private static int compact(double value) {
        return Float.floatToIntBits((float) Math.min(MOST, value)) + 0xffff >>> 16;
    }

    private static float value(int compact) {
        return Float.intBitsToFloat(compact << 16);
    }

    private static boolean inRange(byte[] data, int at) {
        float v = value(number(data, at, 2));
        return v >= 0 && v <= MOST; // which no NaN is
    }

    private static int put(byte[] data, int at, int value, int bytes) {
        for (int i = 0; i < bytes; i++) {
            data[at + i] = (byte) (value >>> 8 * (bytes - 1 - i));
        }
        return at + bytes;
    }

    private static int number(byte[] data, int at, int bytes) {
        int value = 0;
        for (int i = 0; i < bytes; i++) {
            value = value << 8 | data[at + i] & 0xff;
        }
        return value;
    }
}
