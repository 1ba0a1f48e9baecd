package holdproxy;

import java.util.Arrays;

/**
 * Table of hashed buckets in several levels, as stochastic fair BLUE uses for its probabilities. Each bucket holds a
 * value and the time of its last update, and values decay exponentially. With counts as values it serves as a
 * count-min sketch.
 */
final class Blue {
    private final int levels;
    private final int buckets;
    private double decayUs;
    private final float[] values;
    private final long[] updated;
    private long seed;

    /**
     * Creates an empty table.
     *
     * @param levels the number of independently hashed levels
     * @param buckets the number of buckets per level, a power of two
     * @param decayUs the time in microseconds in which a value decays to 1/e
     * @param seed selects the hash function
     */
    Blue(int levels, int buckets, double decayUs, long seed) {
        this.levels = levels;
        this.buckets = buckets;
        this.decayUs = decayUs;
        this.seed = seed;
        values = new float[levels * buckets];
        updated = new long[levels * buckets];
    }

    /** Returns a well-distributed hash of a number: the finalizer of SplitMix64. */
    static long mix(long hash) {
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 31;
    }

    /** Maps a hash to a number from 0 (inclusive) to 1 (exclusive). */
    static double toUnitInterval(long hash) {
        return (hash >>> 11) * 0x1p-53;
    }

    /** Returns what remains at {@code now} of a value that was set at {@code updatedAt}. */
    static double decayed(double value, long updatedAt, long now, double decayUs) {
        return value == 0 ? 0 : value * Math.exp((updatedAt - now) / decayUs);
    }

    /** Derives the bucket of each level from one hash by double hashing after Kirsch and Mitzenmacher. */
    private int bucket(long hash, int level) {
        int levelHash = (int) hash + level * ((int) (hash >>> 32) | 1);
        return level * buckets + (levelHash & buckets - 1);
    }

    /** Returns the smallest value of the id's buckets over all levels. */
    double min(long id, long now) {
        long hash = mix(id ^ seed);
        double smallest = Double.MAX_VALUE;
        for (int level = 0; level < levels && smallest > 0; level++) {
            int index = bucket(hash, level);
            smallest = Math.min(smallest, decayed(values[index], updated[index], now, decayUs));
        }
        return smallest;
    }

    /** Adds a positive or negative step to the id's bucket of each level; the result stays from 0 to {@code max}. */
    void add(long id, double step, double max, long now) {
        long hash = mix(id ^ seed);
        for (int level = 0; level < levels; level++) {
            int index = bucket(hash, level);
            double sum = decayed(values[index], updated[index], now, decayUs) + step;
            values[index] = (float) Math.max(0, Math.min(max, sum));
            updated[index] = now;
        }
    }

    /** Sets the time in microseconds in which a value decays to 1/e; it applies from each bucket's last update. */
    void setDecayUs(double newDecayUs) {
        decayUs = newDecayUs;
    }

    /** Clears all values and changes the hash function. */
    void reset(long newSeed) {
        Arrays.fill(values, 0);
        seed = newSeed;
    }
}
