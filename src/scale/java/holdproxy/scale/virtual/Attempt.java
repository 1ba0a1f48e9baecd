package holdproxy.scale.virtual;

/** An attempt of a proxy to have a cache node answer a client's try. */
final class Attempt {
    final ClientTry clientTry;
    /** Number of the attempt within its try, counted from 0. */
    final int number;

    final CacheNode node;
    final long sentUs;
    final ConnectionPool pool;
    /** Whether the attempt is pending: the routing policy has not received its outcome yet. */
    boolean pending = true;
    /** Whether its connection is open. */
    boolean connected;
    /** Generation of the node's process to which the connection was opened, from {@link CacheNode#generation}. */
    int nodeGeneration;

    Attempt(ClientTry clientTry, int number, CacheNode node, ConnectionPool pool, long sentUs) {
        this.clientTry = clientTry;
        this.number = number;
        this.node = node;
        this.pool = pool;
        this.sentUs = sentUs;
    }
}
