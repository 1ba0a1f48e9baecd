package holdproxy.net;

import holdproxy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** One {@code mg} or {@code ms} command of a client: the values that the router needs, and its bytes for a node. */
final class Command {
    private static final byte[] CRLF = {'\r', '\n'};
    private static final int MAX_KEY_CHARS = 250;
    /** The longest {@code O} flag, including its letter. */
    private static final int MAX_OPAQUE_CHARS = 64;

    private static final int MAX_VALUE_BYTES = 64 << 10;

    /** Whether this is an {@code ms} command. */
    final boolean isWrite;
    /** The {@code O} flag, including its letter; answers carry the same. */
    final String opaque;
    /** The index of the request class in the settings. */
    final int requestClass;
    /** The index of the tenant in the settings. */
    final int tenant;
    /** The key as the router's number; never 0. */
    final long key;
    /**
     * How long the client waits, counted from when it sent the command, in milliseconds;
     * {@link #WAIT_NOT_STATED} if the command does not say. 0 is a valid wait that is already over: treating it as
     * not stated would keep the request open for a client that disconnects at once.
     */
    final int waitMs;
    /** Expected work in microseconds on a standard core; 0 if not stated. */
    final double costUs;
    /** Size of the value in bytes; 0 if not stated. */
    final double sizeBytes;
    /** Whether the client marks the command as a retry of an earlier one. */
    final boolean isClientRetry;
    /** The value of {@link #waitMs} if the client does not state its wait. */
    static final int WAIT_NOT_STATED = -1;
    /** The command line up to the value of {@code d}, or all of it if the client does not state its wait. */
    private final String lineBeforeWait;
    /** The command line after the value of {@code d}; null if the client does not state its wait. */
    private final String lineAfterWait;
    /** The data block; null for an {@code mg} command, and until the block has arrived. */
    private byte[] value;

    /** Thrown for an invalid command; the message is sent to the client. */
    static final class BadCommand extends Exception {
        private static final long serialVersionUID = 1L;

        BadCommand(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * The indexes in the settings of request classes and tenants.
     *
     * @param classes the index of each class by its name
     * @param tenants the index of each tenant by its name
     */
    record Names(Map<String, Integer> classes, Map<String, Integer> tenants) {}

    /**
     * Parses a command line.
     *
     * @param line the line without its end
     * @param tokens the line, split at spaces
     * @param write whether this is an {@code ms} command
     * @throws BadCommand if the key, a required flag or a field of {@code P} is missing or invalid
     */
    Command(String line, String[] tokens, boolean write, Names names) throws BadCommand {
        this.isWrite = write;
        String keyText = tokens[1];
        if (keyText.isEmpty() || keyText.length() > MAX_KEY_CHARS) {
            throw new BadCommand("bad key");
        }
        String opaqueFlag = null;
        String fields = null;
        for (int i = write ? 3 : 2; i < tokens.length; i++) {
            if (tokens[i].startsWith("O")) {
                opaqueFlag = tokens[i];
            } else if (tokens[i].startsWith("P")) {
                fields = tokens[i].substring(1);
            }
        }
        if (opaqueFlag == null
                || opaqueFlag.length() == 1
                || opaqueFlag.length() > MAX_OPAQUE_CHARS
                || fields == null) {
            throw new BadCommand("O and P are needed");
        }
        opaque = opaqueFlag;
        key = keyNumber(keyText);
        int classIndex = -1;
        int tenantIndex = names.tenants.isEmpty() ? 0 : -1;
        int statedWaitMs = WAIT_NOT_STATED;
        double statedCostUs = 0;
        double statedSizeBytes = 0;
        boolean markedRetry = false;
        for (String field : fields.split(",")) {
            int separator = field.indexOf('=');
            String text = field.substring(separator + 1);
            switch (separator < 0 ? "" : field.substring(0, separator)) {
                case "c" -> classIndex = names.classes.getOrDefault(text, -1);
                case "t" -> tenantIndex = names.tenants.getOrDefault(text, tenantIndex);
                case "d" -> statedWaitMs = MetaDecoder.parseNumber(text);
                case "h" -> statedCostUs = parseNonNegative(text);
                case "size" -> statedSizeBytes = parseNonNegative(text);
                case "r" -> markedRetry = text.equals("1");
                default -> {} // forwarded to the node without being parsed
            }
        }
        if (classIndex < 0 || tenantIndex < 0 || statedWaitMs < WAIT_NOT_STATED) {
            throw new BadCommand("c, t or d is not known here");
        }
        requestClass = classIndex;
        tenant = tenantIndex;
        waitMs = statedWaitMs;
        costUs = statedCostUs;
        sizeBytes = statedSizeBytes;
        isClientRetry = markedRetry;
        int fieldsAt = line.indexOf(" P" + fields) + 2;
        int waitAt = fields.startsWith("d=") ? 2 : fields.indexOf(",d=") + 3;
        if (waitAt < 3 && !fields.startsWith("d=")) {
            lineBeforeWait = line;
            lineAfterWait = null;
        } else {
            int waitEnd = fields.indexOf(',', waitAt);
            lineBeforeWait = line.substring(0, fieldsAt + waitAt);
            lineAfterWait = line.substring(waitEnd < 0 ? fieldsAt + fields.length() : fieldsAt + waitEnd);
        }
    }

    /** Sets the data block. */
    void setValue(byte[] bytes) {
        value = bytes;
    }

    /** The length of the data block; 0 if there is none. */
    int valueBytes() {
        return value == null ? 0 : value.length;
    }

    /** Parses a number from 0 to below 1e12; throws {@link BadCommand} for any other text. */
    private static double parseNonNegative(String text) throws BadCommand {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value < 1e12) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new BadCommand("bad figure in P");
    }

