package holdproxy;

import java.util.Arrays;

/**
 * The current node list, with parallel arrays of the nodes that are ready. A node that has been removed from the list
 * is kept until the first node list event after the end of its last attempt.
 */
final class Fleet {
    private final LongMap<Backend> byId = new LongMap<>();
    private final boolean usesCacheAside;
    private final int originKind;
    private Backend[] nodes = new Backend[16];
    private int nodeCount;

    /** The ready cache nodes; only the first {@code readyCount} elements are valid. */
    Backend[] ready = new Backend[0];

    /** Hash salt of each ready node. */
    long[] salts = new long[0];

    /** 1 / weight of each ready node. */
    double[] inverseWeights = new double[0];

    /** Number of ready cache nodes, without origins. */
    int readyCount;

    /** The ready origin servers. */
    Backend[] origins = new Backend[0];

    private Backend[] ranked = new Backend[0];
    private double[] rankedScores = new double[0];

    Fleet(Router.Settings settings) {
        usesCacheAside = settings.usesCacheAside;
        originKind = settings.originKind;
    }

    boolean isOrigin(Backend node) {
        return usesCacheAside && node.kind == originKind;
    }

    /** Applies a node list or a change of it; any kind but DELTA replaces the list. */
    void apply(Router.NodeListEvent event, Router.Node[] entries, int count) {
        if (event != Router.NodeListEvent.DELTA) {
            for (int i = 0; i < nodeCount; i++) {
                nodes[i].state = Router.NodeState.GONE; // entries of the list set their state again below
            }
        }
        for (int i = 0; i < count; i++) {
            update(entries[i]);
        }
        dropRemovedNodes();
        rebuildArrays();
    }

    private void update(Router.Node entry) {
        long id = entry.id & 0xffffffffL;
        Backend node = byId.get(id);
        if (node == null) {
            node = new Backend(entry.id);
            byId.put(id, node);
            if (nodeCount == nodes.length) {
                nodes = Arrays.copyOf(nodes, 2 * nodeCount);
            }
            nodes[nodeCount++] = node;
        }
        if (entry.startedUs != node.startedUs) {
            node.ejectionProbability.set(0, 0); // a new process: observations of the previous one no longer apply
            node.connectFailedAt = Long.MIN_VALUE;
            node.servedAttempts.set(0, 0);
            node.coldTokens = 1;
            node.coldTokensRefilledAt = Long.MIN_VALUE;
        }
        node.cell = entry.cell;
        node.zone = entry.zone;
        node.kind = entry.kind;
        node.weight = entry.weight > 0 ? entry.weight : 1;
        node.state = entry.state;
        node.startedUs = entry.startedUs;
    }

    /** Returns the number of nodes kept in memory, including removed nodes with attempts in flight. */
    int nodeCount() {
        return nodeCount;
    }

    /** Drops removed nodes without attempts in flight, so that memory stays bounded over months of node churn. */
    private void dropRemovedNodes() {
        int kept = 0;
        for (int i = 0; i < nodeCount; i++) {
            Backend node = nodes[i];
            if (node.state == Router.NodeState.GONE && node.inFlight == 0) {
                byId.remove(node.id & 0xffffffffL);
            } else {
                nodes[kept++] = node;
            }
        }
        Arrays.fill(nodes, kept, nodeCount, null);
        nodeCount = kept;
    }

    /** Rebuilds the arrays of ready nodes and origins. */
    private void rebuildArrays() {
        ready = new Backend[nodeCount];
        salts = new long[nodeCount];
        inverseWeights = new double[nodeCount];
        readyCount = 0;
        Backend[] foundOrigins = new Backend[nodeCount];
        int originCount = 0;
        for (int i = 0; i < nodeCount; i++) {
            Backend node = nodes[i];
            if (node.state != Router.NodeState.READY) {
                continue;
            }
            if (isOrigin(node)) {
                foundOrigins[originCount++] = node;
                continue;
            }
            ready[readyCount] = node;
            salts[readyCount] = Blue.mix(node.id);
            inverseWeights[readyCount++] = 1 / node.weight;
        }
        origins = Arrays.copyOf(foundOrigins, originCount);
    }

    /** Returns the mean ejection probability of the other ready nodes; 0 if there are none. */
    double meanEjectionProbabilityWithout(Backend node, long now) {
        double sum = 0;
        int others = 0;
        for (int i = 0; i < readyCount; i++) {
            if (ready[i] != node) {
                sum += ready[i].ejectionProbability.get(now);
                others++;
            }
        }
        return others == 0 ? 0 : sum / others;
    }

    /**
     * Ranks the ready nodes for a key by weighted rendezvous hashing, best first. A node's score is approximately an
     * exponentially distributed hash divided by its weight, and the lowest score wins. The returned array is reused
     * by the next call; elements beyond the number of ranked nodes are null.
     */
    Backend[] rankNodes(long key, int wanted) {
        if (ranked.length < wanted) {
            ranked = new Backend[wanted];
            rankedScores = new double[wanted];
        }
        Arrays.fill(ranked, null);
        int rankedCount = 0;
        int limit = Math.min(wanted, readyCount);
        double worstScore = Double.MAX_VALUE;
        for (int i = 0; i < readyCount; i++) {
            double unitHash = Blue.toUnitInterval(Blue.mix(key ^ salts[i]));
            double score = unitHash * (1 + 0.5 * unitHash) * inverseWeights[i];
            if (rankedCount == limit && score >= worstScore) {
                continue;
            }
            int j = rankedCount < limit ? rankedCount++ : limit - 1;
            for (; j > 0 && rankedScores[j - 1] > score; j--) {
                ranked[j] = ranked[j - 1];
                rankedScores[j] = rankedScores[j - 1];
            }
            ranked[j] = ready[i];
            rankedScores[j] = score;
            worstScore = rankedScores[rankedCount - 1];
        }
        return ranked;
    }
}
