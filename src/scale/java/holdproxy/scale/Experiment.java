package holdproxy.scale;

import java.util.List;
import java.util.Map;

/** One kind of measurement, taken at each point of a sweep. */
public interface Experiment {
    /** As scenario files name it. */
    String name();

    /** One line on what is measured, and whether in real or virtual time. */
    String about();

    /** The numbers that a scenario may set, as axis or parameter: name to meaning, unit and default. */
    Map<String, String> inputs();

    /**
     * Measures at one point. In virtual time the same point and seed give the same values.
     *
     * @return names with values, in the order in which they are to be shown
     * @throws ScaleException where the point cannot be run as the scenario asks
     */
    Map<String, Measurement> run(Scenario.Point point, long seed, Progress progress) throws Exception;

    /** Where what is measured costs more or less than the real thing, one by one; kept with the result. */
    default List<String> differences() {
        return List.of();
    }
}
