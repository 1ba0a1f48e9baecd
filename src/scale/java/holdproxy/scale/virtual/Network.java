package holdproxy.scale.virtual;

import org.apache.commons.rng.SplittableUniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** One-way network delays between zones, and the regions that are cut off. */
final class Network {
    private final FleetConfig config;
    private final ZigguratSampler.Exponential exponential;
    private final boolean[] cutOff;

    Network(FleetConfig config, SplittableUniformRandomProvider random) {
        this.config = config;
        exponential = ZigguratSampler.Exponential.of(random);
        cutOff = new boolean[config.regions];
    }

    /** Draws the one-way delay of a message between two zones. */
    long delayUs(int zoneA, int zoneB) {
        double delayUs = zoneA == zoneB
                ? config.sameZoneDelayUs
                : config.regionOfZone(zoneA) == config.regionOfZone(zoneB)
                        ? config.otherZoneDelayUs
                        : config.otherRegionDelayUs;
        return (long) (delayUs * (1 + config.jitterShare * exponential.sample()));
    }

    /** Draws a delay: the given one with random jitter added. */
    long addJitterUs(double delayUs) {
        return (long) (delayUs * (1 + config.jitterShare * exponential.sample()));
    }

    /** Cuts a region off from all others, or reconnects it; traffic within the region always passes. */
    void setCutOff(int region, boolean isCutOff) {
        cutOff[region] = isCutOff;
    }

    /** Whether a region is cut off from the others. */
    boolean isCutOff(int region) {
        return cutOff[region];
    }

    /** Whether messages pass between two zones. */
    boolean canReach(int zoneA, int zoneB) {
        int regionA = config.regionOfZone(zoneA);
        int regionB = config.regionOfZone(zoneB);
        return regionA == regionB || !cutOff[regionA] && !cutOff[regionB];
    }
}
