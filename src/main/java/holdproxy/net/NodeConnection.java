package holdproxy.net;

import holdproxy.Router;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.List;

/**
 * One connection to a cache node and the attempts assigned to it. The node answers in the order of the requests,
 * so the first attempt in the queue is the one whose answer is due.
 */
final class NodeConnection extends SimpleChannelInboundHandler<Answer> {
    /** The longest time that may pass between two reads of one answer; see {@link #stallTimeoutUs}. */
    private static final long MAX_STALL_US = 300_000;

    final NodePool pool;
    private final Answer.Decoder decoder;
    /** The attempts that have not been answered, in the order of their requests. */
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();

    private Channel channel;
    /** Whether the connection has been established. */
    private boolean connected;
    /** Whether a request was written on this connection. */
    private boolean wasUsed;

    private boolean closed;
    /**
     * Whether no further attempts are assigned to this connection. This is the case after an attempt on it was
     * given up, because another request would have to wait behind that attempt's answer.
     */
    private boolean retired;
    /** Whether the last pending attempt was answered and the read that contained the answer is still in progress. */
    private boolean becomingIdle;
    /** The id of the last answer, by which a duplicate of that answer is recognized and discarded. */
    private String lastAnswerId;
    /** Tells whether an error line is certainly the answer to the attempt whose turn it is. */
    private final AnswerOrder answerOrder = new AnswerOrder();
    /** The timer that closes the connection if an answer that has begun does not continue; null if none is due. */
    private Future<?> stallTimer;

