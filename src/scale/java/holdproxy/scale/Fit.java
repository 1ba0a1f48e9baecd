package holdproxy.scale;

import java.util.List;
import java.util.Map;
import org.hipparchus.stat.regression.SimpleRegression;

/**
 * A least-squares line through a measurement's points: {@code y = intercept + slope * x}.
 *
 * @param experiment name of the experiment
 * @param x axis, or product of axes, on which the measurement depends
 * @param y name of the measurement
 * @param unit unit of {@code y}
 * @param others sizes of the other axes, which are constant along the line
 * @param slope increase of {@code y} for each unit of {@code x}
 * @param intercept value of the line at {@code x = 0}
 * @param r2 coefficient of determination: the share of the variance that the line explains, at most 1
 * @param points the measured points as pairs of x and y
 * @param budget limit for {@code y} from the scenario; null for none
 */
public record Fit(
        String experiment,
        String x,
        String y,
        String unit,
        Map<String, Double> others,
        double slope,
        double intercept,
        double r2,
        List<double[]> points,
        Double budget) {

    /** Fits a line. With fewer than two different values of x, slope, intercept and r2 are NaN. */
    static Fit of(
            String experiment, Scenario.FitSpec line, String unit, Map<String, Double> others, List<double[]> points) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(p -> regression.addData(p[0], p[1]));
        // If all y are equal there is no variance to explain, and the quotient would be 0 / 0.
        double r2 = regression.getTotalSumSquares() == 0 ? 1 : regression.getRSquare();
        return new Fit(
                experiment,
                line.x(),
                line.y(),
                unit,
                others,
                regression.getSlope(),
                regression.getIntercept(),
                r2,
                points,
                line.budget());
    }

    /** The value of the line at {@code x} on the x axis. */
    double valueAt(double x) {
        return intercept + slope * x;
    }
}
