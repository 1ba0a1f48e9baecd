package stand2;

import java.util.ArrayList;
import java.util.List;

/** A new configuration moves discovery to a service whose calls wait 2.7 s for their turn; then a node drains. */
final class SlowDiscovery extends Case {
    private static final double TURN_MS = 2700;
    private static final long OLD_CLOSES_MS = 1500;
    private static final long DRAIN_AT_MS = 2000;
    private static final long PLAYED_MS = 16_000;
    private static final double TOLD_WITHIN_MS = 6000;
    private static final double GRACE_MS = 500 + 50;

    private final List<CacheNode> nodes = new ArrayList<>();
    private final List<Double> sentToDraining = new ArrayList<>();
    private volatile double drainsSinceMs = Double.POSITIVE_INFINITY;

    public static void main(String[] args) {
        new SlowDiscovery().run(args);
    }

    /** A node that serves at once; the first one turns work away once it drains. */
    private final class Serving implements CacheNode.Service {
        @Override
        public void begin(Command command, CacheNode.Connection connection) {
            if (connection.node == nodes.get(0) && command.arrivedMs > drainsSinceMs) {
                synchronized (sentToDraining) {
                    sentToDraining.add(command.arrivedMs);
                }
                recorder.line("%s, which drains, gets %s", connection.node.id, command.id);
            }
        }

        @Override
        public void answer(Command command, CacheNode.Connection connection) throws Exception {
            boolean drains = connection.node == nodes.get(0) && command.arrivedMs > drainsSinceMs;
            connection.write(drains ? "SERVER_ERROR busy\r\n" : command.served());
        }
    }

    @Override
    String play() throws Exception {
        Registry old = new Registry("old discovery", recorder);
        Registry next = new Registry("new discovery", recorder);
        next.turnMs = trouble ? TURN_MS : 0;
        for (int i = 0; i < 3; i++) {
            nodes.add(new CacheNode("s-" + i, new Serving()));
            old.put("s-" + i, nodes.get(i).address, "SERVING");
            next.put("s-" + i, nodes.get(i).address, "SERVING");
        }
        Settings settings = Settings.padanoMilano();
        try (Proxy proxy = new Proxy("n0", settings, old.address, old.fullList(), recorder)) {
            proxy.awaitReady();
            try (Load load = new Load(proxy.address, settings, "pure", 4, 20, 1000)) {
                Thread.sleep(4000);
                proxy.writeConfiguration(next.address);
                double movedMs = Recorder.nowMs();
                proxy.signal("HUP");
                old.retire(OLD_CLOSES_MS);
                Thread.sleep(DRAIN_AT_MS);
                drainsSinceMs = Recorder.nowMs();
                next.change("s-0", nodes.get(0).address, "DRAINING");
                Threads.sleep(movedMs + PLAYED_MS - Recorder.nowMs());
                recorder.line("answers: %s", load.summary());
                require(proxy.isAlive(), "the proxy has ended");
            }
        }
        return judge();
    }

    private String judge() {
        double limitMs = drainsSinceMs + TOLD_WITHIN_MS + GRACE_MS;
        long late = sentToDraining.stream().filter(at -> at > limitMs).count();
        recorder.line("%d commands came to the draining node, %d of them after %.1f", sentToDraining.size(), late, limitMs);
        return late == 0 ? null : late + " commands to a draining node more than 6.55 s after its drain began";
    }
}
