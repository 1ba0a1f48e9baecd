package holdproxy.cluster;

/**
 * Thrown for a datagram that is not a valid message of this protocol version and group. The message text names
 * the check that failed: {@code length}, {@code magic}, {@code version}, {@code checksum}, {@code group},
 * {@code member}, {@code incarnation}, {@code state} or {@code type}.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
