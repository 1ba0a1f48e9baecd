package holdproxy.scale.real;

import holdproxy.scale.Experiment;
import holdproxy.scale.Measurement;
import holdproxy.scale.Progress;
import holdproxy.scale.Scenario;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the load that the control plane puts on proxies and discovery, idle and during faults. It runs in real
 * time on loopback. The control plane distributes the node list and the configuration.
 */
public final class ControlExperiment implements Experiment {

    @Override
    public String name() {
        return "control";
    }

    @Override
    public String about() {
        return "control plane: calls, bytes, processor time, memory and the delay of list updates; in real time";
    }

    @Override
    public Map<String, String> inputs() {
        Map<String, String> inputs = new LinkedHashMap<>();
        inputs.put("proxies", "number of control-plane proxies");
        inputs.put("nodes", "number of cache nodes");
        inputs.put("real", "number of additional real proxies, started with the deploy file's run command (0)");
        inputs.put("regions", "number of regions over which the proxies are distributed (4)");
        inputs.put("asked", "1: the routing policy requests the node list, 0: the proxy watches it on its own (1)");
        inputs.put("askWithinMs", "value of the setting rules.askWithinMs (10000)");
        inputs.put("drainGraceMs", "value of the setting rules.drainGraceMs (500)");
        inputs.put("tenants", "number of tenants in the settings (4)");
        inputs.put("linesPerS", "list lines per second that discovery can send; 0: no limit (20000)");
        inputs.put("callWaitMs", "ms that a call may wait at discovery; a call that would wait longer gets 503 (2000)");
        inputs.put("callsWaiting", "maximum number of calls waiting at discovery; 0: no limit (0)");
        inputs.put("port", "port of discovery's first address; 0: any free port (0)");
        inputs.put("restS", "seconds in the idle phase, with open watches and no changes (6)");
        inputs.put("replaced", "number of nodes replaced one after the other, with 3 changes each; 0: none (8)");
        inputs.put("changeEveryMs", "ms between two of these changes (250)");
        inputs.put("restartS", "seconds over which the second region's proxies restart one by one; 0: no restart (3)");
        inputs.put("lossS", "seconds for which all of discovery is down; 0: no outage (6)");
        inputs.put("lossSilent", "1: discovery is silent during the outage, 0: it resets and refuses connections (0)");
        inputs.put("cutS", "seconds for which the first region cannot reach discovery; 0: no cut (8)");
        inputs.put("reload", "1: all proxies reload a configuration with another discovery address (1)");
        inputs.put("loadPerS", "requests per second to each real proxy in the load phase (200)");
        inputs.put("loadS", "seconds of the load phase (5)");
        inputs.put("serviceUs", "service time of a stand-in cache node in microseconds (500)");
        inputs.put("mostS", "maximum seconds to wait until all proxies have an update (25)");
        return inputs;
    }

    @Override
    public List<String> differences() {
        return List.of(
                "A control-plane proxy has no listener, clients, connections to nodes, pools or warm-up; their "
                        + "processor time and memory in a real proxy are not included.",
                "It keeps a hash for each node of its list to detect when its list is complete, about 60 bytes a "
                        + "node; a real proxy does not have this, but has a pool for each node.",
                "Control-plane proxies share event loops, heap and compiled code: the processor time is that of the "
                        + "loops, without garbage collection and compilation, and a pause of one delays others.",
                "Each control-plane proxy reads a new configuration in its own thread, as a real proxy does, but all "
                        + "of these threads run on one machine at the same time.",
                "Control-plane proxies count as told when the routing policy has the list, real proxies when the "
                        + "stand-in discovery has written it.",
                "Bytes are the payload of connections to discovery, without TCP/IP headers.",
                "Heap is that of the whole process: rest.heapEach includes both ends of each connection, "
                        + "list.heapEach includes no connections.");
    }

    @Override
    public Map<String, Measurement> run(Scenario.Point point, long seed, Progress progress) throws Exception {
        try (ControlRun run = new ControlRun(point, seed, progress)) {
            return run.measure();
        }
    }
}
