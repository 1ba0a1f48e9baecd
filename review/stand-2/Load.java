package stand2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** Clients that read one key after another, each on a connection that it keeps. */
final class Load implements AutoCloseable {
    private final InetSocketAddress proxy;
    private final Settings settings;
    private final Settings.RequestClass requestClass;
    private final long pauseMs;
    private final int keys;
    private final Map<String, Integer> answers = new TreeMap<>();
    private volatile boolean stopped;

    Load(InetSocketAddress proxy, Settings settings, String effect, int clients, long pauseMs, int keys) {
        this.proxy = proxy;
        this.settings = settings;
        requestClass = settings.withEffect(effect);
        this.pauseMs = pauseMs;
        this.keys = keys;
        for (int i = 0; i < clients; i++) {
            Threads.start("client", this::run);
        }
    }

    private void run() throws InterruptedException {
        while (!stopped) {
            try (Client client = new Client(proxy)) {
                while (!stopped) {
                    String key = String.format("%016x", 1 + ThreadLocalRandom.current().nextInt(keys));
                    client.send(Client.read(settings, key, Ids.next(), requestClass.name(), waitMs()));
                    String answer = client.answer(waitMs() + 600);
                    if (answer == null) {
                        break;
                    }
                    count(answer);
                    Thread.sleep(pauseMs);
                }
            } catch (IOException e) {
                count("no answer");
                Thread.sleep(100);
            }
        }
    }

    /** A client gives a try up after a little more than half of the class's deadline. */
    private int waitMs() {
        return requestClass.deadlineMs() * 55 / 100;
    }

    private synchronized void count(String answer) {
        String kind = answer.startsWith("VA") ? "served" : answer.startsWith("SERVER_ERROR busy") ? "refused" : answer;
        answers.merge(kind, 1, Integer::sum);
    }

    synchronized String summary() {
        return answers.toString();
    }

    @Override
    public void close() {
        stopped = true;
    }
}
