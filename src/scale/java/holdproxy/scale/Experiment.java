package holdproxy.scale;

import java.util.List;
import java.util.Map;

/** A kind of measurement that can be taken at each point of a sweep. */
public interface Experiment {
    /** The name by which scenario files refer to this experiment. */
    String name();

    /** A description of one line: what is measured, and whether in real or virtual time. */
    String about();

    /** The inputs that a scenario may set as an axis or a parameter: name to meaning, unit and default value. */
    Map<String, String> inputs();

    /**
     * Measures at one point. In virtual time, the same point and seed give the same values.
     *
     * @return measurement name to value, in display order
     * @throws ScaleException if the point cannot be run as the scenario requests
     */
    Map<String, Measurement> run(Scenario.Point point, long seed, Progress progress) throws Exception;

    /**
     * The ways in which the measured system costs more or less than real proxies, as a list of sentences. They
     * are stored with the result. Empty if there are none.
     */
    default List<String> differences() {
        return List.of();
    }
}
