package holdproxy;

/** The SplitMix64 random number generator; its numbers depend on the seed alone. */
final class SplitMix64 {
    private long state;

    SplitMix64(long seed) {
        state = seed;
    }

    /** Returns 64 random bits. */
    long nextLong() {
        state += 0x9e3779b97f4a7c15L;
        return Blue.mix(state);
    }

    /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
    double nextDouble() {
        return Blue.toUnitInterval(nextLong());
    }
}
