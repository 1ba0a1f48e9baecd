package stand2;

/** A request as its client sees it. Times are on the clock of {@link Recorder}; those not reached yet are NaN. */
final class Request {
    final String id = Ids.next();
    final Settings.RequestClass requestClass;
    final int waitMs;
    /** When the last byte had been written. */
    volatile double sentMs = Double.NaN;
    volatile double answeredMs = Double.NaN;
    volatile String answer;
    /** The nodes that have got the request. */
    final java.util.Set<String> nodes = java.util.concurrent.ConcurrentHashMap.newKeySet();

    Request(Settings.RequestClass requestClass) {
        this.requestClass = requestClass;
        // A client gives a try up after a little more than half of the class's deadline.
        waitMs = requestClass.deadlineMs() * 55 / 100;
    }

    boolean isAnswered() {
        return answer != null;
    }
}
