import java.util.ArrayList;
import java.util.List;

/** Clients send many commands at once, and one cache node of eight hangs. Each request must get an answer. */
final class Unwritten {
    private static final int NODES = 8;
    private static final int CLIENTS = 5;
    private static final int COMMANDS = 60;
    private static final int VALUE_BYTES = 64 << 10;
    private static final int WORK_MS = 80;
    private static final int WAIT_MS = 1600;

    private final Site site;
    private final List<Client> clients = new ArrayList<>();

    private Unwritten(String recordFile) throws Exception {
        site = new Site(recordFile, NODES, command -> CacheNode.Reply.serve(command, WORK_MS, VALUE_BYTES));
    }

    public static void main(String[] args) {
        Site.run(() -> new Unwritten(args[0]).play());
    }

    private void play() throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client("client" + i, site.record, site.proxy.port));
        }
        for (int round = 0; round < 20; round++) {
            for (int i = 0; i < CLIENTS; i++) {
                String id = "Ow" + round + "x" + i;
                clients.get(i).send(id, Client.read("a" + round + i, id, "audio", WAIT_MS));
            }
            Thread.sleep(150);
        }
        if (site.trouble) {
            site.nodes.get(0).setPlan(command -> CacheNode.Reply.hang());
            site.record.line("node0", "hangs from now on");
        }
        int servedBefore = (int) clients.stream().filter(Unwritten::isServed).count();
        if (servedBefore < CLIENTS) {
            site.cannotRun("only " + servedBefore + " clients were served before the hang");
        }
        for (int i = 0; i < CLIENTS; i++) {
            sendBatch(clients.get(i), i);
        }
        Thread.sleep(6000);
        judge();
    }

    private void sendBatch(Client client, int number) throws Exception {
        List<String> ids = new ArrayList<>();
        List<String> commands = new ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            String id = "Ob" + number + "x" + i;
            ids.add(id);
            commands.add(Client.read(Integer.toHexString(number * 1000 + i), id, "audio", WAIT_MS));
        }
        client.send(ids, commands);
    }

    private static boolean isServed(Client client) {
        return client.requests.stream().anyMatch(request -> request.answer != null && request.answer.startsWith("VA"));
    }

    private void judge() {
        int sent = 0;
        int lost = 0;
        int served = 0;
        int forwardedAndLost = 0;
        for (Client client : clients) {
            for (Client.Request request : client.requests) {
                sent++;
                served += request.answer != null && request.answer.startsWith("VA") ? 1 : 0;
                lost += request.answer == null ? 1 : 0;
                boolean isLost = request.answer == null && site.runsOf(request.id) > 0;
                forwardedAndLost += isLost ? 1 : 0;
                if (isLost) {
                    site.record.line("case", "lost: " + request.id + " of " + client.name);
                }
            }
        }
        site.finish(
                forwardedAndLost > 0,
                sent + " requests sent, " + served + " served, " + lost + " got no answer, of which " + forwardedAndLost
                        + " had been sent to a cache node");
    }
}
