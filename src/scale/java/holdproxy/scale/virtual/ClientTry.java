package holdproxy.scale.virtual;

/** One try of a client at a proxy: a request id, with the attempts that the proxy has made for it. */
final class ClientTry {
    final ClientRequest of;
    final long id;
    final HollowProxy proxy;
    final int life;
    final long dueUs;
    boolean answered;
    final Attempt[] attempts;
    int attemptCount;

    ClientTry(ClientRequest of, long id, HollowProxy proxy, long dueUs, int most) {
        this.of = of;
        this.id = id;
        this.proxy = proxy;
        this.life = proxy.life();
        this.dueUs = dueUs;
        attempts = new Attempt[most];
    }
}
