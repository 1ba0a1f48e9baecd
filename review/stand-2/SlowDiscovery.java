package stand2;

/** A new configuration moves discovery to a service whose calls wait 2.7 s for their turn; then a node drains. */
final class SlowDiscovery extends Case {
    private static final double TURN_MS = 2700;
    private static final long OLD_CLOSES_MS = 1500;
    private static final long DRAIN_AT_MS = 2000;
    private static final long PLAYED_MS = 16_000;
    private static final double TOLD_WITHIN_MS = 6000;
    private static final double GRACE_MS = 500 + 50;

    public static void main(String[] args) {
        new SlowDiscovery().run(args);
    }

    @Override
    String play() throws Exception {
        Registry old = new Registry("old discovery", recorder);
        Registry next = new Registry("new discovery", recorder);
        next.turnMs = trouble ? TURN_MS : 0;
        DrainingFleet fleet = new DrainingFleet(recorder, true);
        fleet.listAt(old);
        fleet.listAt(next);
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
                double drainMs = fleet.drain(next);
                Threads.sleep(movedMs + PLAYED_MS - Recorder.nowMs());
                recorder.line("answers: %s", load.summary());
                require(proxy.isAlive(), "the proxy has ended");
                long late = fleet.sentAfter(drainMs + TOLD_WITHIN_MS + GRACE_MS);
                return late == 0 ? null : late + " commands to a draining node more than 6.55 s after its drain began";
            }
        }
    }
}
