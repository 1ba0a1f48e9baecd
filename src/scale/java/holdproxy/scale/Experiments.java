package holdproxy.scale;

import holdproxy.scale.real.ControlExperiment;
import holdproxy.scale.real.ListExperiment;
import holdproxy.scale.virtual.VirtualExperiments;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The registry of all experiments, by the names that scenario files use. */
final class Experiments {
    private static final Map<String, Experiment> BY_NAME = new LinkedHashMap<>();

    static {
        List<Experiment> all = new ArrayList<>();
        all.add(new ControlExperiment());
        all.add(new ListExperiment());
        all.addAll(VirtualExperiments.all());
        all.forEach(e -> BY_NAME.put(e.name(), e));
    }

    private Experiments() {}

    static List<Experiment> all() {
        return List.copyOf(BY_NAME.values());
    }

    /**
     * The experiment with this name.
     *
     * @throws ScaleException if there is none
     */
    static Experiment named(String name) {
        Experiment experiment = BY_NAME.get(name);
        if (experiment == null) {
            throw new ScaleException("no experiment is named '" + name + "'; known experiments: " + BY_NAME.keySet());
        }
        return experiment;
    }
}
