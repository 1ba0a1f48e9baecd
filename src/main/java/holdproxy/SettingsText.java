package holdproxy;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads settings from pairs of path and value. Unknown paths are ignored, and missing ones take a safe default. An
 * invalid value throws {@link BadInput}, whose message names the path.
 */
public final class SettingsText {
    /** The largest number of request classes, and of tenants. */
    private static final int MAX_ITEMS = 100_000;

    private final Map<String, String> values = new HashMap<>();

    /** Reads lines of the form {@code path=value}; throws {@link BadInput} for a line without a path. */
    SettingsText(String text) {
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator),
                        line.substring(separator + 1).strip());
            } else if (!line.isBlank()) {
                throw new BadInput("settings line without '=': " + printable(line));
            }
        }
    }

    /** Uses the given values, whose keys are the paths. */
    public SettingsText(Map<String, String> pairs) {
        values.putAll(pairs);
    }

    /**
     * Parses the settings. Their values are checked one by one; {@link Router.Settings#validate} checks whether a
     * router can work with them.
     *
     * @throws BadInput if a value is invalid
     */
    public Router.Settings settings() {
        Router.Settings settings = new Router.Settings();
        settings.index = integer("index", 0, 0);
        settings.routerCount = integer("balancers", 1, 1);
        settings.zone = integer("az", 0, 0);
        settings.classes = new Router.RequestClass[integer("grades.count", 0, 0)];
        for (int i = 0; i < settings.classes.length; i++) {
            settings.classes[i] = requestClass("grades." + i + ".");
        }
        settings.tenants = new Router.Tenant[integer("tenants.count", 0, 0)];
        for (int i = 0; i < settings.tenants.length; i++) {
            Router.Tenant tenant = new Router.Tenant();
            tenant.name = values.getOrDefault("tenants." + i + ".name", "");
            tenant.quotaPerS = number("tenants." + i + ".quotaPerS", 0, 0);
            tenant.share = number("tenants." + i + ".share", 0, 0);
            settings.tenants[i] = tenant;
        }
        settings.usesCacheAside =
                choice("familyInfo.mode", "through", "through", "aside").equals("aside");
        settings.originKind = integer("familyInfo.originKind", -1, -1);
        settings.requiresSubscription =
                choice("registryMode", "automatic", "automatic", "subscribe").equals("subscribe");
        settings.mayCancel = bool("caps.mayCancel");
        settings.mayProbe = bool("caps.probing");
        settings.mayHedge = bool("caps.secondCopies");
        settings.maySendRetryAfter = bool("caps.retryAfter");
        settings.maxRetryAfterUs = micros("caps.maxRetryAfterMs", 0);
        settings.maxAttempts = integer("caps.maxAttempts", 1, 1);
        settings.maxOpenRequests = integer("caps.openCap", Integer.MAX_VALUE, 1);
        settings.tickUs = micros("tickMs", 0);
        settings.handshakePenalty = number("deductions.handshake", 0, 0);
        settings.idleTimeoutUs = micros("caps.idleCloseMs", 5_000);
        settings.subscribeWithinUs = micros("rules.askWithinMs", 10_000);
        settings.coldCapacityShare = number("rules.coldFrom", 1, 0);
        settings.coldPeriodUs = micros("rules.coldMs", 0);
        settings.drainGraceUs = micros("rules.drainGraceMs", 0);
        settings.nodeOverloadMultiple = number("rules.tipMultiple", 0, 0);
        settings.dialTimeoutUs = micros("caps.dialTimeoutMs", 0);
        settings.streamsPerConnection = integer("caps.multiplex", 1, 1);
        settings.weightMode = switch (choice("weights", "nominal", "off", "nominal", "rough", "live")) {
            case "off" -> Router.WeightMode.NONE;
            case "rough" -> Router.WeightMode.ROUGH;
            case "live" -> Router.WeightMode.LIVE;
            default -> Router.WeightMode.NOMINAL;
        };
        settings.reportSource = switch (choice("reporting.source", "off", "off", "inline", "on_probe")) {
            case "inline" -> Router.ReportSource.ANSWERS;
            case "on_probe" -> Router.ReportSource.PROBES;
            default -> Router.ReportSource.NONE;
        };
        settings.clientsMarkRetries = bool("clients.marksRetry");
        settings.mayMessagePeers = bool("caps.peers");
        settings.countsUtilityByWork =
                choice("countedBy", "request", "request", "work").equals("work");
        settings.overQuotaUtilityShare = number("overShareWorth", 1, 0);
        settings.originOverloadMultiple = number("familyInfo.originFallMultiple", 0, 0);
        settings.originOverloadUs = micros("familyInfo.originFallMs", 0);
        settings.answerGraceUs = micros("rules.graceToAnswerMs", 0);
        settings.cpuUsPerRequest = number("caps.cpuUsPerRequest", 0, 0);
        settings.cpuUsPerS = number("caps.cpuUsPerS", 0, 0);
        settings.crossZonePenalty = number("deductions.crossZone", 0, 0);
        settings.wastedWorkPenalty = number("deductions.waste", 0, 0);
        settings.unservedPenalty = number("deductions.lateFail", 0, 0);
        settings.listLinePenalty = number("deductions.registryMode", 0, 0);
        settings.connectionPenalty = number("deductions.connection", 0, 0);
        settings.probePenalty = number("deductions.probe", 0, 0);
        settings.messagePenalty = number("deductions.peer", 0, 0);
        settings.originFetchPenalty = number("deductions.origin", 0, 0);
        settings.wholeRunWeight = number("scoreParts.whole", 1, 0);
        settings.worstWindowWeight = number("scoreParts.worstWindow", 0, 0);
        settings.worstClassWeight = number("scoreParts.worstClass", 0, 0);
        settings.worstTenantWeight = number("scoreParts.worstTenant", 0, 0);
        settings.tailLatencyWeight = number("scoreParts.slowEnd", 0, 0);
        settings.allowedMissShare = number("scoreParts.missAllowed", 1, 0);
        settings.nodeOverloadUs = micros("rules.fallMs", 0);
        return settings;
    }

    /** The names of the values in the load reports, in the order in which reports carry them. */
    public String[] reportFields() {
        return values.getOrDefault("reporting.fields", "").split(",");
    }

    /**
     * Sets one value of a load report. Unknown names are ignored.
     *
     * @param field the name of the value on the simulator's wire or in the client protocol
     * @param value the value in the unit of that name
     * @param report the report to change
     */
    public static void setReportValue(String field, double value, Router.LoadReport report) {
        switch (field) {
            case "rif", "inflight" -> report.inFlight = value;
            case "q", "queue" -> report.queueLength = value;
            case "busy", "util" -> report.busyShare = value;
            case "lat_ms", "latency_ms" -> report.latencyUs = value * 1000.0;
            case "rate", "qps" -> report.requestsPerS = value;
            case "fail_rate", "eps" -> report.errorsPerS = value;
            case "x0" -> report.hitShare = value;
            case "x1" -> report.originFetches = value;
            default -> {} // other values are ignored
        }
    }

    private Router.RequestClass requestClass(String path) {
        Router.RequestClass requestClass = new Router.RequestClass();
        requestClass.name = values.getOrDefault(path + "name", "");
        requestClass.effect = switch (choice(path + "effect", "side_effect", "pure", "token", "side_effect")) {
            case "pure" -> Router.Effect.SAFE;
            case "token" -> Router.Effect.KEYED;
            default -> Router.Effect.UNSAFE;
        };
        String group = choice(path + "group", "all", "all", "zone", "cell");
        requestClass.deduplicationScope = Router.DeduplicationScope.valueOf(group.toUpperCase(Locale.ROOT));
        requestClass.targetUs = micros(path + "targetMs", 0);
        requestClass.targetStretch = number(path + "aimStretch", 0, 0);
        requestClass.deadlineUs = micros(path + "deadlineMs", 0);
        requestClass.deduplicationWindowUs = micros(path + "repeatWindowMs", 0);
        requestClass.lateUtilityShare = number(path + "lateWorth", 0, 0);
        requestClass.utility = number(path + "value", 1, 0);
        requestClass.isStreamed = bool(path + "stream");
        return requestClass;
    }

    /** The value in a form that fits a message: on one line and not too long. */
    private static String printable(String value) {
        String line = value.replaceAll("\\p{Cntrl}", "?");
        return line.length() <= 60 ? line : line.substring(0, 60) + "...";
    }

    private BadInput invalid(String path, String wanted) {
        return new BadInput("setting " + path + " is not " + wanted + ": " + printable(values.get(path)));
    }

    private double number(String path, double fallback, double minimum) {
        String text = values.get(path);
        if (text == null || text.isEmpty()) {
            return fallback;
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= minimum && value < 1e12) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, with the path
        }
        throw invalid(path, "a number of at least " + minimum);
    }

    private int integer(String path, int fallback, int minimum) {
        double value = number(path, fallback, minimum);
        boolean count = path.endsWith(".count");
        if (value != Math.rint(value) || count && value > MAX_ITEMS) {
            throw invalid(path, "a whole number" + (count ? " up to " + MAX_ITEMS : ""));
        }
        return (int) Math.min(value, Integer.MAX_VALUE);
    }

    /** Reads a time in milliseconds and returns it in microseconds. */
    private long micros(String path, double fallbackMs) {
        return Math.round(number(path, fallbackMs, 0) * 1000);
    }

    private boolean bool(String path) {
        return choice(path, "false", "true", "false").equals("true");
    }

    private String choice(String path, String fallback, String... allowed) {
        String text = values.getOrDefault(path, fallback);
        for (String word : allowed) {
            if (word.equals(text)) {
                return word;
            }
        }
        throw invalid(path, "one of " + String.join(", ", allowed));
    }
}
