package holdproxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Runs routers for the simulator. It reads batches of events from a stream, passes each event to the router of its
 * instance, and answers each batch with the routers' actions.
 */
final class SimHost {
    // Codes of the records, under the names that the simulator's wire format gives them.
    private static final int OUTCOME = 16;
    private static final int CHECKED = 17;
    private static final int REQ = 18;
    private static final int EXIT = 19;
    private static final int WAKE = 20;
    private static final int BACKENDS_CHANGED = 21;
    private static final int MEMO = 22;
    private static final int ABORTED = 23;
    private static final int FLOWING = 24;
    private static final int HELLO = 25;
    /** The header of a batch: its number, its length after this field, the time, and the number of records. */
    private static final int BATCH_HEADER_BYTES = 20;
    /** One entry of a node list. */
    private static final int NODE_ENTRY_BYTES = 22;
    /** The header of a record: its code and its length. */
    private static final int RECORD_HEADER_BYTES = 5;
    /** Limits the bytes of a batch after its header. */
    private static final int MAX_BODY_BYTES = 1 << 30;

    /** Cache statuses by their number on the wire. */
    private static final Router.CacheStatus[] CACHE_STATUSES = Router.CacheStatus.values();
    /** Node states by their number on the wire. */
    private static final Router.NodeState[] NODE_STATES = {
        Router.NodeState.GONE, Router.NodeState.READY, Router.NodeState.DRAINING
    };
    /** Node list events by their number, the mode, on the wire. */
    private static final Router.NodeListEvent[] LIST_EVENTS = {
        Router.NodeListEvent.DELTA, Router.NodeListEvent.FULL, Router.NodeListEvent.CACHED, Router.NodeListEvent.FAILED
    };

    private final InputStream input;
    private final OutputStream output;
    private final FrameReader reader = new FrameReader();
    private final FrameWriter reply = new FrameWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    /** The objects below are reused for every event. */
    private final Router.Request request = new Router.Request();

    private final Router.LoadReport report = new Router.LoadReport();
    private Router.Node[] nodes = new Router.Node[0];
    /** The batch without its header. */
    private byte[] body = new byte[1 << 16];

    /** A hosted router with the part of its settings that decoding needs. */
    private static final class Instance {
        /** Null once the instance has exited. */
        Router router;
        /** The names of the values of a load report, in the order of the wire. */
        String[] reportFields;
    }

    SimHost(InputStream input, OutputStream output) {
        this.input = input;
        this.output = output;
    }

    /**
     * Handles batches until the input ends after a complete batch.
     *
     * @throws BadInput if the input does not follow the wire format
     */
    void run() throws IOException {
        byte[] header = new byte[BATCH_HEADER_BYTES];
        for (long batches = 0; ; batches++) {
            int headerBytes = input.readNBytes(header, 0, BATCH_HEADER_BYTES);
            if (headerBytes == 0) {
                return;
            }
            String batchName = "batch " + batches;
            reader.setRange(header, 0, headerBytes, batchName + " header");
            int batchNumber = reader.i32();
            int length = reader.u31();
            long nowUs = reader.micros();
            int recordCount = reader.u31();
            int bodyBytes = length - (BATCH_HEADER_BYTES - 8);
            if (bodyBytes < 0 || bodyBytes > MAX_BODY_BYTES) {
                throw new BadInput(batchName + " has an impossible length " + length);
            }
            if ((long) recordCount * RECORD_HEADER_BYTES > bodyBytes) {
                throw new BadInput(
                        batchName + " has an impossible count: " + recordCount + " records in " + bodyBytes + " bytes");
            }
            readBody(batchName, bodyBytes);
            handleRecords(batchName, bodyBytes, recordCount, nowUs);
            reply.flush(batchNumber, output);
        }
    }

    /** Reads a batch into a buffer that grows with the bytes that arrive, so that a wrong length costs no memory. */
    private void readBody(String batchName, int bodyBytes) throws IOException {
        int received = 0;
        while (received < bodyBytes) {
            if (received == body.length) {
                body = Arrays.copyOf(body, (int) Math.min(bodyBytes, 2L * received));
            }
            int wanted = Math.min(bodyBytes, body.length) - received;
            int readNow = input.readNBytes(body, received, wanted);
            received += readNow;
            if (readNow < wanted) {
                throw new BadInput(batchName + " is truncated: " + received + " of " + bodyBytes + " bytes");
            }
        }
    }

