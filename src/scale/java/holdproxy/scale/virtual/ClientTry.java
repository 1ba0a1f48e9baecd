package holdproxy.scale.virtual;

/** A try of a client's request at a proxy, under a request id of its own, with the attempts that the proxy makes. */
final class ClientTry {
    final ClientRequest request;
    final long id;
    final SimulatedProxy proxy;
    /** Generation of the proxy's process that received the try, from {@link SimulatedProxy#generation}. */
    final int proxyGeneration;
    /** Time at which the client gives the try up. */
    final long dueUs;
    /** Whether the try has its final answer: it was served or refused, or it failed. */
    boolean answered;

    final Attempt[] attempts;
    int attemptCount;

    ClientTry(ClientRequest request, long id, SimulatedProxy proxy, long dueUs, int maxAttempts) {
        this.request = request;
        this.id = id;
        this.proxy = proxy;
        this.proxyGeneration = proxy.generation();
        this.dueUs = dueUs;
        attempts = new Attempt[maxAttempts];
    }
}
