package holdproxy;

/** A request that has no answer yet or still has attempts in flight. */
final class InFlightRequest {
    final long id;
    final long key;
    final long arrivedAt;
    final long dueAt;
    final Router.RequestClass requestClass;
    final int tenant;
    final double costUs;
    final boolean isWrite;
    /** Whether the key is requested so often that it is spread over more nodes than other keys. */
    boolean isHotKey;

    /** Whether an attempt has been sent to the origin. */
    boolean isSentToOrigin;

    /** Whether the client has its answer, receives a streamed one, or has disconnected. */
    boolean isConcluded;

    /** Whether a failure of this request has already been counted against its tenant. */
    boolean isCountedAsFailure;

    /** Number of attempts sent so far. */
    int attempts;

    /** The attempts in flight, one bit each. */
    int inFlightMask;

    /** The attempts that may have run, one bit each: those not proven by their outcome not to have run. */
    int mayHaveRunMask;

    /** The node of each attempt. */
    final Backend[] nodes = new Backend[RoutingPolicy.MAX_ATTEMPTS];

    /** How long the node's connection had been idle when each attempt was sent; -1 for a new connection. */
    final long[] idledUs = new long[RoutingPolicy.MAX_ATTEMPTS];

    /** The time at which each attempt was sent. */
    final long[] sentAt = new long[RoutingPolicy.MAX_ATTEMPTS];

    InFlightRequest(Router.Request request, Router.RequestClass requestClass, int tenant, long now) {
        id = request.id;
        key = request.key;
        arrivedAt = now;
        dueAt = request.dueUs;
        this.requestClass = requestClass;
        this.tenant = tenant;
        costUs = request.costUs;
        isWrite = request.isWrite;
    }

    /** Returns the time that an attempt took beyond the request's expected work, as a share of the latency target. */
    double waitShare(long latencyUs) {
        return Math.max(0, latencyUs - costUs) / requestClass.targetUs;
    }

    /** Records the sending of the next attempt. */
    void recordSend(Backend node, long now) {
        nodes[attempts] = node;
        sentAt[attempts] = now;
        inFlightMask |= 1 << attempts;
        mayHaveRunMask |= 1 << attempts;
        attempts++;
        node.inFlight++;
    }

    /** Returns whether the attempt is in flight; false for an attempt that was never sent. */
    boolean isInFlight(int attempt) {
        return attempt < attempts && (inFlightMask & 1 << attempt) != 0;
    }

    /** Records the end of an attempt; {@code neverRan} tells that its outcome proves that it did not run. */
    void recordEnd(int attempt, boolean neverRan) {
        inFlightMask &= ~(1 << attempt);
        nodes[attempt].inFlight--;
        if (neverRan) {
            mayHaveRunMask &= ~(1 << attempt);
        }
    }

    /** Returns whether an attempt has been sent to this node. */
    boolean hasTried(Backend node) {
        for (int i = 0; i < attempts; i++) {
            if (nodes[i] == node) {
                return true;
            }
        }
        return false;
    }
}
