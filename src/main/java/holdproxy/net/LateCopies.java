package holdproxy.net;

/**
 * Tells whether an answer without an id on one connection may be a late copy of an earlier one.
 *
 * <p>A cache node's answer may arrive a second time, some milliseconds after the first. A copy with an id is recognized
 * by it. Error lines have none, so a copy of one cannot be told from the answer to the next request. If a copy was
 * taken for that answer, the true answers follow one place late, until one with an id shows to which request it
 * belongs. All times are microseconds on the proxy's clock.
 */
final class LateCopies {
    /** The longest time between an answer and its copy on the network; the protocol says "some milliseconds". */
    private static final long MAX_NETWORK_DELAY_US = 50_000;
    /** The longest time for which this process may be held up, with a copy that has arrived still unread. */
    private static final long MAX_HOLD_UP_US = 150_000;
    /** How long after an answer without an id a copy of it may still be read. */
    static final long WINDOW_US = MAX_NETWORK_DELAY_US + MAX_HOLD_UP_US;

    /** Whether an answer without an id has been read. */
    private boolean anyUnidentified;
    /** When the last answer without an id was read. */
    private long lastUnidentifiedUs;
    /** Whether a copy may have been taken for the answer to a request, whose true answer would still follow. */
    private boolean answersMayBeShifted;

    /** Whether an answer without an id that is read now need not be the answer to the request whose turn it is. */
    boolean arePossible(long nowUs) {
        return answersMayBeShifted || anyUnidentified && nowUs - lastUnidentifiedUs < WINDOW_US;
    }

    /** Records an answer without an id. */
    void onUnidentifiedAnswer(long nowUs) {
        answersMayBeShifted = arePossible(nowUs);
        anyUnidentified = true;
        lastUnidentifiedUs = nowUs;
    }

    /** Records an answer with the id of the request whose turn it was, so no answer before it is missing. */
    void onIdentifiedAnswer() {
        answersMayBeShifted = false;
    }
}
