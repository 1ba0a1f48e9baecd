package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One client connection. Each request gets one answer, and answers are written in the order of the requests. */
final class ClientSession extends SimpleChannelInboundHandler<Object>
        implements AnswerQueue.Listener, InputThrottle.Session, GracefulClose.Session {
    /** The size of the smallest buffer for a read of the socket, in bytes. */
    private static final int MIN_READ_BYTES = 64;
    /** The size of the buffer for the first read of a socket, in bytes. */
    private static final int FIRST_READ_BYTES = 2 << 10;
    /** The most bytes of one read of the socket, by which a session may exceed its limit on undecoded bytes. */
    static final int MAX_READ_BYTES = 16 << 10;
    /** The most reads of one pass of the event loop: 1 MiB, so that a disconnect behind much input is noticed soon. */
    private static final int MAX_READS_PER_PASS = 64;
    /**
     * Answers given during one pass are written each by itself up to this number, since a failed write shows that the
     * client has gone, and together beyond it.
     */
    private static final int MAX_SEPARATE_ANSWERS = 8;
    /** Answers that the client has not read after this time do not keep its connection open. */
    private static final int MAX_WRITE_MS = 3000;
    /** How long nothing is decoded after an invalid command. */
    private static final int FAULT_PAUSE_MS = 500;

    /**
     * When the connection was opened, in microseconds on the proxy's clock like the other points in time below. This
     * and the next four fields are kept for {@link Admission}.
     */
    long openedUs;
    /** The pass of the event loop in which the connection was opened. */
    long openedPass;
    /** When the session last became idle. */
    long idleSinceUs;
    /** When the command that has not arrived completely began. */
    long partialSinceUs;
    /** Whether the client has sent another request after the session had become idle. */
    boolean usedAgain;

    private final Proxy proxy;
    private final Command.Decoder decoder;
    private final AnswerQueue answers;
    private final InputThrottle throttle;
    private final GracefulClose closer;
    private Channel channel;
    /** The connection exceeds the limit, so its requests are refused. */
    private boolean refusingRequests;
    /** Nothing more is read from the socket, since a command did not end or none was valid in time. */
    private boolean inputEnded;
    /** Commands of the current read may still be in the decoder. */
    private boolean inRead;
    /** A complete command has arrived in the current read. */
    private boolean commandInRead;
    /** The client has sent a valid command. */
    private boolean firstCommandSeen;
    /** Nothing is decoded for a while after an invalid command. */
    private boolean pausedAfterFault;
    /** The client broke the framing, so nothing more can be decoded. */
    private boolean framingLost;
    /** Whether the close no longer waits for the rest of a command that has arrived in part. */
    private boolean partialIgnored;
    /** A task that closes the connection although its last answers are not written is scheduled. */
    private boolean writeTimeoutScheduled;

    /** How the sockets of clients are read. */
    static RecvByteBufAllocator receiveBuffers() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(MAX_READS_PER_PASS);
    }

    /** Undecoded bytes of this session. */
    int undecodedBytes() {
        return decoder.undecodedBytes();
    }

    ClientSession(Proxy proxy, Command.Decoder decoder) {
        this.proxy = proxy;
        this.decoder = decoder;
        answers = new AnswerQueue(proxy.unwrittenAnswers, this);
        throttle = new InputThrottle(proxy, decoder, answers, this);
        closer = new GracefulClose(this, proxy::now);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        answers.setChannel(channel);
        throttle.setChannel(channel);
        closer.setChannel(channel);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        proxy.admission.onOpened(this);
    }

    /** Whether no request is unanswered. */
    boolean isIdle() {
        return answers.unanswered() == 0;
    }

    /** The number of requests without an answer. */
    int unanswered() {
        return answers.unanswered();
    }

    /** The connection exceeds the limit: its requests are refused, and it is closed after the first one. */
    void refuseRequests() {
        refusingRequests = true;
    }

    /** Refuses what has arrived on a connection that has just been accepted, and closes it at once. */
    void refuseAndClose() {
        readInput();
        if (!closeIfQuiet(CloseReason.LIMIT, false)) {
            abort(CloseReason.LIMIT);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (framingLost) {
            return; // what follows an error in the framing are no commands
        }
        inRead = true;
        commandInRead = true;
        throttle.onCommand();
        if (!firstCommandSeen && !(message instanceof Command.Fault)) {
            firstCommandSeen = true;
            proxy.admission.onFirstCommand(this);
        }
        answers.writeTogether(throttle.commandsInPass() > MAX_SEPARATE_ANSWERS && !(message instanceof Command.Fault));
        proxy.admission.onCommand(this);
        if (throttle.isRefusing() && mayRefuse(message)) {
            answers.addAnswered(message instanceof Command.NoOp ? "MN" : proxy.busyAnswer());
        } else {
            handle(message);
        }
        throttle.apply();
    }

    /** Whether a message may be answered with a refusal; an invalid command and an id in use are errors. */
    private boolean mayRefuse(Object message) {
        return !(message instanceof Command.Fault) && !(message instanceof Command command && proxy.isIdInUse(command));
    }

    private void handle(Object message) {
        AnswerQueue.Slot slot = answers.add();
        if (refusingRequests && !(message instanceof Command.Fault)) {
            closer.request(CloseReason.LIMIT);
        }
        if (refusingRequests && mayRefuse(message)) {
            answer(slot, proxy.busyAnswer());
        } else if (message instanceof Command command) {
            proxy.handleRequest(this, slot, command, throttle.decodeDelayUs());
        } else if (message instanceof Command.Refused) {
            answer(slot, proxy.busyAnswer());
        } else if (message instanceof Command.NoOp) {
            answer(slot, "MN");
        } else if (message instanceof Command.Fault fault) {
            handleFault(slot, fault);
        }
    }

    /**
     * Answers an invalid command with an error line, and then decodes nothing for a while. Otherwise clients that
     * repeat an invalid command as soon as it is answered or the connection is closed, or that send 60 MB after one,
     * would take processor time from all others. If the framing is lost, the connection is closed after that time.
     * Before the exit of the process there is no such pause, since what it holds up would get no answer.
     */
    private void handleFault(AnswerQueue.Slot slot, Command.Fault fault) {
        if (fault.framingLost()) {
            framingLost = true;
            closer.request(CloseReason.FRAMING);
        } else if (closer.reason() == CloseReason.NO_FIRST_COMMAND) {
            endInput(); // a client that goes on with invalid commands could keep the connection open
        }
        if (framingLost || !partialIgnored && !proxy.isAboutToExit()) {
            pauseAfterFault();
        }
        answer(slot, fault.line());
    }

    /** Decodes nothing for a while. */
    private void pauseAfterFault() {
        pausedAfterFault = true;
        channel.eventLoop()
                .schedule(
                        () -> {
                            pausedAfterFault = false;
                            throttle.apply();
                        },
                        FAULT_PAUSE_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Sends an error line and closes the connection, because a command has taken too long to arrive. Nothing is read
     * any more, so that the client may send elsewhere what it sends behind that command.
     */
    void failPartialCommand(String line) {
        AnswerQueue.Slot slot = answers.add();
        closer.request(CloseReason.INCOMPLETE_COMMAND);
        endInput();
        answer(slot, line);
    }

    /** Reads nothing any more, and waits for no rest of a command. What has been read is answered. */
    private void endInput() {
        partialIgnored = true;
        inputEnded = true;
        throttle.apply();
    }

    /** Whether a command has arrived in part, and the rest of it is waited for. */
    boolean isInPartialCommand() {
        return !framingLost && !decoder.isHeld() && decoder.hasPartialMessage();
    }

    /** Reads what has arrived since the socket was last read. */
    void readInput() {
        closer.readInput();
    }

    /** After each read while decoding is held: stops the reads of the current pass once the limit is reached. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == MetaDecoder.InputBuffered.INSTANCE) {
            throttle.apply();
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        inRead = false;
        throttle.onReadComplete();
        answers.writeTogether(false);
        // While decoding is held, the rest of a partial command may already be in the buffer.
        proxy.admission.onRead(this, isInPartialCommand(), commandInRead);
        commandInRead = false;
        throttle.apply();
        closer.closeIfDone();
    }

    /** Whether the client may have disconnected unnoticed, behind input that has not been read for a while. */
    boolean mayHaveDisconnected() {
        return throttle.mayHaveDisconnected();
    }

    @Override
    public boolean isDecodable() {
        return !framingLost && !pausedAfterFault;
    }

    @Override
    public boolean isPausedAfterFault() {
        return pausedAfterFault;
    }

    @Override
    public boolean mayReadSocket() {
        return !inputEnded && !closer.hasBegun();
    }

    @Override
    public void onInputRead() {
        closer.closeIfDone();
    }

    @Override
    public long receivedBytes() {
        return decoder.receivedBytes();
    }

    @Override
    public void onInputAtClose() {
        proxy.closeLog.onInputAtClose();
    }

    @Override
    public void onCloseBegun() {
        throttle.apply();
        proxy.closeLog.onClosed(closer.reason(), List.of());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        answers.write();
        throttle.apply();
    }

    /** Answers with a line, given without its end. */
    void answer(AnswerQueue.Slot slot, String line) {
        answer(slot, AnswerQueue.line(line));
    }

    /** Answers one request; the answer is sent after those of all earlier requests. Further answers are ignored. */
    void answer(AnswerQueue.Slot slot, ByteBuf answer) {
        if (!answers.answer(slot, answer)) {
            return;
        }
        if (isIdle()) {
            onAllAnswered();
        }
        proxy.unwrittenAnswers.reclaim();
    }

    /** Every request that has arrived is answered, though not all answers may be written. */
    private void onAllAnswered() {
        if (framingLost) {
            int delayMs = answers.isWriting() ? MAX_WRITE_MS : FAULT_PAUSE_MS;
            channel.eventLoop().schedule(() -> abort(CloseReason.FRAMING), delayMs, TimeUnit.MILLISECONDS);
        } else if (closer.isRequested()) {
            scheduleWriteTimeout();
            closer.closeIfDone();
        } else if (answers.isWriting()) {
            channel.eventLoop().schedule(this::reportIdle, MAX_WRITE_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void onAnswersPassedOn() {
        throttle.apply();
    }

    @Override
    public void onAllWritten() {
        closer.onAllWritten(answers.passedOnBytes());
        closer.closeIfDone();
        reportIdle();
    }

    /** Closes the connection although its last answers are not written, if the client does not read them for long. */
    private void scheduleWriteTimeout() {
        if (writeTimeoutScheduled || !answers.isWriting()) {
            return;
        }
        writeTimeoutScheduled = true;
        channel.eventLoop()
                .schedule(
                        () -> {
                            writeTimeoutScheduled = false;
                            if (isIdle() && answers.isWriting()) {
                                abort(CloseReason.UNREAD_ANSWERS);
                            }
                        },
                        MAX_WRITE_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Reports the session as idle. That requires that its answers have been written to the kernel, because closing
     * an idle session to make room would lose unwritten answers. After {@link #MAX_WRITE_MS} it is idle in any case.
     */
    private void reportIdle() {
        if (isIdle() && !framingLost && !closer.isRequested() && channel.isActive()) {
            proxy.onSessionIdle(this);
        }
    }

    /** Bytes of answers that have not been passed to Netty yet. */
    long waitingBytes() {
        return answers.waitingBytes();
    }

    /** Bytes of answers that have not been written to the kernel yet. */
    long unwrittenBytes() {
        return answers.unwrittenBytes();
    }

    /**
     * Frees memory of waiting answers at the cost of one request. If they wait for an open request, that one gets its
     * final answer now; if they wait for the client to read, the last value is replaced by an error line. Returns
     * false if neither is possible.
     */
    boolean reclaimWaiting() {
        if (!channel.isActive()) {
            answers.drop(); // the connection has just ended, and its answers are about to be released
            return true;
        }
        Exchange blocking = answers.blockingRequest();
        if (blocking == null) {
            return answers.dropLastValue();
        }
        proxy.giveUp(blocking);
        return true;
    }

    /** Closes the connection at once and drops its answers. */
    void abort(CloseReason reason) {
        if (channel.isActive()) {
            proxy.closeLog.onClosed(reason, answers.openIds());
        }
        answers.drop();
        channel.close();
    }

    /** Closes the connection once everything that arrives until then is answered. */
    void closeWhenAnswered(CloseReason reason) {
        closer.request(reason);
        scheduleWriteTimeout();
        closer.closeIfDone();
    }

    /** Closes the connection once everything that has arrived is answered, without waiting for the client. */
    void closeBeforeExit() {
        closer.request(CloseReason.DRAIN);
        partialIgnored = true;
        pausedAfterFault = false;
        throttle.apply();
        closer.closeIfDone();
    }

    /**
     * Closes the connection if no request has arrived on it. Returns whether it is being closed. Answers that the
     * client has not read for long do not keep the connection open.
     *
     * @param withLinger whether the last answers are given the time to reach the client
     */
    boolean closeIfQuiet(CloseReason reason, boolean withLinger) {
        boolean hasUnreadAnswers = isIdle() && answers.isWriting();
        if (!hasUnreadAnswers) {
            return closer.closeIfQuiet(reason, withLinger);
        }
        if (withLinger) {
            closeWhenAnswered(reason);
        } else {
            abort(reason);
        }
        return true;
    }

    /** Whether nothing is left to answer or to read, of what a close waits for. */
    @Override
    public boolean owesNothing() {
        return isIdle() && !answers.isWriting() && !framingLost && !inRead && hasReadEverything();
    }

    /** Whether no command is left to read or to decode, of those that the close waits for. */
    private boolean hasReadEverything() {
        if (!inputEnded && throttle.mayHaveUnreadInput()) {
            return false;
        }
        return !decoder.hasPartialMessage() || partialIgnored && !decoder.isHeld();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        proxy.onSessionClosed(this);
        throttle.release();
        answers.clear(proxy::onClientGone);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // An error on one client connection affects no other.
        if (channel.isActive()) {
            proxy.closeLog.onClosed(CloseReason.ERROR, answers.openIds());
        }
        ctx.close();
    }
}
