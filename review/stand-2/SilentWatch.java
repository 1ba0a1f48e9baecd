package stand2;

import java.util.ArrayList;
import java.util.List;

/** The open watch falls silent, a node begins to drain, and the call that follows waits 2.95 s for its turn. */
final class SilentWatch extends Case {
    private static final double TURN_MS = 2950;
    /** Both limits with the 50 ms by which each is longer. */
    private static final double TOLD_WITHIN_MS = 6000 + 50;
    private static final double GRACE_MS = 500 + 50;
    private static final long DRAIN_AFTER_MS = 500;
    private static final long PLAYED_MS = 9000;
    private static final int NODES = 3;

    private final List<CacheNode> nodes = new ArrayList<>();
    private final List<Double> sentToDraining = new ArrayList<>();
    private volatile double drainsSinceMs = Double.POSITIVE_INFINITY;

    public static void main(String[] args) {
        new SilentWatch().run(args);
    }

    /** A node that serves at once, also while it drains. */
    private final class Serving implements CacheNode.Service {
        @Override
        public void begin(Command command, CacheNode.Connection connection) {
            if (connection.node == nodes.get(0) && command.arrivedMs > drainsSinceMs) {
                synchronized (sentToDraining) {
                    sentToDraining.add(command.arrivedMs);
                }
            }
        }

        @Override
        public void answer(Command command, CacheNode.Connection connection) throws Exception {
            connection.write(command.served());
        }
    }

    @Override
    String play() throws Exception {
        Settings settings = Settings.padanoMilano();
        settings.balancers = 3;
        settings.index = 2;
        Registry registry = new Registry("discovery", recorder);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new CacheNode("s-" + i, new Serving()));
            registry.put("s-" + i, nodes.get(i).address, "SERVING");
        }
        try (Proxy proxy = new Proxy("n2", settings, registry.address, registry.fullList(), recorder)) {
            proxy.awaitReady();
            Thread.sleep(4000);
            try (Load load = new Load(proxy.address, settings, "pure", 8, 5, 1000)) {
                Thread.sleep(2000);
                registry.turnMs = trouble ? TURN_MS : 0;
                registry.emptyLine();
                double silentMs = Recorder.nowMs();
                registry.silenceWatches();
                Thread.sleep(DRAIN_AFTER_MS);
                drainsSinceMs = Recorder.nowMs();
                registry.change("s-0", nodes.get(0).address, "DRAINING");
                Threads.sleep(silentMs + PLAYED_MS - Recorder.nowMs());
                recorder.line("answers: %s", load.summary());
                require(proxy.isAlive(), "the proxy has ended");
                return judge(silentMs + TOLD_WITHIN_MS + GRACE_MS);
            }
        }
    }

    private String judge(double limitMs) {
        synchronized (sentToDraining) {
            long late = sentToDraining.stream().filter(at -> at > limitMs).count();
            double last = sentToDraining.stream().mapToDouble(at -> at).max().orElse(Double.NaN);
            recorder.line(
                    "%d commands came to the draining node, %d of them after %.1f, the last one at %.1f",
                    sentToDraining.size(), late, limitMs, last);
            return late == 0 ? null : late + " commands to a draining node more than 6.6 s after the watch fell silent";
        }
    }
}
