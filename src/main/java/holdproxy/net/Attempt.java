package holdproxy.net;

import holdproxy.Router;
import io.netty.util.concurrent.Future;

/** One attempt to have a cache node serve a request. Each attempt ends with exactly one outcome. */
final class Attempt {
    final Exchange exchange;
    /** The number of the attempt within its request, from 0. */
    final int number;
    /** When the router asked for the attempt, in microseconds on the proxy's clock. */
    final long sentUs;
    /** How long the proxy waits for the answer, in microseconds from {@link #sentUs}. */
    final long waitUs;
    /**
     * Whether the write of the command has started. Until then the node has received nothing of it, and the attempt can
     * be withdrawn.
     */
    boolean writeStarted;
    /** Whether the last byte was written to the socket. From then on the node may execute the request. */
    boolean written;
    /** Whether the attempt has ended. */
    boolean ended;
    /** Whether the attempt has ended, and the node may have executed the request. */
    boolean mayHaveRun;
    /** The connection that carries the attempt; null until one is assigned. */
    NodeConnection connection;
    /** The timer that gives the attempt up after {@link #waitUs}. */
    Future<?> timer;

    Attempt(Exchange exchange, int number, long sentUs, long waitUs) {
        this.exchange = exchange;
        this.number = number;
        this.sentUs = sentUs;
        this.waitUs = waitUs;
    }

    /** Returns the outcome of the attempt if its connection is lost now. */
    Router.Outcome connectionLossOutcome() {
        return written ? Router.Outcome.RESET : Router.Outcome.CONNECT_FAILED;
    }
}
