package holdproxy.scale.virtual;

import holdproxy.Router;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.SplittableUniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The clients of a simulated fleet. They issue requests as Poisson streams with skewed keys and tenants, and retry
 * them as the client protocol allows.
 */
final class Clients {
    /** Receives the events in the life of each request, as its client sees them. */
    interface RequestListener {
        /** The client issues a request. */
        void onIssued(ClientRequest request);

        /** A try was refused; {@code first} tells whether it was the request's first try. */
        void onRefused(ClientRequest request, boolean first);

        /** A try of the request was served, this long after the request was issued. */
        void onServed(ClientRequest request, long latencyUs);

        /** The client has given the request up. */
        void onAbandoned(ClientRequest request);
    }

    /** A Poisson stream of requests of one or several tenants, which enters at a range of proxies. */
    static final class RequestStream {
        final int[] tenants;
        /** Relative request rates of the tenants. */
        final double[] weights;
        /** Index of the first proxy of the range. */
        final int firstProxy;
        /** Number of proxies in the range. */
        final int proxyCount;

        private double requestsPerS;
        /**
         * Due time of the next request. It keeps fractions of a microsecond, because dropping them would raise the
         * rate.
         */
        private double nextDueUs;

        /** Counts starts and changes of the rate: an event scheduled before the latest one is ignored. */
        private int generation;

        private SharedStateDiscreteSampler tenantSampler;

        RequestStream(int[] tenants, double[] weights, double requestsPerS, int firstProxy, int proxyCount) {
            this.tenants = tenants;
            this.weights = weights;
            this.requestsPerS = requestsPerS;
            this.firstProxy = firstProxy;
            this.proxyCount = proxyCount;
        }
    }

    private final Simulation simulation;
    private final FleetConfig config;
    private final EventClock clock;
    private final SplittableUniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private final ZipfSampler keySampler;
    private final RequestListener listener;
    /** Open tries, indexed by the low bits of their ids; a slot is reused long after its try has ended. */
    private final ClientTry[] tries;

    /** First tries of each class, in the order in which their time ends. */
    private final List<ArrayDeque<ClientTry>> firstTriesByClass = new ArrayList<>();

    private long lastTryId;
    private boolean stopped;

    Clients(Simulation simulation, SplittableUniformRandomProvider random, RequestListener listener) {
        this.simulation = simulation;
        this.random = random;
        exponential = ZigguratSampler.Exponential.of(random);
        this.listener = listener;
        config = simulation.config;
        clock = simulation.clock;
        keySampler = new ZipfSampler(config.keys, config.zipfExponent, config.zipfOffset, random);
        int slots = Integer.highestOneBit((int) Math.min(1 << 26, config.requestsPerS * 16)) << 1;
        tries = new ClientTry[Math.max(1 << 16, slots)];
        for (int i = 0; i < FleetConfig.CLASS_SHARES.length; i++) {
            firstTriesByClass.add(new ArrayDeque<>());
        }
    }

    /** The open try with this id, or null. */
    ClientTry findTry(long id) {
        ClientTry clientTry = tries[(int) id & tries.length - 1];
        return clientTry == null || clientTry.id != id ? null : clientTry;
    }

    /** Starts a stream at its rate. */
    void start(RequestStream stream) {
        stream.nextDueUs = clock.now();
        stream.tenantSampler = AliasMethodDiscreteSampler.of(random, stream.weights);
        scheduleNext(stream, ++stream.generation);
    }

    /** Changes the rate of a stream that has been started. */
    void setRate(RequestStream stream, double requestsPerS) {
        stream.requestsPerS = requestsPerS;
        stream.nextDueUs = clock.now();
        scheduleNext(stream, ++stream.generation);
    }

    /** Issues no new requests from now on; requests that are open are still retried. */
    void stop() {
        stopped = true;
    }

    private void scheduleNext(RequestStream stream, int generation) {
        if (stream.requestsPerS <= 0) {
            return;
        }
        stream.nextDueUs += exponential.sample() * 1e6 / stream.requestsPerS;
        clock.scheduleAt((long) stream.nextDueUs, () -> {
            if (generation == stream.generation && !stopped) {
                issueRequest(stream);
                scheduleNext(stream, generation);
            }
        });
    }

    private void issueRequest(RequestStream stream) {
        ClientRequest request = new ClientRequest();
        double remaining = random.nextDouble();
        while (request.requestClass < FleetConfig.CLASS_SHARES.length - 1
                && remaining >= FleetConfig.CLASS_SHARES[request.requestClass]) {
            remaining -= FleetConfig.CLASS_SHARES[request.requestClass++];
        }
        request.tenant = stream.tenants[stream.tenantSampler.sample()];
        // Spreads the ranks over the key space. The lowest bit is set because key 0 would mean that there is no key.
        request.key = (keySampler.sample() + 1L) * 0x9e3779b97f4a7c15L | 1;
        request.issuedUs = clock.now();
        request.dueUs = request.issuedUs + simulation.settings.classes[request.requestClass].deadlineUs;
        request.retriesLeft = config.clientRetries;
        int proxyIndex = stream.firstProxy + random.nextInt(stream.proxyCount);
        request.firstProxy = proxyIndex;
        request.homeProxy = config.retryAtAnyProxy && stream.proxyCount == config.proxies ? -1 : proxyIndex;
        listener.onIssued(request);
        submit(request, proxyIndex);
    }

