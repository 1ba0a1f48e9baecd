package holdproxy;

/** Invalid input or configuration. The message says on one line what is wrong and where. */
public final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line. */
    public BadInput(String message) {
        super(message);
    }
}
