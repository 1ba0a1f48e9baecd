package stand2;

/** The open watch falls silent, a node begins to drain, and the call that follows waits 2.95 s for its turn. */
final class SilentWatch extends Case {
    private static final double TURN_MS = 2950;
    /** Both limits with the 50 ms by which each is longer. */
    private static final double TOLD_WITHIN_MS = 6000 + 50;

    private static final double GRACE_MS = 500 + 50;
    private static final long DRAIN_AFTER_MS = 500;
    private static final long PLAYED_MS = 9000;

    public static void main(String[] args) {
        new SilentWatch().run(args);
    }

    @Override
    String play() throws Exception {
        Settings settings = Settings.padanoMilano();
        settings.balancers = 3;
        settings.index = 2;
        Registry registry = new Registry("discovery", recorder);
        DrainingFleet fleet = new DrainingFleet(recorder, false);
        fleet.listAt(registry);
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
                fleet.drain(registry);
                Threads.sleep(silentMs + PLAYED_MS - Recorder.nowMs());
                recorder.line("answers: %s", load.summary());
                require(proxy.isAlive(), "the proxy has ended");
                long late = fleet.sentAfter(silentMs + TOLD_WITHIN_MS + GRACE_MS);
                return late == 0
                        ? null
                        : late + " commands to a draining node more than 6.6 s after the watch fell silent";
            }
        }
    }
}
