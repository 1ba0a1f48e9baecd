package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * The requests of one client connection and their answers, which are written in the order of the requests. An answer
 * stays here until the connection takes it, so that its memory can still be freed.
 */
final class AnswerQueue {
    private static final String CRLF = "\r\n";
    /** The most answers that share a place and are passed on together. */
    private static final int MAX_REPEATS_PER_WRITE = 256;
    /** The answer to a request whose value was dropped to free memory. */
    private static final String DROPPED_VALUE_ANSWER = "SERVER_ERROR failed";

    /** Is told of the answers' progress. */
    interface Listener {
        /** Answers have been passed to Netty, so the queue has become shorter. */
        void onAnswersPassedOn();

        /** Every answer has been written to the kernel, and no request is in the queue. */
        void onAllWritten();
    }

    /** The place of one request in the order of the answers. */
    static final class Slot {
        /** Null until the request is answered. */
        private ByteBuf answer;
        /** The open request; null if the proxy answers without the router, and once it is answered. */
        private Exchange exchange;
        /** The number of further requests with the same answer that follow this one. */
        private int repeats;

        /** The request of this place has been opened; until it is answered it can be given up. */
        void open(Exchange request) {
            exchange = request;
        }
    }

    private final UnwrittenAnswers account;
    private final Listener listener;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    /** Null until the connection is open. */
    private Channel channel;
    /** Requests without an answer. */
    private int unanswered;
    /** Answers are being passed to Netty, which may call back. */
    private boolean writing;
    /** Answers are collected, to be written together. */
    private boolean collecting;
    /** Answers that have been passed to Netty and not been written to the kernel yet. */
    private int pendingWrites;
    /** Bytes of answers that have not been passed to Netty yet. */
    private long waitingBytes;
    /** Bytes of answers that have not been written to the kernel yet, the waiting ones included. */
    private long unwrittenBytes;
    /** Bytes of all answers that have been passed to Netty. */
    private long passedOnBytes;
    /** The connection was closed to free memory, and its answers no longer count. */
    private boolean dropped;

    /**
     * Creates an empty queue.
     *
     * @param account counts the unwritten bytes of all connections
     */
    AnswerQueue(UnwrittenAnswers account, Listener listener) {
        this.account = account;
        this.listener = listener;
    }

    /** Sets the connection, before the first request. */
    void setChannel(Channel opened) {
        channel = opened;
    }

    /** Adds a request that has arrived. */
    Slot add() {
        Slot slot = new Slot();
        slots.add(slot);
        unanswered++;
        return slot;
    }

    /**
     * Adds a request that is answered with this line at once. Such requests in a row share one place, because a client
     * may send any number of them behind an open request.
     *
     * @param line the answer, given without its end
     */
    void addAnswered(String line) {
        ByteBuf answer = line(line);
        Slot last = slots.peekLast();
        if (last != null && answer.equals(last.answer)) {
            answer.release();
            last.repeats++;
        } else {
            answer(add(), answer);
        }
    }

    /** The number of requests in the queue: those without an answer, and those whose answers wait behind them. */
    int size() {
        return slots.size();
    }

    /** The number of requests without an answer. */
    int unanswered() {
        return unanswered;
    }

    /** Whether an answer has not been written to the kernel yet, or a request is without one. */
    boolean isWriting() {
        return pendingWrites > 0 || !slots.isEmpty();
    }

    /** Bytes of answers that have not been passed to Netty yet. */
    long waitingBytes() {
        return waitingBytes;
    }

    /** Bytes of all answers that have been passed to Netty since the connection was opened. */
    long passedOnBytes() {
        return passedOnBytes;
    }

    /** The ids of the requests that have no answer and were not answered without the router. */
    List<String> openIds() {
        return slots.stream()
                .filter(slot -> slot.exchange != null)
                .map(slot -> slot.exchange.command.opaque)
                .toList();
    }

    /** Bytes of answers that have not been written to the kernel yet. */
    long unwrittenBytes() {
        return unwrittenBytes;
    }

    /** Encodes an answer that is a line, given without its end. */
    static ByteBuf line(String text) {
        return Unpooled.copiedBuffer(text + CRLF, StandardCharsets.ISO_8859_1);
    }

