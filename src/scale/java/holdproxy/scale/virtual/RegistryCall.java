package holdproxy.scale.virtual;

/** One proxy's call to discovery: a whole list once, or a watch. */
final class RegistryCall {
    final HollowProxy by;
    final int life;
    final boolean stream;
    boolean over;
    boolean open;

    RegistryCall(HollowProxy by, boolean stream) {
        this.by = by;
        this.life = by.life();
        this.stream = stream;
    }
}
