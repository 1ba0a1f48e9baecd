package holdproxy;

/**
 * Makes the routing decisions of one proxy in front of a fleet of cache nodes. The caller delivers events; the
 * router responds by calling {@link Actions}.
 *
 * <p>Units: all times and durations are in microseconds. Event times are readings of one monotonic clock that the
 * caller chooses, and they never decrease. Ordering: events are delivered one at a time, in the order in which they
 * occur; actions take effect in the order in which they are called. Threading: a router is not thread-safe and is
 * used by one thread at a time. A router reads event objects only during the call, so the caller may reuse them.
 *
 * <p>The caller must deliver exactly one {@link #onOutcome} for each {@link Actions#send}; one {@link #onTimer} at or
 * after the time of each timer, but never from within the call that set it; at least one {@link #onNodeList} for each
 * {@link Actions#subscribe} and one for each {@link Actions#fetchNodes}; and {@link #onClientGone} when the client
 * disconnects. The caller sends the first successful outcome of a request to the client as its answer and reports this
 * with {@code isAnswered} of {@link #onOutcome}.
 */
public interface Router {

    /** The effect of running a request more than once. */
    enum Effect {
        /** Repeats are harmless. */
        SAFE,
        /** Nodes discard repeats with the same key for a limited time. */
        KEYED,
        /** Each repeat takes effect again. */
        UNSAFE
    }

    /** The nodes among which repeats of a {@link Effect#KEYED} request are discarded. */
    enum DeduplicationScope {
        /** All nodes. */
        ALL,
        /** The nodes in the zone of the node that ran the request first. */
        ZONE,
        /** The nodes in the cell of the node that ran the request first. */
        CELL
    }

    /** The state of a node in the node list. */
    enum NodeState {
        /** The node accepts requests. */
        READY,
        /** The node is shutting down and must not be sent new requests. */
        DRAINING,
        /** The node has been removed from the list. */
        GONE
    }

    /** The content of a node list event, or the way in which a discovery call or watch ended. */
    enum NodeListEvent {
        /** Only the entries that have changed. */
        DELTA,
        /** The whole list. */
        FULL,
        /** The list that was known before the start; it may be out of date. */
        CACHED,
        /** No list: the call was refused, or the call or watch broke off. */
        FAILED,
        /** No list: the call or watch has been silent for so long that another call has to be made. */
        SILENT
    }

    /** The way in which an attempt or a probe ended. */
    enum Outcome {
        /** The node answered successfully. */
        OK(false),
        /** The node answered with an error. */
        ERROR(false),
        /** The node rejected the attempt because it was overloaded. */
        OVERLOADED(true),
        /** No answer arrived within the time-out. */
        TIMEOUT(false),
        /** No connection was established, or the connection or the time ended before the attempt was fully written. */
        CONNECT_FAILED(true),
        /** The connection broke after the attempt was written. */
        RESET(false),
        /** The attempt was cancelled, or its outcome says nothing about the node. */
        CANCELLED(false),
        /** The attempt was withdrawn before anything was sent. */
        NOT_SENT(true),
        /** The node does not hold the key (cache-aside only). */
        MISS(true);

        /** Whether the outcome proves that the node did not execute the request. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** What an outcome says about the node's cache. */
    enum CacheStatus {
        /** Nothing is known. */
        NONE,
        /** The node had the value in its cache. */
        HIT,
        /** The node did not have the value. */
        MISS,
        /** The node did not have the value and was already fetching it for another request. */
        MISS_FETCHING
    }

    /** The meaning of {@link Node#weight}. */
    enum WeightMode {
        /** Nodes have no weights. */
        NONE,
        /** The registered size of the node. */
        NOMINAL,
        /** An approximation of the size of the node. */
        ROUGH,
        /** The size of the node less its current load. */
        LIVE
    }

    /** The source of load reports. */
    enum ReportSource {
        /** There are no load reports. */
        NONE,
        /** Every answer of a node carries a load report. */
        ANSWERS,
        /** Only the results of probes carry a load report. */
        PROBES
    }

    /** A node's load report. The values are delayed and noisy; a value that is not reported is NaN. */
    final class LoadReport {
        /** Requests in progress at the node. */
        public double inFlight = Double.NaN;
        /** Requests waiting in the node's queue. */
        public double queueLength = Double.NaN;
        /** Share of the node's cores that are busy, from 0 to 1. */
        public double busyShare = Double.NaN;
        /** Recent service time in microseconds. */
        public double latencyUs = Double.NaN;
        /** Requests served per second. */
        public double requestsPerS = Double.NaN;
        /** Errors per second. */
        public double errorsPerS = Double.NaN;
        /** Share of recent requests that were cache hits, from 0 to 1. */
        public double hitShare = Double.NaN;
        /** Fetches from the origin in progress at the node. */
        public double originFetches = Double.NaN;

