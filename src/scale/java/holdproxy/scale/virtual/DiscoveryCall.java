package holdproxy.scale.virtual;

/** A proxy's call to discovery, for the whole list once or for a watch of its changes. */
final class DiscoveryCall {
    final SimulatedProxy proxy;
    /** Generation of the proxy's process that made the call, from {@link SimulatedProxy#generation}. */
    final int proxyGeneration;

    final boolean isWatch;
    /** Whether the call needs no further handling: it has failed, or its whole list was sent. */
    boolean finished;
    /** Whether discovery has answered and the watch, if the call is for one, is still open. */
    boolean established;

    DiscoveryCall(SimulatedProxy proxy, boolean isWatch) {
        this.proxy = proxy;
        this.proxyGeneration = proxy.generation();
        this.isWatch = isWatch;
    }
}
