package stand2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The attempts of each request, as the cache nodes see them. */
final class Attempts {
    /** One command that a node has begun. */
    static final class Attempt {
        final Command command;
        final CacheNode.Connection connection;
        /** Whether the node has written its answer. */
        volatile boolean answered;

        Attempt(Command command, CacheNode.Connection connection) {
            this.command = command;
            this.connection = connection;
        }

        /** Whether the attempt is still out: not answered, on an open connection. */
        boolean isOut() {
            return !answered && !connection.ended;
        }
    }

    private final Map<String, List<Attempt>> byId = new HashMap<>();

    /** Adds an attempt; returns the earlier ones of the request that seem to be out still. */
    synchronized List<Attempt> add(Attempt attempt) {
        List<Attempt> all = byId.computeIfAbsent(attempt.command.id, id -> new ArrayList<>());
        List<Attempt> out = all.stream().filter(Attempt::isOut).toList();
        all.add(attempt);
        return out;
    }
}