        /** Marks every value as not reported. */
        public void clear() {
            inFlight = queueLength = busyShare = latencyUs = Double.NaN;
            requestsPerS = errorsPerS = hitShare = originFetches = Double.NaN;
        }
    }

    /** A class of requests with the same effect, time limits and utility. */
    final class RequestClass {
        /** The name of the class as clients send it. */
        public String name = "";
        /** The effect of running a request of this class more than once. */
        public Effect effect = Effect.UNSAFE;
        /** For {@link Effect#KEYED}: the nodes among which repeats are discarded. */
        public DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
        /** Latency target: an answer within this time of the request's arrival earns the full utility. */
        public long targetUs;
        /** The latency target of a request is extended by this multiple of its own work, up to the deadline. */
        public double targetStretch;
        /** The longest time from a request's arrival until its final answer is due. */
        public long deadlineUs;
        /** For {@link Effect#KEYED}: time for which repeats are discarded after the first send that may have run. */
        public long deduplicationWindowUs;
        /** Share of the utility that an answer after the latency target still earns. */
        public double lateUtilityShare;
        /** Utility of an answer within the latency target. */
        public double utility = 1;
        /** Whether answers are streamed to the client. */
        public boolean isStreamed;
    }

    /** A tenant, on whose behalf clients send requests. */
    final class Tenant {
        /** The name of the tenant as clients send it. */
        public String name = "";
        /** Requests per second over all proxies that are within the tenant's quota; 0 where there is no quota. */
        public double quotaPerS;
        /** The tenant's configured share; {@link RoutingPolicy} does not use it. */
        public double share;
    }

