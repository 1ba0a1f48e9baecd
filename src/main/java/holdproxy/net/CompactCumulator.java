package holdproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Collects the undecoded input of a connection in a buffer whose size follows the bytes that it still holds. Netty's
 * own cumulator appends behind the bytes that are decoded already, so that a connection with much input keeps a buffer
 * many times as large as its undecoded bytes, which are all that the limits count.
 */
final class CompactCumulator implements ByteToMessageDecoder.Cumulator {
    /** The only instance; it has no state. */
    static final CompactCumulator INSTANCE = new CompactCumulator();

    private CompactCumulator() {}

    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf input) {
        if (cumulation == input) {
            input.release(); // retained once more by the caller
            return cumulation;
        }
        if (!cumulation.isReadable()) {
            cumulation.release();
            return input;
        }
        if (input.readableBytes() <= cumulation.writableBytes()) {
            cumulation.writeBytes(input);
            input.release();
            return cumulation;
        }
        int size = cumulation.readableBytes() + input.readableBytes();
        ByteBuf compact = allocator.heapBuffer(allocator.calculateNewCapacity(size, Integer.MAX_VALUE));
        compact.writeBytes(cumulation).writeBytes(input);
        cumulation.release();
        input.release();
        return compact;
    }
}
