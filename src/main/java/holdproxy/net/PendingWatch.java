package holdproxy.net;

import java.util.ArrayList;
import java.util.List;

/**
 * The calls by which a watch is being opened. A call that was silent for so long that the next one was made stays open,
 * because one that was not lost is answered when its turn comes, and before any later one.
 */
final class PendingWatch {
    /** The most calls that are open at a time. */
    private static final int MAX_CALLS = 3;

    /** The open calls, the oldest first. */
    private final List<DiscoveryCall> calls = new ArrayList<>(MAX_CALLS);

    /** Whether any call is open. */
    boolean isOpen() {
        return !calls.isEmpty();
    }

    /** Whether the latest call is open and has not been silent for too long. */
    boolean isWaiting() {
        return isOpen() && !latest().isSilent();
    }

    /** Whether this is the latest call. */
    boolean isLatest(DiscoveryCall call) {
        return isOpen() && call == latest();
    }

    /** Whether this is one of the calls. */
    boolean contains(DiscoveryCall call) {
        return calls.contains(call);
    }

    /**
     * Adds a call. If there are too many, the oldest and the latest stay open: the oldest one is answered first unless
     * it is lost, and then the others have to be given time.
     */
    void add(DiscoveryCall call) {
        if (calls.size() == MAX_CALLS) {
            calls.remove(1).end();
        }
        calls.add(call);
    }

    /** Removes a call that has ended or has opened the watch. */
    void remove(DiscoveryCall call) {
        calls.remove(call);
    }

    /** Ends all calls. */
    void end() {
        calls.forEach(DiscoveryCall::end);
        calls.clear();
    }

    private DiscoveryCall latest() {
        return calls.get(calls.size() - 1);
    }
}
