package holdproxy.scale.real;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A series of events, each with its time according to {@link System#nanoTime()} and an amount. Not safe for use
 * by several threads.
 */
final class EventSeries {
    private static final long SECOND_NS = 1_000_000_000;

    private long[] timesNs = new long[64];
    private int[] amounts = new int[64];
    private int count;

    /** Records an event at the current time. */
    void add(int amount) {
        if (count == timesNs.length) {
            timesNs = Arrays.copyOf(timesNs, 2 * count);
            amounts = Arrays.copyOf(amounts, 2 * count);
        }
        timesNs[count] = System.nanoTime();
        amounts[count++] = amount;
    }

    /** The events since {@code fromNs}, latest first, as pairs of time and amount. */
    List<long[]> since(long fromNs) {
        List<long[]> events = new ArrayList<>();
        for (int i = count - 1; i >= 0 && timesNs[i] - fromNs >= 0; i--) {
            events.add(new long[] {timesNs[i], amounts[i]});
        }
        return events;
    }

    /** The largest sum of amounts within any interval of one second. */
    static long peakPerS(Stream<long[]> events) {
        List<long[]> sorted = events.sorted(Comparator.comparingLong(e -> e[0])).toList();
        long peak = 0;
        long sum = 0;
        for (int from = 0, to = 0; to < sorted.size(); to++) {
            sum += sorted.get(to)[1];
            while (sorted.get(to)[0] - sorted.get(from)[0] > SECOND_NS) {
                sum -= sorted.get(from++)[1];
            }
            peak = Math.max(peak, sum);
        }
        return peak;
    }
}
