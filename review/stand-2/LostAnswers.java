package stand2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send many commands at once, nodes turn work away when their queues are full, and some answers get lost. */
final class LostAnswers extends Case {
    private static final int NODES = 8;
    private static final int CLIENTS = 20;
    private static final int COMMANDS_AT_ONCE = 32;
    private static final int PAUSE_MS = 200;
    /** Three cores with four slots each. */
    private static final int SLOTS = 12;
    private static final int WAITING_ROOM = 8;
    private static final double WORK_MS = 100;
    private static final double LOST_SHARE = 0.05;
    private static final long PLAYED_MS = 60_000;
    /** The class that must not run twice on this day. */
    private static final String UNSAFE = "feed";

    private final Settings settings = Settings.padanoMilano().withEffectOf(UNSAFE, "side_effect");
    /** The nodes that have run each request that must not run twice. */
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new TreeMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger turnedAway = new AtomicInteger();
    private volatile boolean over;

    public static void main(String[] args) {
        new LostAnswers().run(args);
    }

    private final class Node implements CacheNode.Service {
        private final AtomicInteger held = new AtomicInteger();
        private final Semaphore slots = new Semaphore(SLOTS, true);
        /** What ends once the work is done, for each command that was not turned away. */
        private final Map<String, CountDownLatch> work = new ConcurrentHashMap<>();

        @Override
        public void begin(Command command, CacheNode.Connection connection) {
            if (held.incrementAndGet() > SLOTS + WAITING_ROOM) {
                held.decrementAndGet();
                return;
            }
            CountDownLatch done = new CountDownLatch(1);
            work.put(command.id, done);
            Threads.start("work", () -> run(command, connection, done));
        }

        /** Does the work, unless the proxy has given the attempt up while it waited. */
        private void run(Command command, CacheNode.Connection connection, CountDownLatch done)
                throws InterruptedException {
            slots.acquire();
            if (!connection.ended) {
                Threads.sleep(WORK_MS);
                if (command.fields.get("c").equals(UNSAFE)) {
                    addRun(command.id, connection.node.id);
                }
            }
            slots.release();
            held.decrementAndGet();
            done.countDown();
        }

        @Override
        public void answer(Command command, CacheNode.Connection connection) throws Exception {
            CountDownLatch done = work.get(command.id);
            if (done == null) {
                turnedAway.incrementAndGet();
                recorder.line("%s turns %s away", connection.node.id, command.id);
                connection.write("SERVER_ERROR busy\r\n");
                return;
            }
            done.await();
            work.remove(command.id);
            if (trouble && ThreadLocalRandom.current().nextDouble() < LOST_SHARE) {
                lost.incrementAndGet();
                recorder.line("%s: the answer to %s gets lost", connection.node.id, command.id);
            } else {
                connection.write(command.served());
            }
        }
    }

    private void addRun(String id, String node) {
        List<String> nodes = runs.computeIfAbsent(id, ignored -> new ArrayList<>());
        synchronized (nodes) {
            nodes.add(node);
            recorder.line("%s has run %s%s", node, id, nodes.size() > 1 ? ", which has run already: " + nodes : "");
        }
    }

    private void client(Proxy proxy) throws InterruptedException {
        while (!over) {
            try (Client client = new Client(proxy.address)) {
                while (!over) {
                    sendAtOnce(client);
                    Thread.sleep(PAUSE_MS / 2 + ThreadLocalRandom.current().nextInt(PAUSE_MS));
                }
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
    }

    private void sendAtOnce(Client client) throws IOException {
        List<Request> requests = new ArrayList<>();
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
            Request request = new Request(settings.classes.get(i % 2));
            requests.add(request);
            String key = String.format("%016x", 1 + ThreadLocalRandom.current().nextInt(1000));
            commands.append(Client.read(settings, key, request.id, request.requestClass.name(), request.waitMs));
        }
        client.send(commands.toString());
        for (Request request : requests) {
            String answer = client.answer(5000);
            if (answer == null) {
                throw new IOException("the connection has ended");
            }
            count(request, answer);
        }
    }

    private void count(Request request, String answer) {
        boolean refused = answer.startsWith("SERVER_ERROR busy");
        String kind = answer.startsWith("VA ") ? "served" : refused ? "refused" : "failed";
        if (request.requestClass.name().equals(UNSAFE)) {
            recorder.line("%s is answered: %s", request.id, answer);
        }
        synchronized (answers) {
            answers.merge(request.requestClass.name() + " " + kind, 1, Integer::sum);
        }
    }

    @Override
    String play() throws Exception {
        settings.sockets = 256;
        Registry registry = new Registry("discovery", recorder);
        for (int i = 0; i < NODES; i++) {
            CacheNode node = new CacheNode("s-" + i, new Node());
            registry.put(node.id, node.address, "SERVING");
        }
        try (Proxy proxy = new Proxy("n0", settings, registry.address, registry.fullList(), recorder)) {
            proxy.awaitReady();
            Thread.sleep(1500);
            for (int i = 0; i < CLIENTS; i++) {
                Threads.start("client", () -> client(proxy));
            }
            Thread.sleep(PLAYED_MS);
            over = true;
            require(proxy.isAlive(), "the proxy has ended");
        }
        return judge();
    }

    private String judge() {
        synchronized (answers) {
            recorder.line("answers: %s", answers);
        }
        recorder.line("%d answers got lost, %d commands were turned away", lost.get(), turnedAway.get());
        require(turnedAway.get() > 0, "no node turned work away");
        long twice = runs.values().stream().filter(nodes -> nodes.size() > 1).count();
        return twice == 0 ? null : twice + " requests that must not run twice ran twice";
    }
}