    /**
     * Answers one request. Returns false, and releases the answer, if the request has one already or the connection is
     * closed.
     */
    boolean answer(Slot slot, ByteBuf answer) {
        if (slot.answer != null || !channel.isActive()) {
            answer.release();
            return false;
        }
        slot.answer = answer;
        slot.exchange = null;
        unanswered--;
        waitingBytes += answer.readableBytes();
        addUnwritten(answer.readableBytes());
        write();
        return true;
    }

    /**
     * Has the answers that are given from now on collected, or writes those that were. A read may contain thousands of
     * commands that are answered at once, and a system call for each answer would take longer than all the rest.
     */
    void writeTogether(boolean collect) {
        collecting = collect;
        write();
    }

    /** Passes answers to Netty, up to the first open request, and only as fast as the client takes them. */
    void write() {
        if (writing || collecting) {
            return;
        }
        writing = true;
        boolean anyPassedOn = false;
        while (mayWrite()) {
            while (mayWrite()) {
                passOn(takeAnswer());
            }
            channel.flush();
            anyPassedOn = true;
        }
        writing = false;
        if (anyPassedOn) {
            listener.onAnswersPassedOn();
        }
    }

    private boolean mayWrite() {
        return !slots.isEmpty() && slots.peek().answer != null && channel.isWritable() && channel.isActive();
    }

    /** Takes the first answer, or some of those that share its place. */
    private ByteBuf takeAnswer() {
        Slot first = slots.peek();
        if (first.repeats == 0) {
            return slots.poll().answer;
        }
        int count = Math.min(first.repeats, MAX_REPEATS_PER_WRITE);
        first.repeats -= count;
        String line = first.answer.toString(StandardCharsets.ISO_8859_1);
        ByteBuf answers = Unpooled.copiedBuffer(line.repeat(count), StandardCharsets.ISO_8859_1);
        waitingBytes += answers.readableBytes();
        addUnwritten(answers.readableBytes());
        return answers;
    }

    private void passOn(ByteBuf answer) {
        int size = answer.readableBytes();
        waitingBytes -= size;
        passedOnBytes += size;
        pendingWrites++;
        channel.write(answer).addListener(written -> {
            addUnwritten(-size);
            pendingWrites--;
            if (!isWriting()) {
                listener.onAllWritten();
            }
        });
    }

    /** Adds to the bytes of unwritten answers, here and in the account of all connections. */
    private void addUnwritten(int change) {
        if (!dropped) {
            unwrittenBytes += change;
            account.add(change);
        }
    }

    /** The open request that all waiting answers wait for; null if they wait for the client to read. */
    Exchange blockingRequest() {
        Slot head = slots.peek();
        return head == null ? null : head.exchange;
    }

    /** Replaces the last value that waits by an error line. Returns false if no value waits. */
    boolean dropLastValue() {
        for (Iterator<Slot> newestFirst = slots.descendingIterator(); newestFirst.hasNext(); ) {
            Slot slot = newestFirst.next();
            if (slot.answer != null && slot.answer.readableBytes() > DROPPED_VALUE_ANSWER.length() + CRLF.length()) {
                dropValue(slot);
                return true;
            }
        }
        return false;
    }

    private void dropValue(Slot slot) {
        int freed = slot.answer.readableBytes();
        slot.answer.release();
        slot.answer = line(DROPPED_VALUE_ANSWER);
        int change = slot.answer.readableBytes() - freed;
        waitingBytes += change;
        addUnwritten(change);
    }

    /** The connection is being closed: its answers no longer count, although Netty frees some a little later. */
    void drop() {
        account.add(-unwrittenBytes);
        unwrittenBytes = 0;
        waitingBytes = 0;
        dropped = true;
    }

    /** The connection is closed: releases the answers that wait, and hands over the open requests. */
    void clear(Consumer<Exchange> onOpenRequest) {
        drop();
        for (Slot slot : slots) {
            if (slot.answer != null) {
                slot.answer.release();
            } else if (slot.exchange != null) {
                onOpenRequest.accept(slot.exchange);
            }
        }
        slots.clear();
    }
}
