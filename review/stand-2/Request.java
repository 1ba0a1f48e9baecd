package stand2;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A request as its client sees it. */
final class Request {
    final String id = Ids.next();
    final Settings.RequestClass requestClass;
    final int waitMs;
    /** When the last byte had been written, on the clock of {@link Recorder}; NaN before that. */
    volatile double sentMs = Double.NaN;
    volatile String answer;
    /** The nodes that have got the request. */
    final Set<String> nodes = ConcurrentHashMap.newKeySet();

    Request(Settings.RequestClass requestClass) {
        this.requestClass = requestClass;
        // A client gives a try up after a little more than half of the class's deadline.
        waitMs = requestClass.deadlineMs() * 55 / 100;
    }
}
