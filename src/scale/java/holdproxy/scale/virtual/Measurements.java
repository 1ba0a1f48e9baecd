package holdproxy.scale.virtual;

import holdproxy.scale.Measurement;
import java.util.LinkedHashMap;
import java.util.Map;

/** Collects the measurements of one point by name, in the order in which they are shown. */
final class Measurements {
    private final Map<String, Measurement> byName = new LinkedHashMap<>();

    void put(String name, double value, String unit) {
        byName.put(name, new Measurement(value, unit));
    }

    Map<String, Measurement> asMap() {
        return byName;
    }
}
