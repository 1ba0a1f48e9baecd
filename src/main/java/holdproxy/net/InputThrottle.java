package holdproxy.net;

import io.netty.channel.Channel;

/**
 * Bounds what the input of one client may take, of memory and of the event loop's time. While a client has many
 * unanswered requests or does not read its answers, nothing is decoded. Further input is still read from the socket and
 * buffered undecoded, because the client's disconnect comes behind it and would otherwise go unnoticed. Beyond a limit,
 * requests are refused as they arrive. What is decoded in one pass of the event loop is limited as well.
 *
 * <p>Points in time are microseconds on the proxy's clock.
 */
final class InputThrottle {
    /** While this many requests are unanswered, no further ones are decoded. */
    private static final int MAX_UNANSWERED = 128;
    /** While this many places for answers are taken, no further requests are refused either. */
    private static final int MAX_ANSWER_PLACES = 4096;
    /** Undecoded bytes that every session may buffer; more only within a budget that all sessions share. */
    static final int MAX_UNDECODED_BYTES = 16 << 10;
    /**
     * While the socket is not read only because other connections have their turn, the client counts as connected for
     * this time. An attempt must not start later than 0.1 s after its client has disconnected.
     */
    private static final long MAX_UNREAD_US = 30_000;

    /** The session whose input is bounded. */
    interface Session {
        /** Whether what is buffered may be decoded, now or once earlier requests are answered. */
        boolean isDecodable();

        /** Whether nothing is decoded for a while after an invalid command. */
        boolean isPausedAfterFault();

        /** Whether the session itself allows the socket to be read. */
        boolean mayReadSocket();

        /** Input that may have waited in the socket has been read. */
        void onInputRead();
    }

    private final Proxy proxy;
    private final Command.Decoder decoder;
    private final AnswerQueue answers;
    private final Session session;
    /** Null until the connection is open. */
    private Channel channel;
    /** Input may have arrived that was not read from the socket. */
    private boolean mayHaveUnreadInput;
    /** Since when that may be so. */
    private long unreadSinceUs;
    /** It was not read because too much was buffered. */
    private boolean hasTooMuchInput;
    /** A task that looks whether that input has been read is scheduled. */
    private boolean unreadCheckScheduled;
    /** Input was read since the last such look. */
    private boolean readSinceCheck;
    /** More requests have arrived than may be buffered, so they are refused until the socket has been read empty. */
    private boolean refusing;
    /** A task that resumes decoding is scheduled. */
    private boolean resumeScheduled;
    /** The cost of the commands decoded since decoding began or was resumed; see {@link DecodeBudget}. */
    private int costInPass;
    /** The number of these commands. */
    private int commandsInPass;
    /** When the bytes behind an invalid command arrived; 0 if there are none. */
    private long undecodedSinceUs;
    /** How long the bytes that are being decoded had to wait behind an invalid command. */
    private long decodeDelayUs;
    /** The undecoded bytes beyond {@link #MAX_UNDECODED_BYTES}, which count towards the shared budget. */
    private int sharedUndecodedBytes;

    /** Creates a throttle that stops nothing yet. */
    InputThrottle(Proxy proxy, Command.Decoder decoder, AnswerQueue answers, Session session) {
        this.proxy = proxy;
        this.decoder = decoder;
        this.answers = answers;
        this.session = session;
    }

    /** Sets the connection, before the first input. */
    void setChannel(Channel opened) {
        channel = opened;
    }

    /** A command has been decoded. */
    void onCommand() {
        commandsInPass++;
        costInPass += proxy.decodeBudget.charge(decoder.lastLineBytes());
    }

    /** The number of commands decoded since decoding began or was resumed. */
    int commandsInPass() {
        return commandsInPass;
    }

    /** How long the command that is being handled had to wait behind an invalid one, in microseconds. */
    long decodeDelayUs() {
        return decodeDelayUs;
    }

    /** Whether requests are refused as they arrive, because more have arrived than may be buffered. */
    boolean isRefusing() {
        return refusing;
    }

    /** The reads of one pass are over. */
    void onReadComplete() {
        readSinceCheck = true;
        if (!hasUsedUpPass()) {
            resetCost();
        }
        if (session.isPausedAfterFault() && undecodedSinceUs == 0 && decoder.undecodedBytes() > 0) {
            undecodedSinceUs = proxy.now();
        }
    }

