package stand2;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The settings of a small deployment, with the figures of a site; some can be changed. */
final class Settings {
    /** A class of requests. */
    record RequestClass(
            String name, String effect, int targetMs, int deadlineMs, int windowMs, double lateWorth, double value) {
        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"all\",\"targetMs\":%d.0,\"deadlineMs\":%d.0,"
                            + "\"repeatWindowMs\":%d.0,\"lateWorth\":%s,\"value\":%s,\"stream\":false}",
                    name, effect, targetMs, deadlineMs, windowMs, lateWorth, value);
        }
    }

    int balancers = 2;
    int index = 0;
    int drainGraceMs = 500;
    int maxAttempts = 5;
    int dialTimeoutMs = 120;
    boolean mayCancel = true;
    boolean secondCopies = true;
    String registryMode = "subscribe";
    int sockets = 384;
    int memoryMb = 144;
    /** Two classes that are safe to repeat, one that must not run twice, and a keyed one. */
    final List<RequestClass> classes;
    /** The name of the tenant that the clients send for. */
    final String tenant;

    private final String tenants;

    private Settings(String tenants, RequestClass... classes) {
        this.tenants = tenants;
        this.classes = List.of(classes);
        tenant = tenants.substring(0, tenants.indexOf(':'));
    }

    /** The site {@code padano-milano}. */
    static Settings padanoMilano() {
        return new Settings(
                "voci-padane:74,onda-lombarda:69,radio-brenta:26,ascolto-nord:17",
                new RequestClass("feed", "pure", 300, 1500, 5000, 0.5, 3),
                new RequestClass("audio", "pure", 750, 3000, 5000, 0.5, 1),
                new RequestClass("purchase", "side_effect", 300, 750, 5000, 0.5, 10),
                new RequestClass("publish", "token", 800, 3000, 2500, 0.5, 8));
    }

    /** The site {@code corta-attesa}: no cancelling, no second copies, short deadlines. */
    static Settings cortaAttesa() {
        Settings settings = new Settings(
                "uno:46,due:46,tre:46,quattro:46",
                new RequestClass("tick", "pure", 250, 600, 5000, 0.5, 1),
                new RequestClass("brano", "pure", 600, 1200, 5000, 0.5, 2),
                new RequestClass("saldo", "side_effect", 300, 500, 5000, 0.5, 5),
                new RequestClass("nota", "token", 600, 1500, 1200, 0.5, 8));
        settings.mayCancel = false;
        settings.secondCopies = false;
        return settings;
    }

    /** The site {@code lunga-attesa}: long deadlines. */
    static Settings lungaAttesa() {
        Settings settings = new Settings(
                "coro:55,marea:55,valle:46,riva:28",
                new RequestClass("sommario", "pure", 400, 4000, 5000, 0.5, 2),
                new RequestClass("puntata", "pure", 1200, 8000, 5000, 0.5, 1),
                new RequestClass("acquisto", "side_effect", 500, 5000, 5000, 0.5, 6),
                new RequestClass("uscita", "token", 800, 6000, 5000, 0.5, 8));
        settings.maxAttempts = 3;
        return settings;
    }

    /** These settings with another effect of one class, as on short days. */
    Settings withEffectOf(String className, String effect) {
        RequestClass[] changed = classes.stream()
                .map(c -> !c.name.equals(className)
                        ? c
                        : new RequestClass(c.name, effect, c.targetMs, c.deadlineMs, c.windowMs, c.lateWorth, c.value))
                .toArray(RequestClass[]::new);
        return new Settings(tenants, changed);
    }

    /** The class with this effect; the first, if there are several. */
    RequestClass withEffect(String effect) {
        return classes.stream().filter(c -> c.effect.equals(effect)).findFirst().orElseThrow();
    }

    private String tenantsJson() {
        List<String> json = new ArrayList<>();
        for (String tenant : tenants.split(",")) {
            String[] parts = tenant.split(":");
            json.add("{\"name\":\"" + parts[0] + "\",\"quotaPerS\":" + parts[1] + ".0}");
        }
        return String.join(",", json);
    }

    String json() {
        return "{\"az\":0,\"localities\":[\"milano-nord\",\"milano-sud\"],\"kinds\":[\"tipo-a\",\"tipo-b\",\"tipo-c\"],"
                + "\"balancers\":" + balancers + ",\"index\":" + index + ",\"registryMode\":\"" + registryMode + "\","
                + "\"domainType\":\"cache\",\"tickMs\":5.0,\"weights\":\"nominal\",\"countedBy\":\"request\","
                + "\"familyInfo\":{\"mode\":\"through\",\"originKind\":-1,\"originFallMs\":3000.0,"
                + "\"originFallMultiple\":3.0},"
                + "\"clients\":{\"marksRetry\":true},\"overShareWorth\":0.2,"
                + "\"caps\":{\"mayCancel\":" + mayCancel + ",\"probing\":true,\"peers\":true,\"retryAfter\":true,"
                + "\"secondCopies\":" + secondCopies + ",\"maxAttempts\":" + maxAttempts
                + ",\"multiplex\":100,\"openCap\":23933,\"idleCloseMs\":10000.0,\"dialTimeoutMs\":" + dialTimeoutMs
                + ".0,\"maxRetryAfterMs\":1500.0},"
                + "\"reporting\":{\"source\":\"on_probe\",\"fields\":[\"eps\",\"util\",\"queue\"]},"
                + "\"rules\":{\"graceToAnswerMs\":20.0,\"askWithinMs\":10000.0,\"coldFrom\":0.33,\"coldMs\":8700.0,"
                + "\"drainGraceMs\":" + drainGraceMs + ".0,\"tipMultiple\":2.5,\"fallMs\":2000.0},"
                + "\"deductions\":{\"crossZone\":0.01,\"waste\":0.065,\"probe\":0.01,\"peer\":0.0073,"
                + "\"lateFail\":0.024},"
                + "\"scoreParts\":{\"whole\":0.35,\"worstWindow\":0.15,\"worstClass\":0.4,\"worstTenant\":0.1},"
                + "\"grades\":[" + String.join(",", classes.stream().map(RequestClass::json).toList()) + "],"
                + "\"tenants\":[" + tenantsJson() + "]}";
    }

    /** The whole configuration of a proxy. */
    String configuration(String name, String listen, String discovery, String knownList) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\"known\":" + knownList + ",\"settings\":" + json() + "}\n";
    }
}
