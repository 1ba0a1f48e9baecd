package holdproxy.net;

/** A limit on the bytes that all connections together may hold for one purpose. */
final class ByteBudget {
    private final long limit;
    private long reserved;

    ByteBudget(long limit) {
        this.limit = limit;
    }

    /** Reserves bytes; returns false and reserves nothing if the limit would be exceeded. */
    boolean tryReserve(long bytes) {
        if (reserved + bytes > limit) {
            return false;
        }
        reserved += bytes;
        return true;
    }

    /** Returns bytes that were reserved. */
    void release(long bytes) {
        reserved -= bytes;
    }
}
