package holdproxy.net;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.BadInput;
import holdproxy.Router;
import holdproxy.SettingsText;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The validated configuration of a proxy, from the environment variables and the configuration file. Whatever is
 * missing or malformed is reported as a {@link BadInput}.
 */
final class Config {
    final String name;
    /** Where the proxy accepts clients. */
    final InetSocketAddress listenAddress;
    /** The address of the discovery service. */
    final InetSocketAddress discoveryAddress;
    /** The seed of the router's and the membership protocol's random choices. */
    final long seed;
    /** The number of file descriptors that the process may have open. */
    final int maxDescriptors;

    final Router.Settings settings;
    /** The zones by their index in the router. */
    final List<?> zones;
    /** The node kinds by their index in the router. */
    final List<?> kinds;
    /** The node list from which the proxy starts, in the format of discovery. It may be out of date. */
    final Map<String, Object> knownList;
    /** Null unless the configuration enables membership. */
    final Cluster cluster;

    /**
     * Membership among the proxies of the tier.
     *
     * @param listenAddress where this proxy receives the messages of the others
     * @param peers the addresses of all proxies, this one included, by their index in the settings
     * @param bytesPerSecond the bandwidth that this proxy's messages may use, headers included
     */
    record Cluster(InetSocketAddress listenAddress, List<InetSocketAddress> peers, int bytesPerSecond) {
        /**
         * An eighth of the bandwidth available for a proxy's control traffic in a tier of 730 proxies. The node lists
         * need most of that bandwidth.
         */
        private static final int DEFAULT_BYTES_PER_SECOND = 1400;
    }

    private Config(Map<String, String> env, boolean reloading) {
        name = requiredVariable(env, "LB_NAME");
        listenAddress = parseAddress(requiredVariable(env, "LB_LISTEN"), "LB_LISTEN");
        Map<String, Object> json = readFile(requiredVariable(env, "LB_CONFIG"));
        discoveryAddress = reloading && json.containsKey("discovery")
                ? parseAddress(requiredText(json, "discovery", "the configuration"), "discovery in the configuration")
                : parseAddress(requiredVariable(env, "LB_DISCOVERY"), "LB_DISCOVERY");
        seed = parseSeed(requiredText(json, "seed", "the configuration"));
        Object limit = requiredObject(json, "limits", "the configuration").get("sockets");
        if (!(limit instanceof Number n) || n.intValue() < 128) {
            throw new BadInput("limits.sockets in the configuration is not a number of at least 128");
        }
        maxDescriptors = n.intValue();
        knownList = requiredObject(json, "known", "the configuration");
        Map<String, Object> raw = requiredObject(json, "settings", "the configuration");
        Map<String, String> pairs = new HashMap<>();
        flatten("", raw, pairs);
        settings = new SettingsText(pairs).settings();
        try {
            settings.validate();
        } catch (IllegalArgumentException e) {
            throw new BadInput("settings in the configuration: " + e.getMessage());
        }
        zones = arrayOrEmpty(raw, "localities");
        kinds = arrayOrEmpty(raw, "kinds");
        cluster = json.containsKey("cluster") ? parseCluster(json) : null;
    }

    /**
     * Loads the configuration of a proxy that starts. The environment variables name the addresses and the file.
     *
     * @throws BadInput if anything is missing or malformed
     */
    static Config load(Map<String, String> env) {
        return new Config(env, false);
    }

    /**
     * Loads the configuration again while the proxy runs. The address of discovery is then taken from the file, if it
     * states one, and not from the environment variable.
     *
     * @throws BadInput if anything is missing or malformed
     */
    static Config reload(Map<String, String> env) {
        return new Config(env, true);
    }

