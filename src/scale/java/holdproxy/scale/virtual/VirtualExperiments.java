package holdproxy.scale.virtual;

import holdproxy.scale.Experiment;
import java.util.List;

/** The experiments in virtual time and those on single routing policies, all within one process. */
public final class VirtualExperiments {
    private VirtualExperiments() {}

    /** All experiments of this package, in the order in which they are listed. */
    public static List<Experiment> all() {
        return List.of(
                new DecisionCostExperiment(),
                new TenantFairnessExperiment(),
                new ColdRampExperiment(),
                new ConnectionsExperiment(),
                new DiscoveryCallsExperiment(),
                new RegionCutExperiment(),
                new RestartStormExperiment(),
                new MembershipExperiment());
    }
}
