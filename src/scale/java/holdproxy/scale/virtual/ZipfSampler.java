package holdproxy.scale.virtual;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/**
 * Draws ranks, counted from 0, with the Zipf-Mandelbrot distribution: the probability of rank r is proportional to
 * (r + 1 + offset) raised to the power of -exponent.
 */
final class ZipfSampler {
    private final SharedStateDiscreteSampler sampler;

    ZipfSampler(int ranks, double exponent, double offset, UniformRandomProvider random) {
        sampler = AliasMethodDiscreteSampler.of(random, shares(ranks, exponent, offset));
    }

    /** Draws a rank. */
    int sample() {
        return sampler.sample();
    }

    /** Probability of each rank; their sum is 1. */
    static double[] shares(int ranks, double exponent, double offset) {
        double[] shares = new double[ranks];
        double sum = 0;
        for (int r = 0; r < ranks; r++) {
            shares[r] = Math.pow(r + 1 + offset, -exponent);
            sum += shares[r];
        }
        for (int r = 0; r < ranks; r++) {
            shares[r] /= sum;
        }
        return shares;
    }
}