    private void submit(ClientRequest request, int proxyIndex) {
        SimulatedProxy proxy = simulation.proxies[proxyIndex % simulation.proxies.length];
        long now = clock.now();
        long tryTimeoutUs =
                (long) (config.tryTimeoutShare * simulation.settings.classes[request.requestClass].deadlineUs);
        ClientTry clientTry = new ClientTry(
                request,
                ++lastTryId,
                proxy,
                Math.min(request.dueUs, now + tryTimeoutUs),
                simulation.settings.maxAttempts);
        if (!proxy.running) {
            clientTry.answered = true;
            // The connection is refused, so a retry at another proxy is harmless.
            clock.scheduleAfter(1000, () -> tryRefused(clientTry, 0));
            return;
        }
        int slot = (int) clientTry.id & tries.length - 1;
        ClientTry earlier = tries[slot];
        if (earlier != null && !isSettled(earlier) && earlier.proxyGeneration == earlier.proxy.generation()) {
            throw new IllegalStateException(
                    "the slot of a new try is in use: the try begun " + tries.length + " tries earlier is still open");
        }
        tries[slot] = clientTry;
        scheduleExpiry(clientTry, now);
        proxy.receive(clientTry);
    }

    /** Schedules the end of a try's time. First tries of a class end in the order of issue, so they share one timer. */
    private void scheduleExpiry(ClientTry clientTry, long now) {
        if (clientTry.request.issuedUs != now) {
            clock.scheduleAt(clientTry.dueUs, () -> expire(clientTry));
            return;
        }
        ArrayDeque<ClientTry> firstTries = firstTriesByClass.get(clientTry.request.requestClass);
        firstTries.add(clientTry);
        if (firstTries.size() == 1) {
            clock.scheduleAt(clientTry.dueUs, () -> expireFirstTries(firstTries));
        }
    }

    private void expireFirstTries(ArrayDeque<ClientTry> firstTries) {
        long now = clock.now();
        while (!firstTries.isEmpty() && (firstTries.peek().dueUs <= now || isSettled(firstTries.peek()))) {
            expire(firstTries.poll());
        }
        if (!firstTries.isEmpty()) {
            clock.scheduleAt(firstTries.peek().dueUs, () -> expireFirstTries(firstTries));
        }
    }

    private void expire(ClientTry clientTry) {
        if (!isSettled(clientTry)) {
            clientTry.proxy.expire(clientTry);
        }
        int slot = (int) clientTry.id & tries.length - 1;
        if (tries[slot] == clientTry) {
            tries[slot] = null;
        }
    }

    /** Whether a try is answered and has no pending attempt. */
    private static boolean isSettled(ClientTry clientTry) {
        if (!clientTry.answered) {
            return false;
        }
        for (int i = 0; i < clientTry.attemptCount; i++) {
            if (clientTry.attempts[i].pending) {
                return false;
            }
        }
        return true;
    }

    // ---- answers ----

    /** Handles a try that the proxy has served; it is ignored if the request is already finished. */
    void tryServed(ClientTry clientTry) {
        if (!clientTry.request.finished) {
            clientTry.request.finished = true;
            listener.onServed(clientTry.request, clock.now() - clientTry.request.issuedUs);
        }
    }

    /** Handles a try that the proxy has refused; {@code retryAfterUs} is the advised wait, 0 for none. */
    void tryRefused(ClientTry clientTry, long retryAfterUs) {
        listener.onRefused(clientTry.request, clientTry.request.retriesLeft == config.clientRetries);
        retry(clientTry, random.nextDouble() < config.retryAfterHonouredShare ? retryAfterUs : 0);
    }

    /** Handles a try that has failed. */
    void tryFailed(ClientTry clientTry) {
        // The request may have been executed, so it is retried only where a repeat is harmless.
        if (simulation.settings.classes[clientTry.request.requestClass].effect == Router.Effect.UNSAFE) {
            abandon(clientTry.request);
        } else {
            retry(clientTry, 0);
        }
    }

    /** Retries a request after the longer of the advised wait and a random backoff, or abandons it. */
    private void retry(ClientTry clientTry, long retryAfterUs) {
        ClientRequest request = clientTry.request;
        long waitUs = Math.max(retryAfterUs, (long) (config.backoffMs * 1000 * (0.5 + random.nextDouble())));
        if (request.finished || request.retriesLeft-- <= 0 || clock.now() + waitUs >= request.dueUs) {
            abandon(request);
            return;
        }
        int proxyIndex = request.homeProxy >= 0 ? request.homeProxy : random.nextInt(config.proxies);
        clock.scheduleAfter(waitUs, () -> submit(request, proxyIndex));
    }

    private void abandon(ClientRequest request) {
        if (!request.finished) {
            request.finished = true;
            listener.onAbandoned(request);
        }
    }

    /** Handles the kill of a proxy: all tries that it had not answered fail. */
    void proxyKilled(SimulatedProxy proxy, int generation) {
        for (ClientTry clientTry : tries) {
            if (clientTry != null
                    && clientTry.proxy == proxy
                    && clientTry.proxyGeneration == generation
                    && !clientTry.answered) {
                clientTry.answered = true;
                tryFailed(clientTry);
            }
        }
    }

    /** Handles the stop of a cache node: the attempts that are pending on its connections are reset. */
    void nodeStopped(CacheNode node) {
        for (ClientTry clientTry : tries) {
            if (clientTry != null && clientTry.proxyGeneration == clientTry.proxy.generation()) {
                clientTry.proxy.resetAttempts(clientTry, node);
            }
        }
    }
}