    /** Splits a batch into its records and handles each. */
    private void handleRecords(String batchName, int bodyBytes, int recordCount, long nowUs) {
        int position = 0;
        for (int i = 0; i < recordCount; i++) {
            reader.setRange(body, position, bodyBytes, batchName);
            int code = reader.u8();
            int end = reader.u31() + position + RECORD_HEADER_BYTES;
            if (end < position || end > bodyBytes) {
                throw new BadInput(batchName + ", record " + i + " (code " + code + ") runs past the batch");
            }
            reader.setRange(body, position + RECORD_HEADER_BYTES, end, "the record");
            try {
                handleRecord(code, nowUs);
            } catch (BadInput e) {
                throw new BadInput(batchName + ", record " + i + " (code " + code + "): " + e.getMessage());
            }
            position = end;
        }
        if (position != bodyBytes) {
            throw new BadInput(batchName + " has " + (bodyBytes - position) + " bytes after its last record");
        }
    }

    private void handleRecord(int code, long nowUs) {
        if (code < OUTCOME || code > HELLO) {
            return; // records of unknown codes are skipped
        }
        int instanceNumber = reader.i32();
        Instance instance = instances.get(instanceNumber);
        reply.setInstance(instanceNumber);
        if (code == HELLO) {
            startInstance(instanceNumber, nowUs);
            return;
        }
        if (instance == null) {
            throw new BadInput("event " + code + " for instance " + instanceNumber + ", which was never started");
        }
        if (code == EXIT) {
            instance.router = null;
        } else if (instance.router != null) {
            dispatch(code, nowUs, instance);
        }
    }

    /** Starts an instance; a router that runs under the same number is replaced. */
    private void startInstance(int instanceNumber, long nowUs) {
        long seed = reader.i64();
        Router.Settings settings;
        SettingsText text = new SettingsText(reader.text(reader.u31()));
        settings = text.settings();
        Instance instance = new Instance();
        instance.reportFields = text.reportFields();
        try {
            instance.router = new RoutingPolicy(settings, seed, nowUs, reply);
        } catch (IllegalArgumentException e) {
            throw new BadInput("settings of instance " + instanceNumber + ": " + e.getMessage());
        }
        instances.put(instanceNumber, instance);
    }

    private void dispatch(int code, long nowUs, Instance instance) {
        Router router = instance.router;
        switch (code) {
            case OUTCOME -> handleOutcome(nowUs, instance);
            case CHECKED -> {
                int node = reader.i32();
                Router.Outcome outcome = outcomeOf(reader.u16());
                long latencyUs = reader.micros();
                Router.LoadReport report = readReportOf(instance);
                callRouter(() -> router.onProbeResult(nowUs, node, outcome, latencyUs, report, reply));
            }
            case REQ -> {
                readRequest(reader, request);
                try {
                    router.onRequest(nowUs, request, reply);
                } catch (RuntimeException e) {
                    reportException(e);
                }
            }
            case WAKE -> {
                long label = reader.i64();
                try {
                    router.onTimer(nowUs, label, reply);
                } catch (RuntimeException e) {
                    reportException(e);
                }
            }
            case BACKENDS_CHANGED -> handleNodeList(nowUs, router);
            case ABORTED -> {
                long requestId = reader.i64();
                callRouter(() -> router.onClientGone(nowUs, requestId, reply));
            }
            case FLOWING -> {
                long requestId = reader.i64();
                reader.f64();
                reader.i32();
                int attempt = reader.u8();
                callRouter(() -> router.onStreamStarted(nowUs, requestId, attempt, reply));
            }
            case MEMO -> {
                int from = reader.i32();
                byte[] data = reader.bytes(reader.u16());
                callRouter(() -> router.onPeerMessage(nowUs, from, data, reply));
            }
            default -> {} // records of unknown codes are skipped
        }
    }

