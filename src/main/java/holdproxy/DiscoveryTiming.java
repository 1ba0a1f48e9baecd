package holdproxy;

/**
 * The times of the calls to discovery. A change counts as known {@link #CHANGE_KNOWN_WITHIN_US} after a watch fell
 * silent, and as long after discovery had it and could be reached. The waits that follow one another on the way to the
 * list add up to less than that. All times are in microseconds.
 */
public final class DiscoveryTiming {
    /** The protocol's limit on the time until a change counts as known. */
    public static final long CHANGE_KNOWN_WITHIN_US = 6_000_000;
    /** On a watch an empty line comes after this time if nothing has changed. */
    public static final long EMPTY_LINE_INTERVAL_US = 2_000_000;
    /** The longest time that a call waits for its turn before discovery fails it. */
    public static final long MAX_CALL_WAIT_US = 3_000_000;
    /** The longest time for which a process may be held up. */
    static final long HOLD_UP_US = 150_000;
    /** How much later than due an empty line may be read: a hold-up at either end, or the network. */
    static final long EMPTY_LINE_TOLERANCE_US = 250_000;

    /** A watch that says nothing for this long has to be opened anew. */
    public static final long WATCH_SILENCE_US = EMPTY_LINE_INTERVAL_US + EMPTY_LINE_TOLERANCE_US;

    /** The longest delay of a call after one that may be lost. */
    static final long RETRY_MAX_DELAY_US = 500_000;

    /** If the first list of a call has not come after this time, the call may be lost, and a second one is made. */
    public static final long CALL_SILENCE_US = CHANGE_KNOWN_WITHIN_US - RETRY_MAX_DELAY_US - MAX_CALL_WAIT_US;

    /** The longest delay of the call that replaces a silent watch: what the silence and the call's wait leave. */
    static final long SILENT_WATCH_MAX_DELAY_US =
            CHANGE_KNOWN_WITHIN_US - WATCH_SILENCE_US - MAX_CALL_WAIT_US - HOLD_UP_US;

    private DiscoveryTiming() {}
}
