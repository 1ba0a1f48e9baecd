package holdproxy.cluster;

/** A datagram that is no message of this version, group or size; the text tells which check it failed. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