    private void handleOutcome(long nowUs, Instance instance) {
        long requestId = reader.i64();
        int attempt = reader.u8();
        reader.i32();
        Router.Outcome outcome = outcomeOf(reader.u16());
        long latencyUs = reader.micros();
        boolean concluded = reader.u8() != 0;
        int cacheStatus = reader.i32();
        Router.LoadReport report = readReportOf(instance);
        try {
            instance.router.onOutcome(
                    nowUs,
                    requestId,
                    attempt,
                    outcome,
                    latencyUs,
                    concluded,
                    cacheStatus > 0 && cacheStatus < CACHE_STATUSES.length
                            ? CACHE_STATUSES[cacheStatus]
                            : Router.CacheStatus.NONE,
                    report,
                    reply);
        } catch (RuntimeException e) {
            reportException(e);
        }
    }

    /** Reads the load report at the end of a record into the reused report. */
    private Router.LoadReport readReportOf(Instance instance) {
        readReport(reader, instance.reportFields, report);
        return report;
    }

    /** Reads a load report; values beyond the named fields are skipped. */
    static void readReport(FrameReader reader, String[] fields, Router.LoadReport report) {
        int count = reader.u8();
        report.clear();
        for (int i = 0; i < count; i++) {
            float value = reader.f32();
            SettingsText.setReportValue(i < fields.length ? fields[i] : "", value, report);
        }
    }

    /** Reads all fields of a request record after the instance number. */
    static void readRequest(FrameReader reader, Router.Request request) {
        request.id = reader.i64();
        request.requestClass = reader.u16();
        request.tenant = reader.u31();
        request.key = reader.i64();
        request.dueUs = reader.micros();
        double hint = reader.f64();
        float size = reader.f32();
        request.sizeBytes = size > 0 ? size : 0;
        int flags = reader.u8();
        request.costUs = (flags & 1) != 0 && hint > 0 ? hint * 1000 : 0;
        request.isClientRetry = (flags & 2) != 0;
        request.isWrite = (flags & 4) != 0;
    }

    private void handleNodeList(long nowUs, Router router) {
        reader.i32(); // the list version is not needed, because changes arrive in order and without gaps
        int mode = reader.u8();
        if (mode >= LIST_EVENTS.length) {
            throw new BadInput("node list of unknown mode " + mode);
        }
        int count = reader.u31();
        if ((long) count * NODE_ENTRY_BYTES > reader.remaining()) {
            throw new BadInput("node list has an impossible count " + count);
        }
        while (nodes.length < count) {
            int oldLength = nodes.length;
            nodes = Arrays.copyOf(nodes, Math.max(64, 2 * oldLength));
            for (int i = oldLength; i < nodes.length; i++) {
                nodes[i] = new Router.Node();
            }
        }
        for (int i = 0; i < count; i++) {
            readNode(nodes[i]);
        }
        callRouter(() -> router.onNodeList(nowUs, LIST_EVENTS[mode], nodes, count, reply));
    }

    /** Reads one entry of a node list. */
    private void readNode(Router.Node node) {
        node.cell = reader.u16();
        int stateNumber = reader.u8();
        if (stateNumber >= NODE_STATES.length) {
            throw new BadInput("node entry of unknown state " + stateNumber);
        }
        node.state = NODE_STATES[stateNumber];
        node.id = reader.i32();
        node.weight = reader.f32();
        node.kind = reader.u8();
        node.zone = reader.u16();
        long startedUs = reader.micros();
        node.startedUs = startedUs == 0 ? Long.MIN_VALUE : startedUs;
    }

    /** The outcome for a status number of the wire. */
    private static Router.Outcome outcomeOf(int status) {
        return switch (status) {
            case 200 -> Router.Outcome.OK;
            case 500 -> Router.Outcome.ERROR;
            case 503 -> Router.Outcome.OVERLOADED;
            case 504 -> Router.Outcome.TIMEOUT;
            case 502 -> Router.Outcome.CONNECT_FAILED;
            case 598 -> Router.Outcome.RESET;
            case 499 -> Router.Outcome.CANCELLED;
            case 410 -> Router.Outcome.NOT_SENT;
            case 404 -> Router.Outcome.MISS;
            default -> Router.Outcome.ERROR; // after an unknown status the attempt may have run
        };
    }

    /** Runs a call of a router and reports an exception as a BUG record. */
    private void callRouter(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            reportException(e);
        }
    }

    private void reportException(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        reply.reportBug(e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
