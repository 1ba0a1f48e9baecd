package stand2;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/** A planned restart, SIGTERM and 3.75 s later SIGKILL, where the longest deadline is 8 s and half the nodes hang. */
final class LongDeadlines extends Case {
    private static final int NODES = 8;
    private static final int CLIENTS = 12;
    private static final long SEND_EVERY_MS = 250;
    private static final double WORK_MS = 60;
    /** The longest deadline counts as 3 s at most; 0.7 s more, and the 50 ms by which each limit is longer. */
    private static final double KILL_AFTER_MS = 3000 + 700 + 50;
    /** Requests that came later than this after SIGTERM are lost if SIGKILL finds them unanswered. */
    private static final double EXCUSED_MS = 700 + 50;
    /** Requests that came in this time before SIGKILL are not judged. */
    private static final double NOT_JUDGED_MS = 500;

    private final Settings settings = Settings.lungaAttesa();
    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private volatile boolean hang;
    private volatile boolean over;

    public static void main(String[] args) {
        new LongDeadlines().run(args);
    }

    private final class Node implements CacheNode.Service {
        private final boolean hangs;

        Node(boolean hangs) {
            this.hangs = hangs;
        }

        @Override
        public void begin(Command command, CacheNode.Connection connection) {
            requests.get(command.id).nodes.add(connection.node.id);
            recorder.line("%s gets %s", connection.node.id, command.id);
        }

        @Override
        public void answer(Command command, CacheNode.Connection connection) throws Exception {
            while (hangs && hang) {
                Thread.sleep(50);
            }
            Threads.sleep(command.arrivedMs + WORK_MS - Recorder.nowMs());
            connection.write(command.served());
        }
    }

    /** A client that sends on its connection, without waiting for answers, as long as the connection stays open. */
    private final class Sender {
        private final Client client;
        private final ConcurrentLinkedQueue<Request> unanswered = new ConcurrentLinkedQueue<>();
        volatile double endedMs = Double.NaN;

        Sender(Proxy proxy) throws IOException {
            client = new Client(proxy.address);
            Threads.start("reader", this::readAnswers);
            Threads.start("sender", this::send);
        }

        private void send() throws IOException, InterruptedException {
            Thread.sleep(ThreadLocalRandom.current().nextLong(SEND_EVERY_MS));
            for (int i = 0; !over && Double.isNaN(endedMs); i++) {
                Request request = new Request(settings.classes.get(i % 2));
                requests.put(request.id, request);
                unanswered.add(request);
                String key = String.format("%016x", 1 + ThreadLocalRandom.current().nextInt(1000));
                client.send(Client.read(settings, key, request.id, request.requestClass.name(), request.waitMs));
                request.sentMs = Recorder.nowMs();
                recorder.line("%s is sent, d=%d", request.id, request.waitMs);
                Thread.sleep(SEND_EVERY_MS);
            }
        }

        private void readAnswers() throws IOException {
            try {
                for (String answer = client.answer(30_000); answer != null; answer = client.answer(30_000)) {
                    Request request = unanswered.remove();
                    request.answer = answer;
                    recorder.line("%s is answered: %s", request.id, answer);
                }
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                // The connection was reset.
            } finally {
                endedMs = Recorder.nowMs();
                recorder.line("a client connection has ended with %d requests unanswered", unanswered.size());
            }
        }
    }

    @Override
    String play() throws Exception {
        Registry registry = new Registry("discovery", recorder);
        for (int i = 0; i < NODES; i++) {
            CacheNode node = new CacheNode("s-" + i, new Node(i < NODES / 2));
            registry.put(node.id, node.address, "SERVING");
        }
        try (Proxy proxy = new Proxy("n0", settings, registry.address, registry.fullList(), recorder)) {
            proxy.awaitReady();
            Thread.sleep(1500);
            List<Sender> senders = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                senders.add(new Sender(proxy));
            }
            Thread.sleep(3000);
            hang = trouble;
            Thread.sleep(200);
            double termMs = Recorder.nowMs();
            proxy.signal("TERM");
            int exit = proxy.awaitExit((long) (termMs + KILL_AFTER_MS - Recorder.nowMs()));
            double killMs = Recorder.nowMs();
            if (exit < 0) {
                proxy.signal("KILL");
                proxy.awaitExit(2000);
            }
            over = true;
            String end = exit < 0 ? "was killed" : "ended by itself";
            recorder.line("the proxy %s %.0f ms after SIGTERM", end, killMs - termMs);
            Thread.sleep(300);
            return judge(senders, termMs, killMs);
        }
    }

    private String judge(List<Sender> senders, double termMs, double killMs) {
        int lost = 0;
        for (Sender sender : senders) {
            for (Request request : sender.unanswered) {
                boolean late = request.sentMs > termMs + EXCUSED_MS && request.sentMs < killMs - NOT_JUDGED_MS;
                boolean open = !(sender.endedMs < killMs);
                if (late && (open || !request.nodes.isEmpty())) {
                    lost++;
                    recorder.line(
                            "%s came %.0f ms after SIGTERM and is unanswered at the end of the process; nodes %s",
                            request.id, request.sentMs - termMs, request.nodes);
                }
            }
        }
        return lost == 0 ? null : lost + " requests that came more than 0.75 s after SIGTERM were never answered";
    }
}
