package holdproxy.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The newest update about each member that still has to be disseminated, with its number of transmissions. */
final class UpdateQueue {
    private static final class Entry {
        private final MemberUpdate update;
        private int timesSent;

        private Entry(MemberUpdate update) {
            this.update = update;
        }
    }

    private static final Comparator<Entry> LEAST_SENT_FIRST = Comparator.comparingInt(e -> e.timesSent);

    private final Map<Integer, Entry> byMember = new HashMap<>();

    /** Queues an update and discards an earlier queued update about the same member. */
    void add(MemberUpdate update) {
        byMember.put(update.member(), new Entry(update));
    }

    int size() {
        return byMember.size();
    }

    /**
     * Returns the updates with the fewest transmissions, at most {@code limit}, and counts one more transmission
     * for each of them. An update that has reached {@code maxTransmissions} is removed from the queue.
     */
    List<MemberUpdate> take(int limit, int maxTransmissions) {
        if (byMember.isEmpty() || limit == 0) {
            return new ArrayList<>();
        }
        List<Entry> entries = new ArrayList<>(byMember.values());
        entries.sort(LEAST_SENT_FIRST);
        List<MemberUpdate> taken = new ArrayList<>();
        for (Entry e : entries.subList(0, Math.min(limit, entries.size()))) {
            taken.add(e.update);
            e.timesSent++;
            if (e.timesSent >= maxTransmissions) {
                byMember.remove(e.update.member());
            }
        }
        return taken;
    }
}