    private Cluster parseCluster(Map<String, Object> json) {
        Map<String, Object> raw = requiredObject(json, "cluster", "the configuration");
        if (!settings.mayMessagePeers) {
            throw new BadInput("cluster is configured, but the settings allow no messages between proxies");
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        for (Object peer : arrayOrEmpty(json, "peers")) {
            peers.add(parseAddress(String.valueOf(peer), "a peer in the configuration"));
        }
        if (peers.size() != settings.routerCount || settings.index >= peers.size()) {
            throw new BadInput("peers in the configuration names " + peers.size()
                    + " proxies; this must exceed index and equal balancers in the settings, which is "
                    + settings.routerCount);
        }
        Object bytes = raw.getOrDefault("bytesPerS", Cluster.DEFAULT_BYTES_PER_SECOND);
        if (!(bytes instanceof Number n) || n.intValue() < 1) {
            throw new BadInput("cluster.bytesPerS in the configuration is not a number of at least 1");
        }
        String listenText = requiredText(json, "peer_listen", "the configuration");
        return new Cluster(parseAddress(listenText, "peer_listen"), List.copyOf(peers), n.intValue());
    }

    private static String requiredVariable(Map<String, String> env, String name) {
        String value = env.get(name);
        if (value == null || value.isBlank()) {
            throw new BadInput("the environment variable " + name + " is not set");
        }
        return value.strip();
    }

    private static Map<String, Object> readFile(String path) {
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | IllegalArgumentException e) {
            throw new BadInput("the configuration file " + path + " (LB_CONFIG) cannot be read: "
                    + e.getClass().getSimpleName());
        }
        Map<String, Object> json = parseObject(text);
        if (json == null) {
            throw new BadInput("the configuration file " + path + " (LB_CONFIG) is not a JSON object");
        }
        return json;
    }

    /** Parses a JSON object. Returns null if the text is not one. */
    static Map<String, Object> parseObject(String text) {
        try {
            return JSON.std.mapFrom(text);
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Parses a numeric IP address and port, as in {@code 127.0.0.1:11211} or {@code [::1]:11211}. Host names are not
     * accepted, since the deployment has no name service and a lookup would block the event loop.
     *
     * @param what names the text in the error message
     * @throws BadInput if the text is not such an address
     */
    static InetSocketAddress parseAddress(String text, String what) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (bytes != null && port >= 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Reported below.
        }
        throw new BadInput(what + " is not a numeric IP address and port: " + printable(text));
    }

    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadInput("seed in the configuration is not a hexadecimal number: " + printable(text));
        }
    }

    /**
     * Returns a field that has to be a non-empty string.
     *
     * @param where names the object in the error message
     * @throws BadInput if the field is missing or anything else
     */
    static String requiredText(Map<String, Object> from, String key, String where) {
        if (from.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new BadInput(key + " is missing or not a non-empty string in " + where);
    }

    @SuppressWarnings("unchecked") // The parser creates only maps of this type.
    private static Map<String, Object> requiredObject(Map<String, Object> from, String key, String where) {
        if (from.get(key) instanceof Map<?, ?> object) {
            return (Map<String, Object>) object;
        }
        throw new BadInput(key + " is missing or not an object in " + where);
    }

    /** Returns a field that should be an array; an empty list if it is missing or anything else. */
    private static List<?> arrayOrEmpty(Map<String, Object> from, String key) {
        return from.get(key) instanceof List<?> list ? list : List.of();
    }

    /**
     * Converts nested settings to the paths and values of the simulator's protocol, so that one parser reads both
     * formats. An array of objects becomes indexed paths and a {@code count}, any other array a comma-separated text.
     */
    private static void flatten(String path, Object value, Map<String, String> out) {
        if (value instanceof Map<?, ?> map) {
            String prefix = path.isEmpty() ? "" : path + ".";
            map.forEach((key, nested) -> flatten(prefix + key, nested, out));
        } else if (value instanceof List<?> list && list.stream().anyMatch(element -> element instanceof Map)) {
            out.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), out);
            }
        } else if (value instanceof List<?> list) {
            out.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            out.put(path, value.toString());
        }
    }

    /** Returns the text as it may appear in a log line: without control characters and at most 80 characters long. */
    static String printable(String text) {
        String line = text.replaceAll("\\p{Cntrl}", "?");
        return line.length() <= 80 ? line : line.substring(0, 80) + "...";
    }
}
