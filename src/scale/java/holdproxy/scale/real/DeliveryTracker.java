package holdproxy.scale.real;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Tracks which version of the node list each proxy has received last, and the delay with which each version
 * reached it. Safe for use by several threads.
 */
final class DeliveryTracker {
    private static final long MAX_DELAY_US = 600_000_000;

    private final AtomicReferenceArray<NodeList.Version> lastVersions;

    /**
     * For each proxy, the earliest time from which delays count. A version published earlier could not have
     * reached the proxy before this time.
     */
    private final AtomicLongArray delaysFromNs;

    private volatile Histogram delays = new ConcurrentHistogram(MAX_DELAY_US, 3);
    private volatile int firstMeasured;
    private volatile int endMeasured;

    /** Tracks the proxies 0 to {@code proxies - 1}. */
    DeliveryTracker(int proxies) {
        lastVersions = new AtomicReferenceArray<>(proxies);
        delaysFromNs = new AtomicLongArray(proxies);
        endMeasured = proxies;
    }

    /** Discards the recorded delays. From now on only delays of the proxies first..end-1 are recorded. */
    void startMeasuring(int first, int end) {
        delays = new ConcurrentHistogram(MAX_DELAY_US, 3);
        firstMeasured = first;
        endMeasured = end;
    }

    /** Counts delays of the proxies first..end-1 from {@code atNs}, even for versions published earlier. */
    void countDelaysFrom(int first, int end, long atNs) {
        for (int i = first; i < end; i++) {
            delaysFromNs.set(i, atNs);
        }
    }

    /** Records that the proxy restarted, or applied a list that matches no version, and has no known version now. */
    void recordRestart(int proxy, long atNs) {
        delaysFromNs.set(proxy, atNs);
        lastVersions.set(proxy, null);
    }

    /**
     * Records that the proxy has received a version. All versions since the one before count as received at the
     * same time, each with its own delay. If it had no version of this list, there is a single delay.
     */
    void recordDelivery(int proxy, NodeList.Version version, long atNs) {
        NodeList.Version previous = lastVersions.getAndSet(proxy, version);
        if (previous == null || previous.list() != version.list()) {
            recordDelay(proxy, atNs - delaysFromNs.get(proxy));
        } else {
            for (long number = previous.number() + 1; number <= version.number(); number++) {
                recordDelay(
                        proxy,
                        atNs - Math.max(version.list().versionByNumber(number).publishedNs(), delaysFromNs.get(proxy)));
            }
        }
    }

    private void recordDelay(int proxy, long delayNs) {
        if (proxy >= firstMeasured && proxy < endMeasured) {
            delays.recordValue(Math.min(MAX_DELAY_US, Math.max(0, delayNs / 1000)));
        }
    }

    /** How many of the proxies first..end-1 have received this version or a later one of the same list. */
    int deliveredCount(NodeList.Version version, int first, int end) {
        int count = 0;
        for (int i = first; i < end; i++) {
            NodeList.Version received = lastVersions.get(i);
            count += received != null && received.list() == version.list() && received.number() >= version.number()
                    ? 1
                    : 0;
        }
        return count;
    }

    /** The delays recorded since {@link #startMeasuring}, in microseconds. */
    Histogram delays() {
        return delays;
    }
}
