package holdproxy;

/** A value that decays exponentially from its last update: a count, a reported value or a BLUE probability. */
final class DecayingValue {
    private double decayUs;
    private double value;
    private long updatedAt;

    /** Creates a value of 0 that decays to 1/e in {@code decayUs} microseconds. */
    DecayingValue(double decayUs) {
        this.decayUs = decayUs;
    }

    /** Returns {@code count} new values of 0 with the same decay time in microseconds. */
    static DecayingValue[] createArray(int count, double decayUs) {
        DecayingValue[] values = new DecayingValue[count];
        for (int i = 0; i < count; i++) {
            values[i] = new DecayingValue(decayUs);
        }
        return values;
    }

    /** Returns the decayed value at the given time. */
    double get(long now) {
        return Blue.decayed(value, updatedAt, now, decayUs);
    }

    /** Adds a positive or negative step, limits the value to the range from 0 to {@code max}, and returns it. */
    double add(double step, double max, long now) {
        set(Math.max(0, Math.min(max, get(now) + step)), now);
        return value;
    }

    /** Counts one event and returns the new count. */
    double count(long now) {
        return add(1, Double.MAX_VALUE, now);
    }

    /** Sets the time in microseconds in which the value decays to 1/e; it applies from the last update. */
    void setDecayUs(double newDecayUs) {
        decayUs = newDecayUs;
    }

    /** Replaces the value. */
    void set(double newValue, long now) {
        value = newValue;
        updatedAt = now;
    }
}
