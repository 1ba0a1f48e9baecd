package holdproxy;

/**
 * A cache node or an origin server as this proxy knows it: the fields of its entry in the node list, as in
 * {@link Router.Node}, and this proxy's own observations.
 */
final class Backend {
    final int id;
    int cell;
    int zone;
    int kind;
    double weight;
    Router.NodeState state;
    long startedUs = Long.MIN_VALUE;

    /** This proxy's attempts in flight to it. */
    int inFlight;

    /** Probability of passing the node over: a BLUE value of its own. */
    final DecayingValue ejectionProbability = new DecayingValue(RoutingPolicy.NODE_DECAY_US);

    /** Share of its cores that were busy in its latest load report. */
    final DecayingValue busyShare = new DecayingValue(RoutingPolicy.BUSY_SHARE_DECAY_US);

    /** Decaying number of attempts that it served for this proxy. */
    final DecayingValue servedAttempts = new DecayingValue(ArrivalRate.WINDOW_US);
    /** While it is cold: tokens left in this proxy's bucket for it. */
    double coldTokens = 1;

    /** Time of the latest refill of {@link #coldTokens}; {@link Long#MIN_VALUE} before the first. */
    long coldTokensRefilledAt = Long.MIN_VALUE;

    /**
     * Time at which an attempt of this proxy last ended and left its connection idle; {@link Long#MIN_VALUE} if no
     * connection is known to be open.
     */
    long idleSince = Long.MIN_VALUE;

    /**
     * Time at which connecting to the node last failed; {@link Long#MIN_VALUE} if it has never failed or the node has
     * answered since.
     */
    long connectFailedAt = Long.MIN_VALUE;

    Backend(int id) {
        this.id = id;
    }
}