    /** Stops or resumes decoding and reading, as the limits require now. */
    void apply() {
        boolean hasRoom = reserveUndecoded();
        refusing |= !hasRoom && session.isDecodable();
        if (mustHold() || hasUsedUpPass()) {
            decoder.hold();
        }
        if (decoder.isHeld() && (hasUsedUpPass() || !mustHold()) && !resumeScheduled) {
            resumeScheduled = true;
            proxy.decodeBudget.runInNextPass(this::resumeDecoding);
        }
        boolean mayRead = hasRoom && !hasUsedUpPass() && session.mayReadSocket();
        if (!mayRead) {
            unreadSinceUs = mayHaveUnreadInput ? unreadSinceUs : proxy.now();
            mayHaveUnreadInput = true;
            hasTooMuchInput |= !hasRoom;
        }
        channel.config().setAutoRead(mayRead);
        if (mayRead && mayHaveUnreadInput && !unreadCheckScheduled) {
            checkOnceInputIsRead();
        }
    }

    /** Looks again once the loop has had the time to read what the socket holds, with the disconnect behind it. */
    private void checkOnceInputIsRead() {
        unreadCheckScheduled = true;
        readSinceCheck = false;
        proxy.catchUp.begin();
        proxy.catchUp.runWhenCaughtUp(this::endUnreadInput);
    }

    /** The socket has been read empty, unless input still comes or too much is buffered again. */
    private void endUnreadInput() {
        unreadCheckScheduled = false;
        if (!channel.config().isAutoRead()) {
            return; // the next apply() that lets the socket be read looks again
        }
        if (readSinceCheck && channel.isActive()) {
            checkOnceInputIsRead();
            return;
        }
        mayHaveUnreadInput = false;
        hasTooMuchInput = false;
        refusing = false;
        apply();
        session.onInputRead();
    }

    /** Whether the client may have disconnected unnoticed, behind input that has not been read for a while. */
    boolean mayHaveDisconnected() {
        return mayHaveUnreadInput && (hasTooMuchInput || proxy.now() - unreadSinceUs > MAX_UNREAD_US);
    }

    /**
     * Charges the undecoded bytes beyond the session's own limit to the shared budget. Returns whether more may be
     * buffered.
     */
    private boolean reserveUndecoded() {
        boolean decodable = session.isDecodable();
        int excess = decoder.isHeld() && channel.isActive()
                ? Math.max(0, decoder.undecodedBytes() - MAX_UNDECODED_BYTES)
                : 0;
        if (excess > sharedUndecodedBytes
                && (!decodable || !proxy.undecodedBudget.tryReserve(excess - sharedUndecodedBytes))) {
            return false;
        }
        proxy.undecodedBudget.release(Math.max(0, sharedUndecodedBytes - excess));
        sharedUndecodedBytes = excess;
        return excess == 0 || decodable;
    }

    /** Whether no further command may be decoded for now. */
    private boolean mustHold() {
        if (!session.isDecodable()) {
            return true;
        }
        return refusing
                ? answers.size() >= MAX_ANSWER_PLACES
                : answers.size() >= MAX_UNANSWERED || !channel.isWritable();
    }

    /** Whether so much was decoded in this pass of the event loop that the next command has to wait. */
    private boolean hasUsedUpPass() {
        return costInPass > 0 && (costInPass >= DecodeBudget.MAX_COST_PER_SESSION || proxy.decodeBudget.isUsedUp());
    }

    private void resetCost() {
        costInPass = 0;
        commandsInPass = 0;
    }

    /** Decodes buffered input again, unless it must still be held. */
    private void resumeDecoding() {
        resumeScheduled = false;
        resetCost();
        if (channel.isActive() && !mustHold()) {
            decodeDelayUs = undecodedSinceUs == 0 ? 0 : proxy.now() - undecodedSinceUs;
            decoder.resume(channel.pipeline().context(decoder));
            decodeDelayUs = 0;
            undecodedSinceUs = decoder.isHeld() ? undecodedSinceUs : 0;
        } else {
            apply();
        }
    }

    /** Whether input may have arrived that was not read from the socket. */
    boolean mayHaveUnreadInput() {
        return mayHaveUnreadInput;
    }

    /** The connection is closed, so its undecoded bytes no longer count. */
    void release() {
        proxy.undecodedBudget.release(sharedUndecodedBytes);
        sharedUndecodedBytes = 0;
    }
}
