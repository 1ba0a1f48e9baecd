package holdproxy.net;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * An allocator that places the buffers of socket reads in the heap. Netty reads into direct buffers otherwise, and
 * input that waits in them takes direct memory, of which a process has little. If none is left, an allocation blocks
 * the event loop for half a second and then fails. The JDK copies a read into the heap from one buffer per thread.
 */
final class HeapBuffers extends AbstractByteBufAllocator {
    /** The only instance; it has no state. */
    static final HeapBuffers INSTANCE = new HeapBuffers();

    private HeapBuffers() {
        super(false);
    }

    @Override
    public ByteBuf ioBuffer() {
        return heapBuffer();
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity) {
        return heapBuffer(initialCapacity);
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
        return heapBuffer(initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
        return UnpooledByteBufAllocator.DEFAULT.heapBuffer(initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
        return UnpooledByteBufAllocator.DEFAULT.directBuffer(initialCapacity, maxCapacity);
    }

    @Override
    public boolean isDirectBufferPooled() {
        return false;
    }
}
