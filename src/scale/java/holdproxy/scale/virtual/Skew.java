package holdproxy.scale.virtual;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/** Ranks drawn by the Zipf-Mandelbrot law: the chance of rank r, from 0, is as (r + 1 + offset) to -exponent. */
final class Skew {
    private final SharedStateDiscreteSampler sampler;

    Skew(int ranks, double exponent, double offset, UniformRandomProvider random) {
        sampler = AliasMethodDiscreteSampler.of(random, shares(ranks, exponent, offset));
    }

    int draw() {
        return sampler.sample();
    }

    /** Each rank's chance; together 1. */
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
