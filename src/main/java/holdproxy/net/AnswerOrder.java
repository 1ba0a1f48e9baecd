package holdproxy.net;

/**
 * Tells whether an answer without an id on one connection is certainly the answer to the attempt whose turn it is.
 * Values and receipts have an id; error lines have none and are assigned by their order. Everything that depends on an
 * error line being the answer to one attempt asks here.
 *
 * <p>A cache node's answer may arrive a second time, some milliseconds after the first. A copy with an id is recognized
 * by it, but a copy of an error line cannot be told from the answer to the next request. If a copy was taken for that
 * answer, the true answers follow one place late, until one with an id shows to which request it belongs.
 *
 * <p>An answer may also get lost. While several attempts await their answers, an error line may therefore be the answer
 * to any of them. All times are microseconds on the proxy's clock.
 */
final class AnswerOrder {
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

    /** Whether an answer without an id that is read now may be a copy of an earlier one, or one place late. */
    boolean mayReadCopies(long nowUs) {
        return answersMayBeShifted || anyUnidentified && nowUs - lastUnidentifiedUs < WINDOW_US;
    }

    /**
     * Records an answer without an id; returns whether it certainly belongs to the attempt whose turn it is.
     *
     * @param othersAwaitAnswers whether the node has got further commands on the connection that are not answered
     */
    boolean recordUnidentified(long nowUs, boolean othersAwaitAnswers) {
        answersMayBeShifted = mayReadCopies(nowUs);
        anyUnidentified = true;
        lastUnidentifiedUs = nowUs;
        return !answersMayBeShifted && !othersAwaitAnswers;
    }

    /** Records an answer with the id of the request whose turn it was, so no answer before it is missing. */
    void recordIdentified() {
        answersMayBeShifted = false;
    }
}
