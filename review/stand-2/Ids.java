package stand2;

import java.util.concurrent.atomic.AtomicLong;

/** New ids of requests. */
final class Ids {
    private static final AtomicLong NEXT = new AtomicLong(0x9b1f03aa00000000L);

    private Ids() {}

    static String next() {
        return Long.toHexString(NEXT.incrementAndGet());
    }
}
