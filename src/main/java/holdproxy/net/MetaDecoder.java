package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The framing of the memcache text protocol: lines, some followed by a data block of a stated length. */
abstract class MetaDecoder extends ByteToMessageDecoder {
    /** The longest line in bytes, without its line feed. */
    static final int MAX_LINE_BYTES = 2048;
    /** The block length of a line that no block follows. */
    static final int NO_BLOCK = -1;

    /** The length of the line end behind a block. */
    private static final int BLOCK_END_BYTES = 2;

    /** The event after a read whose input was buffered undecoded. */
    enum InputBuffered {
        /** The only instance; the event has no content. */
        INSTANCE
    }

    private final int maxBlockBytes;
    private final ByteBudget budget;
    /** The length of the block that is arriving; {@link #NO_BLOCK} if none is. */
    private int blockLength = NO_BLOCK;
    /** The block that is arriving; null if none is, and if the block is discarded as it arrives. */
    private byte[] block;
    /** How many bytes of the block have arrived. */
    private int blockBytesRead;
    /** The peer broke the framing, so all further input is discarded. */
    private boolean framingLost;
    /** Decoding is stopped until {@link #resume}. */
    private boolean held;
    /** The length of the line that was decoded last. */
    private int lastLineBytes;
    /** The bytes that have been read so far. */
    private long receivedBytes;

    /**
     * Creates a decoder.
     *
     * @param maxBlockBytes the longest block in bytes
     * @param budget limits the bytes of the blocks that are arriving on all connections of this kind
     */
    MetaDecoder(int maxBlockBytes, ByteBudget budget) {
        this.maxBlockBytes = maxBlockBytes;
        this.budget = budget;
        setCumulator(CompactCumulator.INSTANCE);
    }

    /** Whether a message has arrived in part. */
    final boolean hasPartialMessage() {
        return !framingLost && (blockLength != NO_BLOCK || actualReadableBytes() > 0);
    }

    /**
     * Adds input, and decodes it unless decoding is stopped. One pass of the event loop may add many reads of the
     * socket, and while decoding is stopped no message tells the next handler of them: an event after each read does.
     */
    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        receivedBytes += ((ByteBuf) message).readableBytes();
        super.channelRead(ctx, message);
        if (held) {
            ctx.fireUserEventTriggered(InputBuffered.INSTANCE);
        }
    }

    /**
     * Passes the end of a read on. While decoding is stopped, the next handler alone decides about further reads: the
     * superclass would ask for one after every read from which nothing was decoded.
     */
    @Override
    public final void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (held) {
            ctx.fireChannelReadComplete();
        } else {
            super.channelReadComplete(ctx);
        }
    }

    /** Buffers input undecoded until {@link #resume}; it is discarded if the peer disconnects before. */
    final void hold() {
        held = true;
    }

    /** Whether decoding is stopped. */
    final boolean isHeld() {
        return held;
    }

    /** The number of bytes that have arrived and are not decoded. */
    final int undecodedBytes() {
        return actualReadableBytes();
    }

    /** The number of bytes that have been read since the connection was opened. */
    final long receivedBytes() {
        return receivedBytes;
    }

    /** The length of the line that was decoded last, in bytes. */
    final int lastLineBytes() {
        return lastLineBytes;
    }

    /** The size of the buffer in which undecoded bytes wait. */
    final int bufferCapacity() {
        return internalBuffer().capacity();
    }

    /** Decodes the buffered input and continues. */
    final void resume(ChannelHandlerContext ctx) {
        held = false;
        try {
            channelRead(ctx, Unpooled.EMPTY_BUFFER);
            channelReadComplete(ctx);
        } catch (Exception e) {
            ctx.fireExceptionCaught(e);
        }
    }

    /**
     * Handles a line, given without its end. Returns the length of the block that follows, {@link #NO_BLOCK}, or a
     * lower number if the stated length is invalid.
     */
    abstract int handleLine(String line, List<Object> out);

    /** Handles a complete data block. */
    abstract void handleBlock(byte[] value, List<Object> out);

    /** Whether a block for which the budget has no room is discarded as it arrives; if not, the framing is lost. */
    boolean discardsBlocks() {
        return false;
    }

    /** Handles the end of a data block that was discarded. */
    void handleDiscardedBlock(List<Object> out) {
        // discards nothing unless a subclass says so
    }

    /** Called when the peer has broken the framing, so that its further input cannot be decoded. */
    abstract void handleFramingLost(String why, List<Object> out);

    @Override
    protected final void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (held) {
            return;
        }
        if (framingLost) {
            in.skipBytes(in.readableBytes());
        } else if (blockLength != NO_BLOCK) {
            decodeBlock(in, out);
        } else {
            decodeLine(in, out);
        }
    }

    /** Copies a block as its bytes arrive; collecting them in a buffer first would hold it in memory twice or more. */
    private void decodeBlock(ByteBuf in, List<Object> out) {
        int available = Math.min(in.readableBytes(), blockLength - blockBytesRead);
        if (block == null) {
            in.skipBytes(available);
        } else {
            in.readBytes(block, blockBytesRead, available);
        }
        blockBytesRead += available;
        if (blockBytesRead < blockLength || in.readableBytes() < BLOCK_END_BYTES) {
            return;
        }
        byte[] value = block;
        releaseBlock();
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            loseFraming("bad data chunk", out);
        } else if (value == null) {
            handleDiscardedBlock(out);
        } else {
            handleBlock(value, out);
        }
    }

    private void decodeLine(ByteBuf in, List<Object> out) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        int length = (end < 0 ? in.writerIndex() : end) - in.readerIndex();
        lastLineBytes = length;
        if (length > MAX_LINE_BYTES) {
            // Otherwise a peer could make the buffer grow without limit. The superclass fails if nothing is read.
            in.skipBytes(in.readableBytes());
            loseFraming("line too long", out);
        } else if (end >= 0) {
            String line = in.readString(length, StandardCharsets.ISO_8859_1);
            in.skipBytes(1);
            beginBlock(handleLine(line.endsWith("\r") ? line.substring(0, length - 1) : line, out), out);
        }
    }

    /** Expects a block of the length that a line states, unless that is {@link #NO_BLOCK}. */
    private void beginBlock(int length, List<Object> out) {
        if (length == NO_BLOCK) {
            return;
        }
        if (length > maxBlockBytes) {
            loseFraming("object too large", out);
            return;
        }
        if (length < 0) {
            loseFraming("bad data length", out);
            return;
        }
        boolean hasRoom = budget.tryReserve(length);
        if (!hasRoom && !discardsBlocks()) {
            loseFraming("too much is coming at once", out);
            return;
        }
        blockLength = length;
        blockBytesRead = 0;
        block = hasRoom ? new byte[length] : null;
    }

    /** Ends decoding because the peer broke the framing. */
    private void loseFraming(String why, List<Object> out) {
        framingLost = true;
        releaseBlock();
        handleFramingLost(why, out);
    }

    /** Forgets the block that is arriving, and returns its bytes to the budget. */
    private void releaseBlock() {
        if (block != null) {
            budget.release(block.length);
            block = null;
        }
        blockLength = NO_BLOCK;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        releaseBlock();
    }

    /** Parses a decimal number of one to nine digits; returns -2 if the text is not such a number. */
    static int parseNumber(String text) {
        if (text.isEmpty() || text.length() > 9) {
            return -2;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -2;
            }
        }
        return Integer.parseInt(text);
    }
}
