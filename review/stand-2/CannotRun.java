package stand2;

/** The case could not run, which says nothing about the rule. */
final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRun(String message) {
        super(message);
    }
}
