/** Settings like those of a small deployment: the classes, rules and limits of the site padano-milano. */
final class Padano {
    private Padano() {}

    static String settings() {
        return "{\"az\":0,\"balancers\":2,\"index\":0,\"tickMs\":5.0,\"stage\":0,\"tiers\":[\"cache-nodes\"],"
                + "\"domainType\":\"cache\",\"weights\":\"nominal\",\"countedBy\":\"request\",\"overShareWorth\":0.2,"
                + "\"registryMode\":\"subscribe\",\"localities\":[\"milano-nord\",\"milano-sud\"],"
                + "\"kinds\":[\"tipo-a\",\"tipo-b\",\"tipo-c\"],"
                + "\"caps\":{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\"dialTimeoutMs\":120.0,\"idleCloseMs\":10000.0,"
                + "\"maxAttempts\":5,\"maxRetryAfterMs\":1500.0,\"mayCancel\":true,\"multiplex\":100,\"openCap\":23933,"
                + "\"peers\":true,\"probing\":true,\"retryAfter\":true,\"secondCopies\":true},"
                + "\"clients\":{\"marksRetry\":true},"
                + "\"deductions\":{\"crossZone\":0.01,\"lateFail\":0.024,\"peer\":0.0073,\"probe\":0.01,\"waste\":0.065},"
                + "\"familyInfo\":{\"mode\":\"through\",\"originFallMs\":3000.0,\"originFallMultiple\":3.0,\"originKind\":-1},"
                + "\"grades\":["
                + grade("feed", "pure", 300, 1500, 3) + ","
                + grade("audio", "pure", 750, 3000, 1) + ","
                + grade("purchase", "side_effect", 300, 750, 10) + ","
                + grade("publish", "token", 800, 3000, 8) + "],"
                + "\"reporting\":{\"fields\":[\"fail_rate\",\"busy\",\"q\"],\"source\":\"on_probe\"},"
                + "\"rules\":{\"askWithinMs\":10000.0,\"coldFrom\":0.33,\"coldMs\":8700.0,\"drainGraceMs\":500.0,"
                + "\"fallMs\":2000.0,\"graceToAnswerMs\":20.0,\"tipMultiple\":2.5},"
                + "\"scoreParts\":{\"whole\":0.35,\"worstClass\":0.4,\"worstTenant\":0.1,\"worstWindow\":0.15},"
                + "\"tenants\":[{\"name\":\"voci-padane\",\"quotaPerS\":74.0,\"share\":0.4},"
                + "{\"name\":\"onda-lombarda\",\"quotaPerS\":69.0,\"share\":0.37}]}";
    }

    private static String grade(String name, String effect, int targetMs, int deadlineMs, int value) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"targetMs\":" + targetMs
                + ".0,\"deadlineMs\":" + deadlineMs + ".0,\"lateWorth\":0.5,\"repeatWindowMs\":2500.0,\"stream\":false,"
                + "\"value\":" + value + ".0}";
    }
}
