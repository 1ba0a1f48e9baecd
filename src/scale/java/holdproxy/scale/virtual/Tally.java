package holdproxy.scale.virtual;

import java.util.function.ToIntFunction;

/** What became of requests, by group and by the moment at which they were asked. */
final class Tally implements Clients.Ledger {
    private final long binUs;
    private final ToIntFunction<ClientRequest> group;
    private final long[] aims;
    final long[][] asked;
    final long[][] refused;
    final long[][] inTime;
    final long[][] late;
    final long[][] lost;

    Tally(int groups, ToIntFunction<ClientRequest> group, long[] aims, long binUs, double seconds) {
        this.group = group;
        this.aims = aims;
        this.binUs = binUs;
        int bins = (int) (seconds * 1e6 / binUs) + 1;
        asked = new long[groups][bins];
        refused = new long[groups][bins];
        inTime = new long[groups][bins];
        late = new long[groups][bins];
        lost = new long[groups][bins];
    }

    private void count(long[][] of, ClientRequest q) {
        int bin = (int) Math.min(q.askedUs / binUs, of[0].length - 1);
        of[group.applyAsInt(q)][bin]++;
    }

    @Override
    public void asked(ClientRequest q) {
        count(asked, q);
    }

    @Override
    public void refused(ClientRequest q, boolean first) {
        if (first) {
            count(refused, q);
        }
    }

    @Override
    public void served(ClientRequest q, long latencyUs) {
        count(latencyUs <= aims[q.requestClass] ? inTime : late, q);
    }

    @Override
    public void lost(ClientRequest q) {
        count(lost, q);
    }

    /** The share of a group's requests of which this is told, asked from one moment up to another. */
    double share(long[][] of, int group, double fromS, double toS) {
        double all = sum(asked, group, fromS, toS);
        return all == 0 ? Double.NaN : sum(of, group, fromS, toS) / all;
    }

    double sum(long[][] of, int group, double fromS, double toS) {
        long sum = 0;
        for (int b = bin(fromS); b < Math.min(bin(toS), of[group].length); b++) {
            sum += of[group][b];
        }
        return sum;
    }

    int bin(double s) {
        return (int) Math.round(s * 1e6 / binUs);
    }

    double binS() {
        return binUs / 1e6;
    }
}
