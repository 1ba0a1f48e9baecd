package holdproxy.scale.virtual;

import java.util.function.ToIntFunction;

/** Counts the requests with each result, by group and by the time bin in which the client issued the request. */
final class RequestCounts implements Clients.RequestListener {
    private final long binWidthUs;
    private final ToIntFunction<ClientRequest> group;
    /** Target latency of each request class, in microseconds. */
    private final long[] targetLatenciesUs;
    /** Requests issued by clients, by group and bin. */
    final long[][] issued;
    /** Requests whose first try was refused, by group and bin. */
    final long[][] refused;
    /** Requests served within the target latency of their class, by group and bin. */
    final long[][] inTime;
    /** Requests served after the target latency of their class, by group and bin. */
    final long[][] late;
    /** Requests that the client gave up because no try was served, by group and bin. */
    final long[][] abandoned;

    RequestCounts(
            int groups, ToIntFunction<ClientRequest> group, long[] targetLatenciesUs, long binWidthUs, double seconds) {
        this.group = group;
        this.targetLatenciesUs = targetLatenciesUs;
        this.binWidthUs = binWidthUs;
        int bins = (int) (seconds * 1e6 / binWidthUs) + 1;
        issued = new long[groups][bins];
        refused = new long[groups][bins];
        inTime = new long[groups][bins];
        late = new long[groups][bins];
        abandoned = new long[groups][bins];
    }

    private void count(long[][] counts, ClientRequest request) {
        int bin = (int) Math.min(request.issuedUs / binWidthUs, counts[0].length - 1);
        counts[group.applyAsInt(request)][bin]++;
    }

    @Override
    public void onIssued(ClientRequest request) {
        count(issued, request);
    }

    @Override
    public void onRefused(ClientRequest request, boolean first) {
        if (first) {
            count(refused, request);
        }
    }

    @Override
    public void onServed(ClientRequest request, long latencyUs) {
        count(latencyUs <= targetLatenciesUs[request.requestClass] ? inTime : late, request);
    }

    @Override
    public void onAbandoned(ClientRequest request) {
        count(abandoned, request);
    }

    /**
     * The share of a group's requests that are in {@code counts}, of those issued between two times in seconds from the
     * start; NaN if no request was issued then.
     */
    double share(long[][] counts, int group, double fromS, double toS) {
        double issuedTotal = sum(issued, group, fromS, toS);
        return issuedTotal == 0 ? Double.NaN : sum(counts, group, fromS, toS) / issuedTotal;
    }

    /** Sum of a group's counts in the bins between two times, in seconds from the start. */
    double sum(long[][] counts, int group, double fromS, double toS) {
        long sum = 0;
        for (int b = binIndex(fromS); b < Math.min(binIndex(toS), counts[group].length); b++) {
            sum += counts[group][b];
        }
        return sum;
    }

    /** Index of the bin that begins at a time, in seconds from the start. */
    int binIndex(double timeS) {
        return (int) Math.round(timeS * 1e6 / binWidthUs);
    }

    /** Width of a bin in seconds. */
    double binWidthS() {
        return binWidthUs / 1e6;
    }
}
