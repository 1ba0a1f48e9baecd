package holdproxy.net;

import holdproxy.Router;
import holdproxy.SettingsText;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** One answer of a cache node. */
final class Answer {
    /** Nodes may serve values several times as large as clients may send. */
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private static final byte[] CRLF = {'\r', '\n'};
    /** A larger value in a load report is ignored. */
    private static final double MAX_REPORTED_VALUE = 1e7;
    /** A larger share of busy cores is ignored; reports are noisy, so some above 1 are accepted. */
    private static final double MAX_BUSY_SHARE = 4;

    final Router.Outcome outcome;
    /** The {@code O} flag, including its letter; null on an error line. */
    String opaque;
    /**
     * The {@code c} flag of an answer to a write, including its letter; null if there is none. If {@link #broken} is
     * set, it holds the reason instead.
     */
    String casFlag;
    /** The value of an answer to a read; null on other answers. */
    byte[] value;
    /** What the {@code h} and {@code Z} flags say about the cache. */
    Router.CacheStatus cacheStatus = Router.CacheStatus.NONE;
    /** The load report in the {@code L} flag, without its letter; null if there is none. */
    private String loadReport;
    /** The node found the request invalid, as every other node would; this says nothing about the node. */
    boolean rejected;
    /** The node broke the protocol, so its further input cannot be assigned to requests. */
    boolean broken;

    private Answer(Router.Outcome outcome) {
        this.outcome = outcome;
    }

    /**
     * Reads the node's load report. Impossible values are left out, because one of them would outweigh all valid
     * values in an average.
     */
    void readLoadReport(Router.LoadReport report) {
        report.clear();
        if (loadReport == null) {
            return;
        }
        for (String field : loadReport.split(",")) {
            int separator = field.indexOf('=');
            if (separator > 0) {
                try {
                    double value = Double.parseDouble(field.substring(separator + 1));
                    if (value >= 0 && value <= MAX_REPORTED_VALUE) {
                        SettingsText.setReportValue(field.substring(0, separator), value, report);
                    }
                } catch (NumberFormatException e) {
                    // a value that is not a number counts as not reported
                }
            }
        }
        if (report.busyShare > MAX_BUSY_SHARE) {
            report.busyShare = Double.NaN;
        }
    }

    /** Encodes a successful answer for the client, without the flags that are meant for the proxy only. */
    ByteBuf encode() {
        String line = value != null ? "VA " + value.length + " " + opaque : "HD " + opaque + " " + casFlag;
        ByteBuf firstLine = Unpooled.copiedBuffer(line + "\r\n", StandardCharsets.ISO_8859_1);
        // The value is wrapped and not copied, because large copies would need too much memory.
        return value == null
                ? firstLine
                : Unpooled.wrappedBuffer(firstLine, Unpooled.wrappedBuffer(value), Unpooled.wrappedBuffer(CRLF));
    }

    /** Decodes the input of a cache node into {@link Answer} objects. */
    static final class Decoder extends MetaDecoder {
        /** The answer whose data block is arriving. */
        private Answer pending;

        Decoder(ByteBudget budget) {
            super(MAX_VALUE_BYTES, budget);
        }

        @Override
        int handleLine(String line, List<Object> out) {
            String[] tokens = line.split(" ");
            switch (tokens.length == 0 ? "" : tokens[0]) {
                case "VA" -> {
                    pending = new Answer(Router.Outcome.OK);
                    readFlags(pending, tokens, 2);
                    return tokens.length < 2 ? -2 : parseNumber(tokens[1]);
                }
                case "HD" -> {
                    Answer answer = new Answer(Router.Outcome.OK);
                    readFlags(answer, tokens, 1);
                    out.add(answer);
                }
                case "SERVER_ERROR" -> {
                    boolean busy = tokens.length > 1 && tokens[1].equals("busy");
                    Answer answer = new Answer(busy ? Router.Outcome.OVERLOADED : Router.Outcome.ERROR);
                    readFlags(answer, tokens, 2);
                    answer.opaque = null;
                    out.add(answer);
                }
                case "CLIENT_ERROR" -> {
                    Answer answer = new Answer(Router.Outcome.CANCELLED);
                    answer.rejected = true;
                    out.add(answer);
                }
                default -> handleFramingLost(line, out);
            }
            return NO_BLOCK;
        }

        /** Reads the flags in the tokens from the given index on. */
        private static void readFlags(Answer answer, String[] tokens, int firstFlag) {
            boolean isFetching = false;
            for (int i = firstFlag; i < tokens.length; i++) {
                String token = tokens[i];
                switch (token.isEmpty() ? ' ' : token.charAt(0)) {
                    case 'O' -> answer.opaque = token;
                    case 'c' -> answer.casFlag = token;
                    case 'h' ->
                        answer.cacheStatus = token.equals("h1") ? Router.CacheStatus.HIT : Router.CacheStatus.MISS;
                    case 'Z' -> isFetching = true;
                    case 'L' -> answer.loadReport = token.substring(1);
                    default -> {} // other flags are ignored
                }
            }
            if (isFetching && answer.cacheStatus == Router.CacheStatus.MISS) {
                answer.cacheStatus = Router.CacheStatus.MISS_FETCHING;
            }
        }

        @Override
        void handleBlock(byte[] value, List<Object> out) {
            pending.value = value;
            out.add(pending);
            pending = null;
        }

        @Override
        void handleFramingLost(String why, List<Object> out) {
            Answer answer = new Answer(Router.Outcome.ERROR);
            answer.broken = true;
            answer.casFlag = why;
            out.add(answer);
        }
    }
}