    /**
     * The key as the router's number. It is the same at every proxy, so that all choose the same nodes for a key.
     * Up to 16 hexadecimal digits are taken as the number itself; other keys are hashed by FNV-1a.
     */
    private static long keyNumber(String text) {
        long hexNumber = 0;
        boolean isHex = text.length() <= 16;
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            int digit = Character.digit(text.charAt(i), 16);
            isHex &= digit >= 0;
            hexNumber = hexNumber << 4 | digit & 15;
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        long key = isHex ? hexNumber : hash;
        return key != 0 ? key : 1; // 0 means that a request has no key
    }

    /** Sets all fields of a router request except its id and due time. */
    void copyTo(Router.Request target) {
        target.requestClass = requestClass;
        target.tenant = tenant;
        target.key = key;
        target.costUs = costUs;
        target.sizeBytes = sizeBytes;
        target.isClientRetry = isClientRetry;
        target.isWrite = isWrite;
    }

    /**
     * Encodes the command for a node. A wait that the client states is replaced by {@code waitUs}, which is how long
     * the proxy still waits for the node. It is written in whole milliseconds, and as 1 if it is shorter than that.
     */
    ByteBuf encode(ByteBufAllocator alloc, long waitUs) {
        String waitAndRest = lineAfterWait == null ? "" : Long.toString(Math.max(1, waitUs / 1000)) + lineAfterWait;
        ByteBuf out = alloc.buffer(lineBeforeWait.length() + waitAndRest.length() + 4 + valueBytes());
        out.writeCharSequence(lineBeforeWait, StandardCharsets.ISO_8859_1);
        out.writeCharSequence(waitAndRest, StandardCharsets.ISO_8859_1);
        out.writeBytes(CRLF);
        if (value != null) {
            out.writeBytes(value).writeBytes(CRLF);
        }
        return out;
    }

    /** Decodes the input of a client into {@link Command}, {@link Refused}, {@link NoOp} and {@link Fault} objects. */
    static final class Decoder extends MetaDecoder {
        private final Names names;
        /**
         * The command whose data block is arriving. It has no meaning while no block is arriving, or while
         * {@link #pendingErrorLine} is set.
         */
        private Command pending;
        /** The error line that answers the command whose data block is arriving; null if the command is valid. */
        private String pendingErrorLine;

        Decoder(Names names, ByteBudget budget) {
            super(MAX_VALUE_BYTES, budget);
            this.names = names;
        }

        @Override
        int handleLine(String line, List<Object> out) {
            String[] tokens = line.split(" ");
            String commandName = tokens.length == 0 ? "" : tokens[0];
            boolean write = commandName.equals("ms");
            if (line.equals("mn")) {
                out.add(new NoOp());
            } else if (!write && !commandName.equals("mg")) {
                out.add(new Fault("ERROR", false));
            } else if (tokens.length < (write ? 3 : 2)) {
                out.add(new Fault("CLIENT_ERROR bad command line format", write));
            } else {
                return handleRequest(line, tokens, write, out);
            }
            return NO_BLOCK;
        }

        private int handleRequest(String line, String[] tokens, boolean write, List<Object> out) {
            int valueLength = write ? parseNumber(tokens[2]) : NO_BLOCK;
            try {
                pending = new Command(line, tokens, write, names);
                pendingErrorLine = null;
                if (!write) {
                    out.add(pending);
                }
            } catch (BadCommand e) {
                pendingErrorLine = "CLIENT_ERROR " + e.getMessage();
                if (!write) {
                    out.add(new Fault(pendingErrorLine, false));
                }
            }
            return valueLength;
        }

        @Override
        void handleBlock(byte[] value, List<Object> out) {
            if (pendingErrorLine != null) {
                out.add(new Fault(pendingErrorLine, false));
            } else {
                pending.setValue(value);
                out.add(pending);
            }
            pending = null;
        }

        @Override
        boolean discardsBlocks() {
            return true;
        }

        @Override
        void handleDiscardedBlock(List<Object> out) {
            out.add(pendingErrorLine != null ? new Fault(pendingErrorLine, false) : new Refused());
            pending = null;
        }

        @Override
        void handleFramingLost(String why, List<Object> out) {
            pending = null;
            out.add(new Fault("CLIENT_ERROR " + why, true));
        }
    }

    /** A valid command whose data block found no room and was discarded. */
    record Refused() {}

    /** The {@code mn} command, with which a client checks that the proxy is up. */
    record NoOp() {}

    /**
     * An invalid command of a client.
     *
     * @param line the answer line, without its end
     * @param framingLost whether the framing is lost, so that nothing after the command can be decoded
     */
    record Fault(String line, boolean framingLost) {}
}
