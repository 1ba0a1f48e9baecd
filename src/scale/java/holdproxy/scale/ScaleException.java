package holdproxy.scale;

/** What keeps a scale run from being done as asked: told in one line, with exit code 2. */
public final class ScaleException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public ScaleException(String message) {
        super(message);
    }
}
