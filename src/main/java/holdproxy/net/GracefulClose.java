package holdproxy.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Ends a client connection so that no request on it is read and left without an answer. Whether something is left to
 * answer is checked at the moment of the close, after another read of the socket: what an earlier pass of the event
 * loop found may be outdated, since the process may have been held up. After that read nothing more is read. If a
 * request has arrived nevertheless, the kernel resets the connection, and the client may send the request again.
 */
final class GracefulClose {
    /** How often the socket is read in a row while requests arrive that are answered at once. */
    private static final int MAX_READS = 4;
    /** The time in which a client's kernel certainly receives what it has room for, in microseconds. */
    private static final long DELIVERY_US = 50_000;
    /** The time for answers that the client's kernel may have no room for, in microseconds. */
    private static final long SLOW_DELIVERY_US = 500_000;
    /** Bytes that a client's kernel takes although the client does not read: the usual initial window of TCP. */
    private static final int RECEIVE_WINDOW_BYTES = 64 << 10;

    /** The session whose connection is ended. */
    interface Session {
        /**
         * Whether every request that was read is answered, all answers have been written to the kernel, and the rest of
         * a command is not waited for.
         */
        boolean owesNothing();

        /** Whether the socket may be read. */
        boolean mayReadSocket();

        /** The bytes that have been read from the socket so far. */
        long receivedBytes();

        /** Input had arrived by the time of the close, and has been read. */
        void onInputAtClose();

        /** The connection is about to end; nothing is read any more. */
        void onCloseBegun();
    }

    private final Session session;
    private final LongSupplier clock;
    /** Null until the connection is open. */
    private Channel channel;
    /** Why the connection is to be closed once nothing is owed; null if it is not. */
    private CloseReason requested;
    /** The connection is being ended, and nothing is read any more. */
    private boolean begun;
    /** The socket is being read. */
    private boolean reading;
    /** A task that closes the connection is scheduled. */
    private boolean closeScheduled;

    /** When the last answer was written to the kernel; on the proxy's clock, like all points in time here. */
    private long lastWrittenUs = -SLOW_DELIVERY_US;
    /** The bytes of all answers that had been written then. */
    private long writtenBytes;
    /** The bytes of all answers that the client's kernel has certainly received. */
    private long deliveredBytes;

    /**
     * Creates an instance for an open connection.
     *
     * @param clock the proxy's clock, in microseconds
     */
    GracefulClose(Session session, LongSupplier clock) {
        this.session = session;
        this.clock = clock;
    }

    /** Sets the connection, before the first input. */
    void setChannel(Channel opened) {
        channel = opened;
    }

    /**
     * All answers have been written to the kernel.
     *
     * @param bytes the bytes of all answers so far
     */
    void onAllWritten(long bytes) {
        long now = clock.getAsLong();
        if (now - lastWrittenUs > SLOW_DELIVERY_US) {
            deliveredBytes = writtenBytes;
        }
        lastWrittenUs = now;
        writtenBytes = bytes;
    }

    /** Has the connection closed once nothing is owed. A later call does not change the reason. */
    void request(CloseReason reason) {
        requested = requested == null ? reason : requested;
    }

    /** Whether the connection is to be closed once nothing is owed. */
    boolean isRequested() {
        return requested != null;
    }

    /** Why the connection is to be closed; null if it is not. */
    CloseReason reason() {
        return requested;
    }

    /** Whether the connection is being ended. */
    boolean hasBegun() {
        return begun;
    }

    /** Closes the connection soon if that was requested and nothing is owed then. */
    void closeIfDone() {
        if (isRequested() && !closeScheduled && mayClose()) {
            closeScheduled = true;
            // As a task: while the loop handles the sockets that were found ready, it may read this one once more.
            channel.eventLoop().execute(this::closeNowIfDone);
        }
    }

    private void closeNowIfDone() {
        closeScheduled = false;
        for (int i = 0; i < MAX_READS && mayClose(); i++) {
            if (readInput()) {
                session.onInputAtClose();
            } else if (mayClose()) {
                end(lingerUs());
            }
        }
        closeIfDone();
    }

    /**
     * Closes the connection if nothing is owed and no input has arrived. Returns whether it is being closed, by the
     * proxy or the client; if not, the input that has arrived was processed. Must be called in a task, unless {@code
     * withLinger} is false.
     *
     * @param withLinger whether the last answers are given the time to reach the client
     */
    boolean closeIfQuiet(CloseReason reason, boolean withLinger) {
        if (mayClose() && readInput()) {
            session.onInputAtClose();
            return false;
        }
        if (mayClose()) {
            request(reason);
            end(withLinger ? lingerUs() : 0);
            return true;
        }
        return !channel.isActive();
    }

    /** Reads the socket, unless it must not be read. Returns whether anything arrived. */
    boolean readInput() {
        boolean mayRead = session.mayReadSocket() && channel.config().isAutoRead();
        if (!mayRead || !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket)) {
            return false;
        }
        long before = session.receivedBytes();
        reading = true;
        try {
            socket.read();
        } finally {
            reading = false;
        }
        closeIfDone(); // what was read may have been answered already
        return session.receivedBytes() != before;
    }

    private boolean mayClose() {
        return !begun && !reading && channel.isActive() && session.owesNothing();
    }

    /** How long the last answers may still need to reach the client. A reset would overtake them. */
    private long lingerUs() {
        boolean fits = writtenBytes - deliveredBytes <= RECEIVE_WINDOW_BYTES;
        long neededUs = fits ? DELIVERY_US : SLOW_DELIVERY_US;
        return Math.max(0, neededUs - (clock.getAsLong() - lastWrittenUs));
    }

    /**
     * Ends the connection: at once, or after a while in which the client sees the end of the output. Closing a socket
     * with unread input makes the kernel send a reset.
     */
    private void end(long lingerUs) {
        begun = true;
        session.onCloseBegun();
        if (lingerUs == 0) {
            channel.close();
            return;
        }
        ((DuplexChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), lingerUs, TimeUnit.MICROSECONDS);
    }
}
