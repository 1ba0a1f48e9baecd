package stand2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Cache nodes that serve at once, of which the first one begins to drain. */
final class DrainingFleet implements CacheNode.Service {
    private static final int NODES = 3;

    private final Recorder recorder;
    /** Whether the draining node turns away what comes; otherwise it goes on serving. */
    private final boolean turnsAway;

    private final List<CacheNode> nodes = new ArrayList<>();
    private final List<Double> sentToDraining = new ArrayList<>();
    private volatile double drainsSinceMs = Double.POSITIVE_INFINITY;

    DrainingFleet(Recorder recorder, boolean turnsAway) throws IOException {
        this.recorder = recorder;
        this.turnsAway = turnsAway;
        for (int i = 0; i < NODES; i++) {
            nodes.add(new CacheNode("s-" + i, this));
        }
    }

    /** Lists all nodes as serving. */
    void listAt(Registry registry) {
        nodes.forEach(node -> registry.put(node.id, node.address, "SERVING"));
    }

    /** The first node begins to drain, and discovery hears of it; returns when that was. */
    double drain(Registry registry) throws IOException {
        drainsSinceMs = Recorder.nowMs();
        registry.change(nodes.get(0).id, nodes.get(0).address, "DRAINING");
        return drainsSinceMs;
    }

    private boolean isDraining(Command command, CacheNode.Connection connection) {
        return connection.node == nodes.get(0) && command.arrivedMs > drainsSinceMs;
    }

    @Override
    public void begin(Command command, CacheNode.Connection connection) {
        if (isDraining(command, connection)) {
            synchronized (sentToDraining) {
                sentToDraining.add(command.arrivedMs);
            }
            recorder.line("%s, which drains, gets %s", connection.node.id, command.id);
        }
    }

    @Override
    public void answer(Command command, CacheNode.Connection connection) throws IOException {
        boolean refuses = turnsAway && isDraining(command, connection);
        connection.write(refuses ? "SERVER_ERROR busy\r\n" : command.served());
    }

    /** The number of commands that came to the draining node after this time. */
    long sentAfter(double limitMs) {
        synchronized (sentToDraining) {
            long late = sentToDraining.stream().filter(at -> at > limitMs).count();
            recorder.line(
                    "%d commands came to the draining node, %d of them after %.1f",
                    sentToDraining.size(), late, limitMs);
            return late;
        }
    }
}
