package holdproxy.net;

import holdproxy.Router;
import java.util.List;

/** Receives the lists of cache nodes from {@link Discovery}. All methods are called on the event loop. */
interface NodeListListener {
    /**
     * Called with each list that was received, and with the result of a call to discovery that brought none.
     *
     * @param kind whether the list is complete or holds changes, or how the call ended
     * @param entries the entries of the list; empty if the call failed or a watch opened without changes
     */
    void onNodeList(Router.NodeListEvent kind, List<NodeListEntry> entries);

    /**
     * Converts a Unix time in milliseconds to the router's clock in microseconds. The same input always gives the
     * same result.
     */
    long toMonotonicUs(long unixMs);
}
