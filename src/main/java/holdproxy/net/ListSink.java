package holdproxy.net;

import holdproxy.Router;
import java.util.List;

/** Whom the lists of cache nodes are for; called on the event loop. */
interface ListSink {
    /** A list, or with no entries how a call to discovery ended. */
    void nodes(Router.ListKind kind, List<Discovery.Entry> entries);

    /** A Unix time in milliseconds on the module's clock, in microseconds; the same one for each asking. */
    long monotonic(long unixMs);
}
