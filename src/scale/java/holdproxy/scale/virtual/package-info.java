/**
 * Experiments on a discrete-event simulation: many routing policies run in virtual time on one thread, together with
 * simulated clients, cache nodes, network, origin and discovery, so that the same seed gives the same results.
 * {@link holdproxy.scale.virtual.DecisionCostExperiment} and the processor time of
 * {@link holdproxy.scale.virtual.MembershipExperiment} are measured in real time.
 */
package holdproxy.scale.virtual;
