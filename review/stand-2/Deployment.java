package stand2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The deploy file of the repository. */
final class Deployment {
    /** The root of the repository, which the scripts name. */
    static final Path ROOT = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();

    private Deployment() {}

    /** The value of a line such as {@code run = "..."}. */
    static String line(String name) throws IOException {
        String start = name + " = \"";
        for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(start)) {
                return line.substring(start.length(), line.lastIndexOf('"'));
            }
        }
        throw new CannotRun("deploy/balancer.toml has no line " + name);
    }
}
