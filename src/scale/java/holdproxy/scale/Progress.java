package holdproxy.scale;

/** Where an experiment tells what it is at, for whoever watches. */
@FunctionalInterface
public interface Progress {
    void step(String what);
}
