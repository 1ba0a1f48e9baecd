package holdproxy.scale.real;

import holdproxy.net.ControlPlaneProxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The list of cache nodes as a discovery service keeps it, with its versions and the changes of each. Safe for
 * use by several threads.
 */
final class NodeList {
    /** Versions whose changes are kept; a watch that asks for older changes gets the whole list. */
    private static final int MAX_KEPT_CHANGES = 1000;

    /**
     * A cache node.
     *
     * @param startedMs Unix time of the node's start in milliseconds, or 0 if it started long ago
     */
    record Entry(String id, String address, String zone, String kind, int cell, String state, long startedMs) {
        /** This entry with another state. */
        Entry withState(String newState) {
            return new Entry(id, address, zone, kind, cell, newState, startedMs);
        }

        /** This entry as an object of the list that discovery sends. */
        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\","
                            + "\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
                    id,
                    address,
                    zone,
                    kind,
                    cell,
                    state,
                    startedMs);
        }

        /** The hash of this entry as {@link ControlPlaneProxy} computes it. */
        long hash() {
            return ControlPlaneProxy.entryHash(id, state.equals("DRAINING"), 1, startedMs);
        }
    }

    /**
     * A published version of a list.
     *
     * @param publishedNs time of publication according to {@link System#nanoTime()}
     */
    record Version(NodeList list, long number, long publishedNs) {}

    /**
     * A list or a change of it, in the form in which it is sent.
     *
     * @param lines number of list lines for which it counts, at least 1
     */
    record Payload(byte[] bytes, int lines) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<Long, Entry[]> changesByVersion = new LinkedHashMap<>();
    private final Map<Long, Version> versionsByHash = new ConcurrentHashMap<>();
    private final Map<Long, Version> versionsByNumber = new ConcurrentHashMap<>();
    private long latestNumber;
    private long contentHash;
    private Payload cachedWholeList;
    private volatile Version latest;

    /** Creates an empty list whose first published version has the number {@code firstNumber}. */
    NodeList(long firstNumber) {
        latestNumber = firstNumber - 1;
    }

    /** Applies the changed entries and publishes the result as a new version. Entries in DELETED are removed. */
    synchronized Version publish(List<Entry> changed) {
        latestNumber++;
        for (Entry entry : changed) {
            Entry old = entry.state().equals("DELETED") ? entries.remove(entry.id()) : entries.put(entry.id(), entry);
            contentHash += (entry.state().equals("DELETED") ? 0 : entry.hash()) - (old == null ? 0 : old.hash());
        }
        changesByVersion.put(latestNumber, changed.toArray(Entry[]::new));
        changesByVersion.keySet().removeIf(n -> n <= latestNumber - MAX_KEPT_CHANGES);
        cachedWholeList = null;
        latest = new Version(this, latestNumber, System.nanoTime());
        versionsByHash.put(contentHash, latest);
        versionsByNumber.put(latestNumber, latest);
        return latest;
    }

    /**
     * Drops the record of past changes, so that callers with an older version get the whole list. A newly
     * started discovery process is in this state: it knows the list but not what changed in it.
     */
    synchronized void discardChanges() {
        changesByVersion.clear();
    }

    /** The latest published version, or null before the first. */
    Version latest() {
        return latest;
    }

    /** The latest version whose entries have this sum of {@link ControlPlaneProxy#entryHash}, or null for none. */
    Version versionByHash(long contentHash) {
        return versionsByHash.get(contentHash);
    }

    /** The version with this number, or null if there is none. */
    Version versionByNumber(long number) {
        return versionsByNumber.get(number);
    }

    /** The entries of the latest version, in the order in which they were added. */
    synchronized List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /** The whole list in the form in which it is sent. */
    synchronized Payload wholeList() {
        if (cachedWholeList == null) {
            cachedWholeList = encode(true, entries.values());
        }
        return cachedWholeList;
    }

    /**
     * What changed after a version: the changed entries, an empty line if there are none, or the whole list if
     * the changes since that version are not known.
     */
    synchronized Payload changesSince(long version) {
        if (version == latestNumber) {
            return new Payload(new byte[] {'\n'}, 1);
        }
        Map<String, Entry> changed = new LinkedHashMap<>();
        for (long v = version + 1; v <= latestNumber; v++) {
            Entry[] versionChanges = changesByVersion.get(v);
            if (versionChanges == null || version > latestNumber) {
                return wholeList();
            }
            for (Entry entry : versionChanges) {
                changed.put(entry.id(), entry);
            }
        }
        return version > latestNumber ? wholeList() : encode(false, changed.values());
    }

    private Payload encode(boolean full, Iterable<Entry> listed) {
        List<String> lines = new ArrayList<>();
        listed.forEach(e -> lines.add(e.json()));
        String json = "{\"version\":" + latestNumber + ",\"full\":" + full + ",\"servers\":[" + String.join(",", lines)
                + "]}\n";
        return new Payload(json.getBytes(StandardCharsets.UTF_8), Math.max(1, lines.size()));
    }
}