    /**
     * The settings of a router. They do not change during its life, and a router validates them when it is created.
     * The penalties and weights describe the score by which a fleet of proxies is rated.
     */
    final class Settings {
        /** The index of this router among all routers of the tier, from 0. */
        public int index;
        /** The number of routers in the tier, one per proxy. */
        public int routerCount = 1;
        /** The zone of this proxy. */
        public int zone;
        /** The request classes; {@link Request#requestClass} is an index into them. */
        public RequestClass[] classes = new RequestClass[0];
        /** The tenants; {@link Request#tenant} is an index into them. */
        public Tenant[] tenants = new Tenant[0];
        /** Cache-aside: nodes report a miss and the router sends to the origin. Otherwise nodes fetch themselves. */
        public boolean usesCacheAside;
        /** Cache-aside: the {@link Node#kind} of the origin's entries in the node list; -1 where there is none. */
        public int originKind = -1;
        /** Whether node lists arrive only after {@link Actions#subscribe} or {@link Actions#fetchNodes}. */
        public boolean requiresSubscription;
        /** Whether {@link Actions#cancel} may be used. */
        public boolean mayCancel;
        /** Whether {@link Actions#probe} may be used. */
        public boolean mayProbe;
        /** Whether a request may have several attempts in flight at the same time. */
        public boolean mayHedge;
        /** Whether refusals may carry a retry-after time. */
        public boolean maySendRetryAfter;
        /** The longest retry-after time. */
        public long maxRetryAfterUs;
        /** The maximum number of attempts per request, including the first. */
        public int maxAttempts = 1;
        /** The maximum number of open requests at the proxy. */
        public int maxOpenRequests = Integer.MAX_VALUE;
        /** Resolution of the caller's clock: an action may take effect this much late. */
        public long tickUs;
        /** The proxy closes a connection that has been unused for this long. */
        public long idleTimeoutUs = 5_000_000;
        /** An attempt whose connection is not open after this time ends as CONNECT_FAILED; 0: unknown. */
        public long dialTimeoutUs;
        /** The maximum number of concurrent attempts on one connection. */
        public int streamsPerConnection = 1;
        /** The meaning of the node weights. */
        public WeightMode weightMode = WeightMode.NOMINAL;
        /** The source of load reports. */
        public ReportSource reportSource = ReportSource.NONE;
        /** Whether clients mark retries of their own; see {@link Request#isClientRetry}. */
        public boolean clientsMarkRetries;
        /** Whether {@link Actions#sendToPeer} may be used. */
        public boolean mayMessagePeers;
        /** Whether utility is counted per unit of work instead of per request. */
        public boolean countsUtilityByWork;
        /** Utility of a request beyond its tenant's quota, as a share of its class's utility. */
        public double overQuotaUtilityShare = 1;
        /** The origin stops when it is sent this multiple of its capacity for {@link #originOverloadUs}; 0: never. */
        public double originOverloadMultiple;
        /** The time for which the origin withstands {@link #originOverloadMultiple}. */
        public long originOverloadUs;
        /** A final answer still counts until this long after the request's due time. */
        public long answerGraceUs;
        /** CPU time in microseconds that a request with all its outcomes may take; 0: unlimited. */
        public double cpuUsPerRequest;
        /** CPU time in microseconds that the router may take per second; 0: unlimited. */
        public double cpuUsPerS;
        /** Share of the score lost if every attempt crossed zones. */
        public double crossZonePenalty;
        /** Share of the score lost if all work of the nodes were wasted. */
        public double wastedWorkPenalty;
        /** Share of the score lost if all utility were left unserved after its latency target. */
        public double unservedPenalty;
        /** Share of the score lost at 100 lines of node lists per request. */
        public double listLinePenalty;
        /** Share of the score lost at 100 open connections per node. */
        public double connectionPenalty;
        /** Share of the score lost at one probe per request. */
        public double probePenalty;
        /** Share of the score lost at one peer message of 256 bytes per request. */
        public double messagePenalty;
        /** Share of the score lost at one fetch from the origin per request. */
        public double originFetchPenalty;
        /** Weight of the whole run in the score. */
        public double wholeRunWeight = 1;
        /** Weight of the worst 10 s in the score. */
        public double worstWindowWeight;
        /** Weight of the worst request class in the score. */
        public double worstClassWeight;
        /** Weight of the worst tenant in the score. */
        public double worstTenantWeight;
        /** Weight of the tail latency part, which rates how few answers miss their target; 0: no such part. */
        public double tailLatencyWeight;
        /**
         * Share of requests that may miss their target without loss; those refused within the target do not count.
         */
        public double allowedMissShare = 1;
        /** Share of the score lost if every request opened a new connection; 0: handshakes cost nothing. */
        public double handshakePenalty;
        /** Time from the start within which the proxy has to ask for the node list. */
        public long subscribeWithinUs = 10_000_000;
        /** Share of its capacity that a node has right after its start; above 0 and at most 1. */
        public double coldCapacityShare = 1;
        /** Time from its start in which a node is cold and its capacity rises to 1; 0: nodes are never cold. */
        public long coldPeriodUs;
        /** Time for which a draining node still serves requests that are sent to it. */
        public long drainGraceUs;
        /** A node collapses when it is sent this multiple of its capacity for {@link #nodeOverloadUs}; 0: never. */
        public double nodeOverloadMultiple;
        /** The time for which a node withstands {@link #nodeOverloadMultiple}; 0: nodes do not collapse. */
        public long nodeOverloadUs;

        /**
         * Checks the settings.
         *
         * @throws IllegalArgumentException naming the first setting that no router could work with
         */
        public void validate() {
            rejectIf(classes.length == 0, "no request class is configured: grades.count must be at least 1");
            for (RequestClass requestClass : classes) {
                rejectIf(
                        requestClass.targetUs <= 0,
                        "request class '" + requestClass.name + "': targetMs must be above 0; in microseconds it is "
                                + requestClass.targetUs);
            }
            rejectIf(routerCount < 1, "balancers must be at least 1, not " + routerCount);
            rejectIf(maxAttempts < 1, "maxAttempts must be at least 1, not " + maxAttempts);
            rejectIf(
                    usesCacheAside && originKind < 0,
                    "familyInfo.mode aside requires originKind, the node kind of the origin");
            rejectIf(
                    !(coldCapacityShare > 0 && coldCapacityShare <= 1),
                    "coldFrom must be above 0 and at most 1, not " + coldCapacityShare);
        }

        private static void rejectIf(boolean isInvalid, String message) {
            if (isInvalid) {
                throw new IllegalArgumentException(message);
            }
        }
    }

    /** An entry of the node list: a cache node or the origin. */
    final class Node {
        /** Identifies the node; the same in all proxies. */
        public int id;
        /** The cell that the node belongs to. */
        public int cell;
        /** The zone that the node runs in. */
        public int zone;
        /** The kind of node; compared with {@link Settings#originKind}. */
        public int kind;
        /** The size of the node relative to others, as {@link Settings#weightMode} defines it. */
        public double weight = 1;
        /** The state of the node. */
        public NodeState state = NodeState.READY;
        /** Time of the node's latest start; {@link Long#MIN_VALUE} where it is unknown or long ago. */
        public long startedUs = Long.MIN_VALUE;
    }