    NodeConnection(NodePool pool, Answer.Decoder decoder) {
        this.pool = pool;
        this.decoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Returns the number of attempts that have not been answered, those that were given up included. */
    int attemptCount() {
        return attempts.size();
    }

    /** Adds the attempts that have not been written and have not ended to the given list. */
    void collectUnwritten(List<Attempt> unwritten) {
        for (Attempt attempt : attempts) {
            if (!attempt.writeStarted && !attempt.ended) {
                unwritten.add(attempt);
            }
        }
    }

    /** Returns whether a further attempt may be assigned, which may be while the connection is being opened. */
    boolean isUsable() {
        return !closed && !retired && (!connected || channel.isActive());
    }

    /** Whether an error line on this connection need not be the answer to the attempt whose turn it is. */
    boolean mayReadLateCopies() {
        return answerOrder.mayReadCopies(pool.pools.proxy.now());
    }

    /** Assigns an attempt to this connection and writes its command as soon as possible. */
    void add(Attempt attempt) {
        attempt.connection = this;
        attempts.add(attempt);
        writeNext();
    }

    /**
     * Writes the first attempt that is not fully written, unless that write is in progress. Commands are written
     * one at a time, so the attempts before it have been written to the socket.
     */
    private void writeNext() {
        for (Attempt attempt : attempts) {
            if (!attempt.written) {
                writeIfReady(attempt, false);
                return;
            }
        }
    }

    /**
     * Writes the command of an attempt if it may be written now. All commands are written here. An attempt whose
     * request ends before that is removed from the queue and never sent.
     *
     * @param caughtUp whether the attempt has already waited for the event loop to catch up after a pause
     */
    private void writeIfReady(Attempt attempt, boolean caughtUp) {
        Proxy proxy = pool.pools.proxy;
        if (!connected || closed || attempt.writeStarted || attempt.ended) {
            return;
        }
        if (proxy.mustCatchUp(caughtUp)) {
            proxy.catchUp.runWhenCaughtUp(() -> writeIfReady(attempt, true));
            return;
        }
        if (attempt.exchange.session.mayHaveDisconnected()) {
            proxy.withdraw(attempt);
            return;
        }
        attempt.writeStarted = true;
        wasUsed = true;
        long remainingUs = attempt.waitUs - (proxy.now() - attempt.sentUs);
        channel.writeAndFlush(attempt.exchange.command.encode(channel.alloc(), remainingUs))
                .addListener(writing -> {
                    attempt.written = writing.isSuccess();
                    writeNext();
                });
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        connected = true;
        writeNext();
    }

    /** Called when the connection was established or could not be. */
    void onConnectFinished(ChannelFuture connecting) {
        if (!connecting.isSuccess()) {
            onClosed();
        }
    }

    /**
     * Stops waiting for an attempt. If no other attempt on the connection is waiting for an answer, the connection
     * is closed, which informs the node. Otherwise the connection is retired, and the late answer is read in its
     * turn and discarded. It stays in the queue until then, since the client of the next attempt would otherwise
     * receive the value of another request.
     *
     * @return whether the node may execute or have executed the request; if false, the request may be sent to
     *     another node, and its bytes are not written here any more
     */
    boolean giveUp(Attempt attempt) {
        attempt.ended = true;
        if (!attempt.writeStarted) {
            attempts.remove(attempt);
            if (wasUsed && !retired && attempts.isEmpty() && !decoder.hasPartialMessage()) {
                if (!becomingIdle) {
                    pool.addIdle(this); // Back to the state before this attempt was assigned.
                }
            } else if (attempts.stream().allMatch(other -> other.ended)) {
                close();
            } else {
                writeNext();
            }
            return false;
        }
        retired = true;
        if (attempts.stream().anyMatch(other -> !other.ended)) {
            return true;
        }
        boolean written = attempt.written;
        close();
        return written;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Answer answer) {
        cancelStallTimer();
        if (closed) {
            return;
        }
        Attempt due = attempts.peek();
        if (due == null) {
            close(); // An unsolicited answer. Later ones could not be told from the answer of the next request.
            return;
        }
        if (!answer.broken
                && answer.opaque != null
                && answer.opaque.equals(lastAnswerId)
                && !lastAnswerId.equals(due.exchange.command.opaque)) {
            retired = true; // A duplicate of the previous answer. The one that is due may still follow.
            return;
        }
        if (answer.broken || !due.written || answer.outcome == Router.Outcome.OK && !isAnswerTo(answer, due)) {
            onProtocolViolation(
                    answer.broken ? Config.printable(answer.casFlag) : "the answer does not match the request");
            return;
        }
        retired |= answer.rejected; // The node may close the connection or may have read only part of the request.
        attempts.poll();
        lastAnswerId = answer.opaque;
        Router.Outcome outcome = outcomeOf(answer, due);
        becomingIdle = attempts.isEmpty();
        if (!due.ended) {
            finish(due, outcome, answer);
        }
        if (retired && attempts.stream().allMatch(other -> other.ended)) {
            close();
        }
    }

    /**
     * Returns the outcome that an answer gives its attempt, which is no longer in the queue. A refusal that may not be
     * the attempt's own answer does not prove that the node did not run the request, which matters unless the request
     * may be repeated. Nor does it prove that every node would find the request invalid.
     */
    private Router.Outcome outcomeOf(Answer answer, Attempt due) {
        if (answer.opaque != null) {
            answerOrder.recordIdentified();
            return answer.outcome;
        }
        Attempt next = attempts.peek();
        boolean othersAwaitAnswers = next != null && next.written;
        boolean isCertain = answerOrder.recordUnidentified(pool.pools.proxy.now(), othersAwaitAnswers);
        answer.rejected &= isCertain;
        boolean isUnproven = !isCertain && answer.outcome.neverRan && !pool.pools.mayRepeat(due);
        return isUnproven ? Router.Outcome.ERROR : answer.outcome;
    }

    /**
     * Returns the connection to the pool if its last attempt was answered. This waits for the end of the read
     * because bytes that follow the answer in the same read would otherwise be taken for the answer to the next
     * request. The node might then execute that request without its answer being used.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean partial = decoder.hasPartialMessage();
        if (becomingIdle && !closed) {
            becomingIdle = false;
            if (attempts.isEmpty() && (partial || retired)) {
                close();
            } else if (attempts.isEmpty()) {
                pool.addIdle(this);
            }
        }
        cancelStallTimer();
        if (partial && !closed && attempts.isEmpty()) {
            close(); // No request awaits the partial answer, and the next answer would be read as its continuation.
        } else if (partial && !closed) {
            stallTimer = pool.pools.schedule(
                    stallTimeoutUs(pool.pools.targetUs(attempts.peek())),
                    () -> onProtocolViolation("the answer stalled before its end"));
        }
        ctx.fireChannelReadComplete();
    }

    /**
     * Handles an answer that cannot be used. The connection is closed, since further answers cannot be assigned to
     * their requests. The node may have executed the request whose answer was due. Its attempt ends as a broken
     * connection, because the fault says nothing about the node's load.
     */
    private void onProtocolViolation(String reason) {
        pool.pools.log.line("node " + pool.name + " violated the protocol: " + reason);
        Attempt due = attempts.poll();
        if (due != null) {
            finish(due, due.writeStarted ? Router.Outcome.RESET : due.connectionLossOutcome(), null);
        }
        close();
    }

    /** Has the connection closed instead of becoming idle if its last attempt was answered in the current read. */
    void retireIfBecomingIdle() {
        retired |= becomingIdle;
    }

    private void cancelStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
        }
    }

    /**
     * Returns how long an answer that has begun may stall, in microseconds. An answer that stalls was truncated or
     * states a wrong length. This has to be detected while another node can still answer in time, so the limit is
     * at most half of the request's latency target.
     */
    static long stallTimeoutUs(long targetUs) {
        return Math.min(MAX_STALL_US, targetUs / 2);
    }

    /** Returns whether an answer has the id of the attempt's request and is of the kind that this request expects. */
    private static boolean isAnswerTo(Answer answer, Attempt attempt) {
        Command command = attempt.exchange.command;
        boolean sameKind = command.isWrite ? answer.value == null && answer.casFlag != null : answer.value != null;
        return sameKind && command.opaque.equals(answer.opaque);
    }

    private void finish(Attempt attempt, Router.Outcome outcome, Answer answer) {
        if (!attempt.ended) {
            attempt.ended = true;
            pool.pools.proxy.onAttemptEnded(attempt, outcome, answer);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }

    /**
     * Closes the connection and ends all attempts on it. The command of each was either written, so the node may
     * execute it, or will never be written.
     */
    void close() {
        // The channel is null if no socket could be created, which onConnectFinished is about to report.
        if (!closed && channel != null) {
            channel.close();
        }
        onClosed();
    }

    private void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        cancelStallTimer();
        pool.remove(this);
        while (!attempts.isEmpty()) {
            Attempt attempt = attempts.poll();
            finish(attempt, attempt.connectionLossOutcome(), null);
        }
    }
}
