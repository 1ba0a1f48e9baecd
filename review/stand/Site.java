import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: cache nodes, discovery, and one proxy. */
final class Site {
    final Record record;
    final List<CacheNode> nodes = new ArrayList<>();
    final ProxyProcess proxy;
    /** Whether the case plays its disruption. */
    final boolean trouble = hasTrouble();

    Site(String recordFile, int nodeCount, CacheNode.Plan plan) throws Exception {
        record = new Record(recordFile);
        record.line("case", trouble ? "with the disruption" : "without the disruption");
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new CacheNode("node" + i, record, plan));
        }
        Discovery discovery = new Discovery(record, nodes);
        Path folder = Files.createTempDirectory("review");
        proxy = new ProxyProcess("n0", record, folder, nodes, discovery.port(), Padano.settings());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> keepLog(folder, recordFile)));
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Runs a case; one that cannot run ends with 2. */
    static void run(Threads.Work work) {
        try {
            work.run();
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    /** Ends a case that could not run. */
    void cannotRun(String why) {
        record.line("case", "could not run: " + why);
        System.out.println("could not run: " + why);
        System.exit(2);
    }

    /** Copies the log of the proxy to the record, and removes the temporary folder. */
    private void keepLog(Path folder, String recordFile) {
        try {
            for (String line : Files.readAllLines(folder.resolve("n0.log"))) {
                record.line("n0 log", line);
            }
            Files.delete(folder.resolve("n0.log"));
            Files.delete(folder.resolve("n0.json"));
            Files.delete(folder);
        } catch (java.io.IOException e) {
            record.line("case", "the log cannot be kept: " + e);
        }
    }

    /** How often the nodes have run the request, all together. */
    int runsOf(String id) {
        return nodes.stream().mapToInt(node -> node.runs.getOrDefault(id, 0)).sum();
    }

    /** Writes the verdict and ends the case: 1 if the rule was broken, 0 if it held. */
    void finish(boolean broken, String verdict) {
        record.line("case", (broken ? "RULE BROKEN: " : "rule held: ") + verdict);
        System.out.println((broken ? "RULE BROKEN: " : "rule held: ") + verdict);
        System.exit(broken ? 1 : 0);
    }
}
