package holdproxy.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command line of the scale run: reads a scenario, runs its experiments and writes the results. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        version = "holdproxy scale run 0.1.0",
        sortOptions = false,
        description = "Measures real proxies, control-plane proxies and the routing policy at the sizes "
                + "given in a scenario file; writes result.json, table.md and plots.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all requested points were measured",
            "1:internal error during the run",
            "2:the run is not possible as requested: invalid scenario, missing jar or port in use"
        })
public final class Scale implements Callable<Integer> {
    private static final int EXIT_INTERNAL_ERROR = 1;
    private static final int EXIT_CANNOT_RUN = 2;

    @Parameters(arity = "0..1", paramLabel = "SCENARIO.json", description = "Scenario file that says what to measure.")
    private Path scenarioFile;

    @Option(
            names = "--seed",
            description = "Seed of all random numbers (default: ${DEFAULT-VALUE}); experiments in "
                    + "virtual time give identical results for the same seed.",
            defaultValue = "1")
    private long seed;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Output folder (default: " + "target/scale/ followed by the scenario's name).")
    private Path outputFolder;

    @Option(names = "--resume", description = "Reuse the points already present in DIR/result.json.")
    private boolean resume;

    @Option(
            names = "--begin-within",
            paramLabel = "SECONDS",
            defaultValue = "86400",
            description = "Start no new point after this time; continue later with --resume.")
    private long beginWithinS;

    @Option(names = "--list", description = "List the experiments and their inputs, then exit.")
    private boolean listExperiments;

    private Logger log;

    private Scale() {}

    /**
     * Runs the command line and exits with its exit code. If the run is not possible as requested, the code is
     * 2 and one line on standard error states the reason.
     */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
        return new CommandLine(new Scale())
                .setParameterExceptionHandler((e, a) -> reportError(EXIT_CANNOT_RUN, e))
                .setExecutionExceptionHandler((e, c, r) ->
                        reportError(e instanceof ScaleException ? EXIT_CANNOT_RUN : EXIT_INTERNAL_ERROR, e))
                .execute(args);
    }

    private static int reportError(int exitCode, Exception exception) {
        String message = exception instanceof ScaleException || exception instanceof CommandLine.ParameterException
                ? exception.getMessage()
                : "internal error: " + exception;
        System.err.println("scale: " + message.replaceAll("\\s+", " "));
        if (exitCode == EXIT_INTERNAL_ERROR) {
            exception.printStackTrace();
        }
        return exitCode;
    }

    @Override
    public Integer call() throws Exception {
        if (listExperiments) {
            for (Experiment experiment : Experiments.all()) {
                System.out.println(experiment.name() + ": " + experiment.about());
                experiment.inputs().forEach((name, meaning) -> System.out.println("    " + name + ": " + meaning));
            }
            return 0;
        }
        if (scenarioFile == null) {
            throw new ScaleException("no scenario file given; see --help");
        }
        Scenario scenario = Scenario.load(scenarioFile);
        Path folder = outputFolder != null
                ? outputFolder
                : repositoryRoot().resolve("target/scale").resolve(scenario.name());
        log = LoggerFactory.getLogger("scale");
        measure(scenario, folder);
        return 0;
    }

    private void measure(Scenario scenario, Path folder) throws Exception {
        List<Result.Measured> results = new ArrayList<>();
        List<Result.Measured> previous = List.of();
        if (resume && Files.exists(folder.resolve("result.json"))) {
            Result previousResult = Result.load(folder.resolve("result.json"));
            if (previousResult.seed() != seed || !previousResult.scenario().equals(scenario.name())) {
                throw new ScaleException(folder + " contains the result of another scenario or seed");
            }
            previous = previousResult.points();
        }
        long startNs = System.nanoTime();
        int pointCount =
                scenario.sweeps().stream().mapToInt(w -> w.points().size()).sum();
        int pointNumber = 0;
        int unmeasured = 0;
        for (Scenario.Sweep sweep : scenario.sweeps()) {
            Experiment experiment = Experiments.named(sweep.experiment());
            for (Scenario.Point point : sweep.points()) {
                String label = "[" + ++pointNumber + "/" + pointCount + "] " + experiment.name() + " " + point;
                Optional<Result.Measured> reused = previous.stream()
                        .filter(m -> m.matches(experiment.name(), point))
                        .findFirst();
                if (reused.isPresent()) {
                    results.add(reused.get());
                    continue;
                }
                if ((System.nanoTime() - startNs) / 1_000_000_000L >= beginWithinS) {
                    unmeasured++;
                    continue;
                }
                log.info("{}", label);
                long pointStartNs = System.nanoTime();
                results.add(new Result.Measured(
                        experiment.name(),
                        point.sizes(),
                        point.parameters(),
                        experiment.run(point, seed, step -> log.info("{}: {}", label, step))));
                log.info("{}: done in {} ms", label, (System.nanoTime() - pointStartNs) / 1_000_000);
                Result.of(scenario, seed, results).write(folder);
            }
        }
        Result result = Result.of(scenario, seed, results);
        writeResults(result, folder, unmeasured);
        List<String> missing = result.messagesOfMissingFits(scenario);
        if (!missing.isEmpty()) {
            throw new ScaleException("scenario " + scenarioFile + ": " + String.join("; ", missing));
        }
    }

    private void writeResults(Result result, Path folder, int unmeasured) throws IOException {
        result.write(folder);
        System.out.print(result.table());
        List<String> plots = Plot.write(result, folder);
        log.info("wrote result.json, table.md and plots to {} ({} plots)", folder, plots.size());
        if (unmeasured > 0) {
            log.warn("{} points were not measured; continue with --resume", unmeasured);
        }
    }

    /**
     * The root folder of the repository, which contains the deploy file and the built jar. It is the system
     * property {@code holdproxy.root}, or the working directory if that is not set.
     */
    public static Path repositoryRoot() {
        return Path.of(System.getProperty("holdproxy.root", "")).toAbsolutePath();
    }
}
