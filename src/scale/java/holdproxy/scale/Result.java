package holdproxy.scale;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The results of a scale run. They contain no time of day, so that a run in virtual time reproduces the file
 * byte for byte.
 *
 * @param scenario name of the scenario
 * @param seed seed of the run's random numbers
 * @param points measurements at each point measured so far
 * @param fits lines fitted to the points
 * @param differences experiment name to the list of its differences from real proxies
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Result(
        String scenario, long seed, List<Measured> points, List<Fit> fits, Map<String, List<String>> differences) {
    private static final JsonMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    /**
     * The measurements at one point.
     *
     * @param experiment name of the experiment
     * @param sizes axis name to size
     * @param parameters the sweep's parameters
     * @param measured measurement name to value, in display order
     */
    public record Measured(
            String experiment,
            Map<String, Double> sizes,
            Map<String, Double> parameters,
            Map<String, Measurement> measured) {

        boolean matches(String name, Scenario.Point point) {
            return experiment.equals(name) && sizes.equals(point.sizes()) && parameters.equals(point.parameters());
        }
    }

    static Result of(Scenario scenario, long seed, List<Measured> points) {
        List<Fit> fits = new ArrayList<>();
        Map<String, List<String>> differences = new LinkedHashMap<>();
        for (Scenario.Sweep sweep : scenario.sweeps()) {
            List<Measured> matching = points.stream()
                    .filter(m -> sweep.points().stream().anyMatch(p -> m.matches(sweep.experiment(), p)))
                    .toList();
            sweep.fits().forEach(line -> fits.addAll(fits(sweep, line, matching)));
            List<String> experimentDifferences =
                    Experiments.named(sweep.experiment()).differences();
            if (!experimentDifferences.isEmpty()) {
                differences.put(sweep.experiment(), experimentDifferences);
            }
        }
        return new Result(scenario.name(), seed, points, fits, differences);
    }

    /**
     * Messages about measurements that the scenario requests a fit for, but that no measured point of the
     * experiment contains. An experiment without any measured point is not reported.
     */
    List<String> messagesOfMissingFits(Scenario scenario) {
        return scenario.sweeps().stream()
                .flatMap(s -> s.fits().stream()
                        .filter(l -> points.stream().anyMatch(m -> m.experiment.equals(s.experiment())))
                        .filter(l -> points.stream()
                                .noneMatch(m -> m.experiment.equals(s.experiment()) && m.measured.containsKey(l.y())))
                        .map(l -> s.experiment() + " has no measurement '" + l.y() + "'"))
                .toList();
    }

    private static List<Fit> fits(Scenario.Sweep sweep, Scenario.FitSpec line, List<Measured> points) {
        List<String> axes = List.of(line.x().split("\\*"));
        Map<Map<String, Double>, List<double[]>> pointsByOtherSizes = new LinkedHashMap<>();
        String unit = "";
        for (Measured point : points) {
            Measurement y = point.measured().get(line.y());
            if (y == null) {
                continue;
            }
            unit = y.unit();
            Map<String, Double> otherSizes = new LinkedHashMap<>(point.sizes());
            if (axes.size() == 1) {
                otherSizes.remove(line.x());
            } else {
                otherSizes.clear();
            }
            double x = axes.stream().mapToDouble(a -> point.sizes().get(a)).reduce(1, (a, b) -> a * b);
            pointsByOtherSizes
                    .computeIfAbsent(otherSizes, k -> new ArrayList<>())
                    .add(new double[] {x, y.value()});
        }
        List<Fit> fits = new ArrayList<>();
        for (Map.Entry<Map<String, Double>, List<double[]>> entry : pointsByOtherSizes.entrySet()) {
            fits.add(Fit.of(sweep.experiment(), line, unit, entry.getKey(), entry.getValue()));
        }
        return fits;
    }

    static Result load(Path file) {
        try {
            return JSON.readValue(file.toFile(), Result.class);
        } catch (IOException e) {
            throw new ScaleException(
                    "result " + file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** Writes {@code result.json} and {@code table.md}. The JSON file is replaced atomically, never half written. */
    void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path temporary = folder.resolve("result.json.part");
        Files.writeString(temporary, JSON.writeValueAsString(this) + "\n");
        Files.move(temporary, folder.resolve("result.json"), StandardCopyOption.REPLACE_EXISTING);
        Files.writeString(folder.resolve("table.md"), table());
    }

    String table() {
        StringBuilder text = new StringBuilder("# " + scenario + ", seed " + seed + "\n");
        Map<String, List<Measured>> groups = new LinkedHashMap<>();
        points.forEach(m -> groups.computeIfAbsent(m.experiment + " " + m.sizes.keySet(), k -> new ArrayList<>())
                .add(m));
        for (List<Measured> group : groups.values()) {
            Measured first = group.get(0);
            text.append("\n## ").append(first.experiment()).append("\n\n| measured | unit |");
            group.forEach(m -> text.append(' ')
                    .append(new Scenario.Point(m.sizes, Map.of()))
                    .append(" |"));
            text.append("\n| --- | --- |")
                    .append(" ---: |".repeat(group.size()))
                    .append('\n');
            first.measured().forEach((name, value) -> {
                text.append("| ")
                        .append(name)
                        .append(" | ")
                        .append(value.unit())
                        .append(" |");
                group.forEach(m -> text.append(' ')
                        .append(
                                m.measured().containsKey(name)
                                        ? formatNumber(m.measured().get(name).value())
                                        : "")
                        .append(" |"));
                text.append('\n');
            });
        }
        if (!fits.isEmpty()) {
            text.append("\n## Fits\n\n| experiment | line | held | points | slope | intercept | r2 | budget |\n"
                    + "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |\n");
            fits.forEach(f -> text.append(String.join(
                            " | ",
                            "| " + f.experiment(),
                            f.y() + " (" + f.unit() + ") against " + f.x(),
                            new Scenario.Point(f.others(), Map.of()).toString(),
                            Integer.toString(f.points().size()),
                            formatNumber(f.slope()),
                            formatNumber(f.intercept()),
                            formatNumber(f.r2()),
                            f.budget() == null ? "" : formatNumber(f.budget())))
                    .append(" |\n"));
        }
        differences.forEach((name, sentences) -> {
            text.append("\n## Differences from real proxies in ").append(name).append("\n\n");
            sentences.forEach(d -> text.append("- ").append(d).append('\n'));
        });
        return text.toString();
    }

    /** Formats a number with four significant digits, or completely if it is an integer below 1e9. */
    static String formatNumber(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e9) {
            return Long.toString((long) value);
        }
        double magnitude = Math.abs(value);
        if (!(magnitude < 1e9 && magnitude >= 1e-4)) {
            return String.format(Locale.ROOT, "%.3g", value);
        }
        int decimals = (int) Math.max(0, 3 - Math.floor(Math.log10(magnitude)));
        return String.format(Locale.ROOT, "%." + decimals + "f", value);
    }
}
