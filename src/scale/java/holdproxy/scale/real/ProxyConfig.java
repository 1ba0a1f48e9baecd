package holdproxy.scale.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import holdproxy.scale.Scenario;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The configuration file of a proxy, in the form that a deployment writes. */
final class ProxyConfig {
    static final int ZONE_COUNT = 9;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path file;
    private final Map<String, Object> content = new LinkedHashMap<>();

    /**
     * Creates the configuration; {@link #write} writes the file.
     *
     * @param index index of this proxy
     * @param proxies number of proxies in the fleet
     * @param known the node list that the proxy starts with, in the form in which discovery sends lists
     */
    ProxyConfig(Path file, Scenario.Point point, int index, int proxies, long seed, byte[] known) throws IOException {
        this.file = file;
        content.put("name", "n" + index);
        content.put("seed", String.format("%016x", seed));
        content.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024));
        content.put("known", JSON.readTree(new String(known, StandardCharsets.UTF_8)));
        content.put("settings", settings(point, index, proxies));
    }

    /** The zone of the node with this number. */
    static String zoneName(int nodeNumber) {
        return "z" + nodeNumber % ZONE_COUNT;
    }

    private static Map<String, Object> settings(Scenario.Point point, int index, int proxies) {
        List<Object> tenants = new ArrayList<>();
        int tenantCount = point.count("tenants", 4);
        for (int i = 0; i < tenantCount; i++) {
            tenants.add(Map.of("name", "t" + i, "quotaPerS", 480_000.0 / tenantCount, "share", 1.0 / tenantCount));
        }
        List<String> zones = new ArrayList<>();
        for (int i = 0; i < ZONE_COUNT; i++) {
            zones.add(zoneName(i));
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("index", index);
        settings.put("balancers", proxies);
        settings.put("az", index % ZONE_COUNT);
        settings.put("domainType", "cache");
        settings.put("familyInfo", Map.of("mode", "through", "originKind", -1));
        settings.put(
                "caps",
                Map.of(
                        "dialTimeoutMs",
                        400.0,
                        "idleCloseMs",
                        10_000.0,
                        "maxAttempts",
                        4,
                        "maxRetryAfterMs",
                        2000.0,
                        "mayCancel",
                        true,
                        "multiplex",
                        1,
                        "openCap",
                        20_000,
                        "retryAfter",
                        true));
        settings.put(
                "grades",
                List.of(Map.of(
                        "name",
                        "read",
                        "effect",
                        "pure",
                        "group",
                        "all",
                        "targetMs",
                        300.0,
                        "deadlineMs",
                        1500.0,
                        "lateWorth",
                        0.5,
                        "repeatWindowMs",
                        5000.0,
                        "value",
                        1.0)));
        settings.put("kinds", List.of("m"));
        settings.put("localities", zones);
        settings.put("registryMode", point.number("asked", 1) > 0 ? "subscribe" : "automatic");
        settings.put(
                "rules",
                Map.of(
                        "askWithinMs",
                        point.number("askWithinMs", 10_000),
                        "coldFrom",
                        0.33,
                        "coldMs",
                        8700.0,
                        "drainGraceMs",
                        point.number("drainGraceMs", 500),
                        "graceToAnswerMs",
                        20.0));
        settings.put("tenants", tenants);
        settings.put("tickMs", 5.0);
        settings.put("weights", "nominal");
        return settings;
    }

    /**
     * Writes the file with this address of discovery. The file is replaced atomically because the proxy may be
     * reading it.
     */
    void write(String discovery) throws IOException {
        content.put("discovery", discovery);
        Path temporary = file.resolveSibling(file.getFileName() + ".part");
        Files.write(temporary, JSON.writeValueAsBytes(content));
        Files.move(temporary, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** The environment variables with which the proxy starts; both addresses are HOST:PORT. */
    Map<String, String> environment(String listen, String discovery) {
        return Map.of(
                "LB_NAME",
                (String) content.get("name"),
                "LB_LISTEN",
                listen,
                "LB_DISCOVERY",
                discovery,
                "LB_CONFIG",
                file.toString());
    }
}