    /** A client's request. */
    final class Request {
        /** Unique for the life of the router, at least 0 and below 2^52. */
        public long id;
        /** Index into {@link Settings#classes}; an index out of range is replaced by the nearest valid one. */
        public int requestClass;
        /** Index into {@link Settings#tenants}; an index out of range is treated as 0. */
        public int tenant;
        /** Hash of the cache key; 0 where the request has no key. */
        public long key;
        /** Time at which the client stops waiting; the final answer is due by then. */
        public long dueUs;
        /** Expected work in microseconds on a standard core; 0 where it is unknown. */
        public double costUs;
        /** Size of the value in bytes; 0 where it is unknown. */
        public double sizeBytes;
        /** Whether the client has sent this request before. */
        public boolean isClientRetry;
        /** Whether the request writes. */
        public boolean isWrite;
    }

    /** The actions that a router requests from its proxy. */
    interface Actions {
        /**
         * Starts the request's next attempt; attempts are numbered from 0. The attempt times out after
         * {@code timeoutUs}, or at the request's due time where this is 0.
         */
        void send(long requestId, int nodeId, long timeoutUs);

        /**
         * Answers that the request is refused and that the client can safely send it again, after
         * {@code retryAfterUs} where this is above 0.
         */
        void refuse(long requestId, long retryAfterUs);

        /** Answers that the request has failed; it may or may not have taken effect. */
        void fail(long requestId);

        /** Stops waiting for an attempt; its outcome is still reported. */
        void cancel(long requestId, int attempt);

        /** Requests an {@link Router#onTimer} with this label after {@code delayUs}. */
        void setTimer(long delayUs, long label);

        /** Checks a node; its result is reported by {@link Router#onProbeResult}. */
        void probe(int nodeId);

        /** Closes the proxy's idle connections to a node; the next attempt to it opens a new connection. */
        void closeIdleConnections(int nodeId);

        /** Subscribes to changes of the node list; answered by at least one {@link Router#onNodeList}. */
        void subscribe();

        /** Requests the whole node list once; answered by one {@link Router#onNodeList}. */
        void fetchNodes();

        /**
         * Sends at most 256 bytes to the router with this index in the tier, or to every other with {@link
         * #ALL_PEERS}.
         */
        void sendToPeer(int routerIndex, byte[] data);

        /** Addresses all other routers of the tier. */
        int ALL_PEERS = 0xffff;

        /** Writes a line to the proxy's log. */
        void log(String line);
    }

    /**
     * Delivers a node list or a change of it, or reports that a discovery call or watch ended without one. The first
     * event of a router is its {@link NodeListEvent#CACHED} list. Only the first {@code count} elements of {@code
     * nodes} are valid.
     */
    void onNodeList(long nowUs, NodeListEvent event, Node[] nodes, int count, Actions actions);

    /** Reports the arrival of a client's request. */
    void onRequest(long nowUs, Request request, Actions actions);

    /**
     * Reports how an attempt ended.
     *
     * @param nowUs the time of this event
     * @param requestId the id of the request
     * @param attempt the number of the attempt, from 0
     * @param outcome how the attempt ended
     * @param latencyUs time from the start of the attempt to its end
     * @param isAnswered whether the client already has its answer, from this outcome or from an earlier one
     * @param cacheStatus what the answer says about the node's cache
     * @param report the node's load report; all values are NaN where there is none
     * @param actions receives the router's actions
     */
    void onOutcome(
            long nowUs,
            long requestId,
            int attempt,
            Outcome outcome,
            long latencyUs,
            boolean isAnswered,
            CacheStatus cacheStatus,
            LoadReport report,
            Actions actions);

    /** Reports that a streamed answer has begun; the caller passes it on without further decisions. */
    void onStreamStarted(long nowUs, long requestId, int attempt, Actions actions);

    /** Reports that the client has disconnected and that no answer is needed any more. */
    void onClientGone(long nowUs, long requestId, Actions actions);

    /** Reports that the time of a timer set with {@link Actions#setTimer} has come. */
    void onTimer(long nowUs, long label, Actions actions);

    /** Reports the result of a {@link Actions#probe}. */
    default void onProbeResult(
            long nowUs, int nodeId, Outcome outcome, long latencyUs, LoadReport report, Actions actions) {
        // A router that never probes ignores probe results.
    }

    /**
     * Delivers a message that another router of the tier sent with {@link Actions#sendToPeer}; it may be late or
     * lost.
     */
    default void onPeerMessage(long nowUs, int routerIndex, byte[] data, Actions actions) {
        // Routing does not depend on messages between routers.
    }
}
