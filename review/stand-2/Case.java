package stand2;

import java.nio.file.Path;

/** Runs one case and ends with its result: 10 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
    private static final int MAX_RUN_MS = 115_000;

    /** Whether the disruption happens. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Recorder recorder;

    /** Plays the case; returns what broke the rule, or null if it held. */
    abstract String play() throws Exception;

    /** Runs the case and ends the process. */
    final void run(String[] args) {
        Threads.start("time limit", () -> {
            Thread.sleep(MAX_RUN_MS);
            System.err.println("could not run: the time is over");
            System.exit(2);
        });
        int code = 2;
        try {
            recorder = new Recorder(Path.of(args[0], "record.txt"));
            recorder.line("the disruption %s", trouble ? "happens" : "does not happen (TROUBLE=0)");
            String broken = play();
            code = broken == null ? 0 : 10;
            String result = broken == null ? "the rule held" : "the rule was broken: " + broken;
            recorder.line("%s", result);
            System.out.println(result);
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** Fails the case as one that could not run. */
    static void require(boolean condition, String what) {
        if (!condition) {
            throw new CannotRun(what);
        }
    }
}
