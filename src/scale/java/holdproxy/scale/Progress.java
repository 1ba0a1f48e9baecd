package holdproxy.scale;

/** Receives the name of each step that an experiment begins, to show progress to the user. */
@FunctionalInterface
public interface Progress {
    /** Reports the step that begins now. */
    void step(String what);
}
