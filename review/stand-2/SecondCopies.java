package stand2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** One of five nodes fails half of its requests; where the disruption happens, each error comes a second time. */
final class SecondCopies extends Case {
    private static final int NODES = 5;
    private static final double FAILING_SHARE = 0.5;
    private static final double COPY_AFTER_MS = 10;
    private static final double WORK_MS = 120;
    /** A second attempt is a copy if the first is still out so long after it; the proxy may just be closing it. */
    private static final double CLOSE_MS = 50;
    private static final long PLAYED_MS = 28_000;

    private final Attempts attempts = new Attempts();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger errors = new AtomicInteger();
    private final List<CacheNode> nodes = new ArrayList<>();

    public static void main(String[] args) {
        new SecondCopies().run(args);
    }

    private final class Node implements CacheNode.Service {
        private final Map<String, Attempts.Attempt> open = new ConcurrentHashMap<>();

        @Override
        public void begin(Command command, CacheNode.Connection connection) {
            Attempts.Attempt attempt = new Attempts.Attempt(command, connection);
            open.put(command.id, attempt);
            for (Attempts.Attempt earlier : attempts.add(attempt)) {
                Threads.start("check", () -> check(earlier, attempt));
            }
        }

        @Override
        public void answer(Command command, CacheNode.Connection connection) throws Exception {
            Attempts.Attempt attempt = open.remove(command.id);
            boolean fails = connection.node == nodes.get(0) && ThreadLocalRandom.current().nextDouble() < FAILING_SHARE;
            if (fails) {
                fail(command, connection);
            } else {
                Threads.sleep(command.arrivedMs + WORK_MS - Recorder.nowMs());
                connection.write(command.served());
            }
            attempt.answered = true;
        }

        private void fail(Command command, CacheNode.Connection connection) throws Exception {
            errors.incrementAndGet();
            connection.write("SERVER_ERROR failed\r\n");
            recorder.line("%s fails %s", connection.node.id, command.id);
            if (trouble) {
                Threads.start("second answer", () -> {
                    Threads.sleep(COPY_AFTER_MS);
                    recorder.line("%s answers %s a second time", connection.node.id, command.id);
                    connection.write("SERVER_ERROR failed\r\n");
                });
            }
        }
    }

    private void check(Attempts.Attempt earlier, Attempts.Attempt later) throws InterruptedException {
        Threads.sleep(CLOSE_MS);
        if (earlier.isOut()) {
            copies.incrementAndGet();
            recorder.line(
                    "%s is out at %s since %.1f on an open connection, and at %s since %.1f",
                    later.command.id,
                    earlier.connection.node.id,
                    earlier.command.arrivedMs,
                    later.connection.node.id,
                    later.command.arrivedMs);
        }
    }

    @Override
    String play() throws Exception {
        Settings settings = Settings.cortaAttesa();
        Registry registry = new Registry("discovery", recorder);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new CacheNode("s-" + i, new Node()));
            registry.put("s-" + i, nodes.get(i).address, "SERVING");
        }
        try (Proxy proxy = new Proxy("n0", settings, registry.address, registry.fullList(), recorder)) {
            proxy.awaitReady();
            try (Load load = new Load(proxy.address, settings, "pure", 16, 5, 1000)) {
                Thread.sleep(PLAYED_MS);
                recorder.line("answers: %s", load.summary());
                require(proxy.isAlive(), "the proxy has ended");
            }
        }
        recorder.line("%d errors, %d requests out twice", errors.get(), copies.get());
        require(errors.get() > 0, "no node failed a request");
        return copies.get() == 0 ? null : copies.get() + " requests had two attempts out at the same time";
    }
}
