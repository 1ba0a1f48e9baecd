package holdproxy.net;

import holdproxy.BadInput;
import holdproxy.Router;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/** Parses the lists of cache nodes that discovery sends, and assigns the router's numbers to the nodes. */
final class NodeListParser {
    private final Config config;
    /** Converts a Unix time in milliseconds to the router's clock in microseconds. */
    private final LongUnaryOperator clock;
    /** The router's numbers of the nodes by their ids in discovery, and the reverse. */
    private final Map<String, Integer> numberById = new HashMap<>();

    private final Map<Integer, String> idByNumber = new HashMap<>();

    /**
     * Creates a parser that knows no nodes.
     *
     * @param config states the zones and kinds of nodes
     * @param clock converts a Unix time in milliseconds to the router's clock in microseconds
     */
    NodeListParser(Config config, LongUnaryOperator clock) {
        this.config = config;
        this.clock = clock;
    }

    /**
     * Returns the version of a list.
     *
     * @throws BadInput if it is missing or is not a number
     */
    static long parseVersion(Map<String, Object> list) {
        if (list.get("version") instanceof Number n) {
            return n.longValue();
        }
        throw new BadInput("version is missing from the list or is not a number");
    }

    /**
     * Parses the entries of a list.
     *
     * @throws BadInput if a field that is needed is missing or malformed
     */
    List<NodeListEntry> parseEntries(Map<String, Object> list) {
        if (!(list.get("servers") instanceof List<?> servers)) {
            throw new BadInput("servers is missing from the list or is not an array");
        }
        List<NodeListEntry> entries = new ArrayList<>(servers.size());
        for (Object server : servers) {
            if (!(server instanceof Map<?, ?>)) {
                throw new BadInput("a list entry is not an object");
            }
            @SuppressWarnings("unchecked") // The parser creates only maps of this type.
            Map<String, Object> fields = (Map<String, Object>) server;
            entries.add(parseEntry(fields));
        }
        return entries;
    }

    private NodeListEntry parseEntry(Map<String, Object> fields) {
        String where = "a list entry";
        String id = Config.requiredText(fields, "id", where);
        Router.Node node = new Router.Node();
        node.state = switch (Config.requiredText(fields, "state", where)) {
            case "SERVING" -> Router.NodeState.READY;
            case "DRAINING" -> Router.NodeState.DRAINING;
            case "DELETED" -> Router.NodeState.GONE;
            default -> throw new BadInput("a list entry has an unknown state");
        };
        node.id = assignNumber(id);
        node.zone = config.zones.indexOf(fields.get("zone"));
        node.kind = config.kinds.indexOf(fields.get("kind"));
        node.cell = (int) numberField(fields, "cell", 0);
        node.weight = numberField(fields, "weight", 1);
        double startedMs = numberField(fields, "started_ms", 0);
        node.startedUs = startedMs > 0 ? clock.applyAsLong((long) startedMs) : Long.MIN_VALUE;
        InetSocketAddress address = node.state == Router.NodeState.GONE && !(fields.get("addr") instanceof String)
                ? null
                : Config.parseAddress(Config.requiredText(fields, "addr", where), "addr in a list entry");
        return new NodeListEntry(node, id, address);
    }

    private static double numberField(Map<String, Object> fields, String key, double defaultValue) {
        Object value = fields.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.doubleValue() >= 0 && number.doubleValue() < 1e15) {
            return number.doubleValue();
        }
        throw new BadInput(key + " in a list entry is not a number from 0 to below 1e15");
    }

    /**
     * Returns the router's number for a node. It is an FNV-1a hash of the node's id, folded to 32 bits, so that all
     * proxies rank the nodes alike. If two ids collide, the later one gets the next free number.
     */
    private int assignNumber(String id) {
        Integer known = numberById.get(id);
        if (known != null) {
            return known;
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        int number = (int) (hash ^ hash >>> 32);
        while (idByNumber.containsKey(number)) {
            number++;
        }
        numberById.put(id, number);
        idByNumber.put(number, id);
        return number;
    }

    /** Returns the number of nodes whose numbers are stored. */
    int rememberedNodes() {
        return numberById.size();
    }

    /** Forgets the number of a node that is gone. Each new machine has a new id, so old ones would accumulate. */
    void forget(int number) {
        numberById.remove(idByNumber.remove(number));
    }
}
