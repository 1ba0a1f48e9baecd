package holdproxy.scale.virtual;

/** A request of a client, which may take several tries. */
final class ClientRequest {
    int requestClass;
    int tenant;
    long key;
    /** Time at which the client issued the request. */
    long issuedUs;
    /** Time at which the client gives the request up. */
    long dueUs;

    int retriesLeft;
    /** Index of the proxy to which all tries go; -1: each retry goes to a proxy drawn anew. */
    int homeProxy = -1;
    /** Index of the proxy of the first try. */
    int firstProxy;

    boolean refusedFirst;
    /** Whether the request has been served or given up. */
    boolean finished;
}
