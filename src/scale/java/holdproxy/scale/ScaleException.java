package holdproxy.scale;

/** Reports why a scale run is not possible as requested. The message is printed as one line; the exit code is 2. */
public final class ScaleException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** Creates an exception with the message to print. */
    public ScaleException(String message) {
        super(message);
    }
}
