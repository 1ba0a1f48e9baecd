package holdproxy;

/**
 * Decides when this proxy calls discovery. One service answers all proxies one after the other, so first calls, and
 * retries after calls that failed at the same time, are spread over time. All times are in microseconds.
 *
 * <p>Regardless of earlier failures, a proxy is expected to know a change within
 * {@link DiscoveryTiming#CHANGE_KNOWN_WITHIN_US} after discovery had the change and was reachable. The longest way to
 * it is {@link DiscoveryTiming#CALL_SILENCE_US} until a call counts as lost, {@link DiscoveryTiming#RETRY_MAX_DELAY_US}
 * until another one is made, and {@link DiscoveryTiming#MAX_CALL_WAIT_US} until that one is answered.
 */
final class DiscoveryPacing {
    // First calls are spread over this share of the time within which a proxy has to subscribe.
    private static final double SPREAD_SHARE = 0.8;
    // The spread of calls grows by this time for each router of the tier.
    private static final double SPREAD_PER_ROUTER_US = 400_000;
    // Where lists are pushed without a subscription, the mean pause after a failed call is this share of the drain
    // grace period, or of the minimum below if that is longer.
    private static final double PUSHED_PAUSE_SHARE = 0.4;
    private static final long PUSHED_MIN_GRACE_US = 250_000;

    private final Router.Settings settings;
    private final SplitMix64 random;
    /** Whether a call is in progress or its watch is open. */
    private boolean isCallOpen;

    /** Whether the current watch has delivered a list or a change. */
    private boolean hasDelivered;

    /** Consecutive calls that failed before they delivered anything. */
    private int failedCalls;

    /** Time at which the current call began. */
    private long calledAt;

    DiscoveryPacing(Router.Settings settings, SplitMix64 random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Returns the random delay before the first call. Without it, a thousand proxies that start together would
     * overload discovery.
     */
    long firstDelayUs() {
        double spreadUs =
                Math.min(SPREAD_SHARE * settings.subscribeWithinUs, SPREAD_PER_ROUTER_US * settings.routerCount);
        return (long) (random.nextDouble() * Math.min(spreadUs, DiscoveryTiming.CHANGE_KNOWN_WITHIN_US / 3));
    }

    /** Begins a call after its delay; returns false if a call or watch is already open and none is to be made. */
    boolean beginCall(long now) {
        if (isCallOpen) {
            return false;
        }
        isCallOpen = true;
        calledAt = now;
        return true;
    }

    /** Returns the number of consecutive calls that failed before they delivered anything. */
    int failedCalls() {
        return failedCalls;
    }

    /** Records that a list or a change has arrived. */
    void recordList(Router.NodeListEvent event) {
        hasDelivered = isCallOpen && event != Router.NodeListEvent.CACHED;
        failedCalls = 0;
    }

    /**
     * Records that the call failed, or that its watch ended or fell silent; returns the delay before the next call.
     *
     * @param event {@code FAILED} or {@code SILENT}
     */
    long recordFailure(long now, Router.NodeListEvent event) {
        isCallOpen = false;
        long delayUs = (long) retryDelayUs(now - calledAt, event);
        hasDelivered = false;
        return delayUs;
    }

    /** Returns the delay before the next call, after a call that failed within {@code callUs} or a watch that ended. */
    private double retryDelayUs(long callUs, Router.NodeListEvent event) {
        failedCalls += hasDelivered ? 0 : 1;
        double fraction = random.nextDouble();
        if (!settings.requiresSubscription) {
            // Proxies are expected to know the list as soon as the local discovery agent is back, so the whole pause
            // is taken from the drain grace period.
            return PUSHED_PAUSE_SHARE * Math.max(PUSHED_MIN_GRACE_US, settings.drainGraceUs) * (0.5 + fraction);
        }
        double thirdUs = Math.min(DiscoveryTiming.CHANGE_KNOWN_WITHIN_US / 4, settings.subscribeWithinUs) / 3.0;
        if (hasDelivered) {
            // The watches of all proxies end at the same time, so each proxy calls again in its own slot of the
            // spread. With random times alone, several proxies could call late in the spread and wait for one another
            // beyond the limit.
            double maxSpreadUs = event == Router.NodeListEvent.SILENT
                    ? Math.min(2 * thirdUs, DiscoveryTiming.SILENT_WATCH_MAX_DELAY_US)
                    : 2 * thirdUs;
            double spreadUs = Math.min(maxSpreadUs, SPREAD_PER_ROUTER_US * settings.routerCount);
            return spreadUs * (Math.floorMod(settings.index, settings.routerCount) + fraction) / settings.routerCount;
        }
        // Calls of all proxies are refused at the same time as well, so retries are spread.
        return Math.max(thirdUs * fraction, thirdUs * (1 + 2 * fraction) - callUs);
    }
}
