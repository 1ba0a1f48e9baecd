package holdproxy.net;

/** Why the proxy closes a client connection. */
enum CloseReason {
    /** No request for a long time. */
    IDLE("idle"),
    /** Idle for a short time, while too many connections are open. */
    SURPLUS("surplus"),
    /** No valid command since the connection was opened. */
    NO_FIRST_COMMAND("no first command"),
    /** Closed to make room for a new connection. */
    ROOM("room for another"),
    /** Opened beyond the limit; its requests were refused. */
    LIMIT("limit"),
    /** A command did not end in time. */
    INCOMPLETE_COMMAND("incomplete command"),
    /** The client broke the framing. */
    FRAMING("lost framing"),
    /** Its unread answers take too much memory. */
    MEMORY("memory"),
    /** The client did not read its last answers in time. */
    UNREAD_ANSWERS("unread answers"),
    /** Reading or writing failed. */
    ERROR("error"),
    /** The process is about to exit. */
    DRAIN("drain");

    private final String text;

    CloseReason(String text) {
        this.text = text;
    }

    /** The name in log lines. */
    @Override
    public String toString() {
        return text;
    }
}
