package holdproxy.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of ended requests that may have run and must not run twice. Clients give every request an id of its own; if
 * one comes again, as from a client that has disconnected and returned, the request must not be sent once more. All
 * times are microseconds on the proxy's clock.
 */
final class RecentIds {
    /** The most ids that are kept; beyond it the oldest ones are forgotten. */
    static final int MAX_IDS = 16_384;

    /** When each id is forgotten, in the order in which the ids were added. */
    private final Map<String, Long> forgetAtUs = new LinkedHashMap<>();

    /** Adds an id that is kept until the given time, and forgets others whose time is over. */
    void add(String id, long untilUs, long nowUs) {
        forgetAtUs.put(id, untilUs);
        Iterator<Long> oldestFirst = forgetAtUs.values().iterator();
        while (oldestFirst.hasNext() && (oldestFirst.next() <= nowUs || forgetAtUs.size() > MAX_IDS)) {
            oldestFirst.remove();
        }
    }

    /** Whether the id was added and its time is not over. */
    boolean contains(String id, long nowUs) {
        Long untilUs = forgetAtUs.get(id);
        return untilUs != null && nowUs < untilUs;
    }
}
