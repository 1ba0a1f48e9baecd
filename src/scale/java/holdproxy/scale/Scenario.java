package holdproxy.scale;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A scenario file: a list of sweeps, each with an experiment, the sizes to measure and the lines to fit. */
public record Scenario(String name, List<Sweep> sweeps) {

    /**
     * One experiment, measured at every combination of the axes' sizes with fixed parameters.
     *
     * @param experiment name of the experiment
     * @param axes input name to the sizes to measure
     * @param parameters inputs that have the same value at every point
     * @param fits lines to fit to the measurements
     */
    public record Sweep(
            String experiment, Map<String, List<Double>> axes, Map<String, Double> parameters, List<FitSpec> fits) {

        List<Point> points() {
            List<Map<String, Double>> sizes = List.of(Map.of());
            for (Map.Entry<String, List<Double>> axis : axes.entrySet()) {
                List<Map<String, Double>> extended = new ArrayList<>();
                for (Map<String, Double> partial : sizes) {
                    for (Double size : axis.getValue()) {
                        Map<String, Double> combination = new LinkedHashMap<>(partial);
                        combination.put(axis.getKey(), size);
                        extended.add(combination);
                    }
                }
                sizes = extended;
            }
            return sizes.stream().map(s -> new Point(s, parameters)).toList();
        }
    }

    /**
     * A line to fit and plot.
     *
     * @param x the axis on which the measurement depends, with one line for each combination of the other
     *     axes; or a product of axes such as "proxies*nodes", with a single line
     * @param y name of the measurement
     * @param budget limit to draw in the plot, in the unit of {@code y}; null for none
     */
    public record FitSpec(String x, String y, Double budget) {}

    /** One combination of sizes, together with the sweep's parameters. */
    public record Point(Map<String, Double> sizes, Map<String, Double> parameters) {

        /**
         * The value of a required input.
         *
         * @throws ScaleException if the scenario does not set it
         */
        public double number(String name) {
            Double value = sizes.containsKey(name) ? sizes.get(name) : parameters.get(name);
            if (value == null) {
                throw new ScaleException("the scenario does not set the required input '" + name + "'");
            }
            return value;
        }

        /** The value of an optional input, or {@code fallback} if the scenario does not set it. */
        public double number(String name, double fallback) {
            return sizes.containsKey(name) || parameters.containsKey(name) ? number(name) : fallback;
        }

        /** The value of a required input, truncated to an integer. */
        public int count(String name) {
            return (int) number(name);
        }

        /** The value of an optional input, truncated to an integer. */
        public int count(String name, int fallback) {
            return (int) number(name, fallback);
        }

        @Override
        public String toString() {
            List<String> parts = new ArrayList<>();
            sizes.forEach((k, v) -> parts.add(k + "=" + Result.formatNumber(v)));
            return String.join(" ", parts);
        }
    }

    /**
     * Reads and checks a scenario file.
     *
     * @throws ScaleException if the file cannot be read or is invalid; the message has one line
     */
    static Scenario load(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ScaleException(
                    "scenario " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
        Scenario scenario;
        try {
            scenario = JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .build()
                    .readValue(text, Scenario.class);
        } catch (JacksonException e) {
            String position =
                    e.getLocation() == null ? "" : " at line " + e.getLocation().getLineNr();
            String path = e instanceof JsonMappingException m
                    ? " " + m.getPathReference().replaceAll("[\\w.$]+\\[", "[").replace("->", "")
                    : "";
            throw new ScaleException("scenario " + file + " is invalid" + position + path + ": "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        if (scenario == null) {
            throw new ScaleException("scenario " + file + " is empty");
        }
        try {
            return scenario.validated();
        } catch (ScaleException e) {
            throw new ScaleException("scenario " + file + ": " + e.getMessage());
        }
    }

    private Scenario validated() {
        reject(name == null || !name.matches("[a-z0-9-]+"), "name must consist of a-z, 0-9 and -");
        reject(sweeps == null || sweeps.isEmpty(), "sweeps is missing or empty");
        return new Scenario(name, sweeps.stream().map(Scenario::validated).toList());
    }

    private static Sweep validated(Sweep parsed) {
        reject(parsed == null || parsed.experiment == null, "a sweep does not name an experiment");
        Sweep sweep = new Sweep(
                parsed.experiment,
                parsed.axes == null ? Map.of() : parsed.axes,
                parsed.parameters == null ? Map.of() : parsed.parameters,
                parsed.fits == null ? List.of() : parsed.fits);
        Map<String, String> inputs = Experiments.named(sweep.experiment).inputs();
        sweep.axes.forEach((axis, sizes) -> {
            checkInputName(axis, sweep, inputs);
            reject(sizes == null || sizes.isEmpty(), "axis '" + axis + "' has no sizes");
            sizes.forEach(n -> checkNumber(axis, n));
        });
        sweep.parameters.forEach((name, n) -> {
            checkInputName(name, sweep, inputs);
            checkNumber(name, n);
            reject(sweep.axes.containsKey(name), "'" + name + "' is both an axis and a parameter");
        });
        for (FitSpec fit : sweep.fits) {
            reject(fit == null || fit.x == null || fit.y == null, "a fit needs both x and y");
            for (String axis : fit.x.split("\\*")) {
                reject(!sweep.axes.containsKey(axis), "a fit uses '" + axis + "', which is not an axis of its sweep");
            }
        }
        return sweep;
    }

    private static void checkInputName(String name, Sweep sweep, Map<String, String> inputs) {
        reject(
                !inputs.containsKey(name),
                "'" + name + "' is not an input of " + sweep.experiment + "; valid inputs: " + inputs.keySet());
    }

    private static void checkNumber(String name, Double value) {
        reject(
                value == null || value < 0 || value.isNaN() || value.isInfinite(),
                "'" + name + "' must be a finite number, 0 or greater");
    }

    private static void reject(boolean bad, String message) {
        if (bad) {
            throw new ScaleException(message);
        }
    }
}
