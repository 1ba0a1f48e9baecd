package holdproxy.scale;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Ellipse2D;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots measurements against sizes as PNG files: the measured points, the fitted lines and the budget. */
final class Plot {
    private static final Color[] COLOURS = {
        new Color(0x1f77b4),
        new Color(0xd62728),
        new Color(0x2ca02c),
        new Color(0x9467bd),
        new Color(0x8c564b),
        new Color(0x17becf)
    };

    /** The y axis is logarithmic if the budget is more than this multiple of the largest measured value. */
    private static final double LOG_AXIS_MIN_BUDGET_RATIO = 30;

    private Plot() {}

    /** Writes one file for each pair of measurement and axis, and returns the file names. */
    static List<String> write(Result result, Path folder) throws IOException {
        Map<String, List<Fit>> charts = new LinkedHashMap<>();
        for (Fit fit : result.fits()) {
            charts.computeIfAbsent(
                            (fit.experiment() + "-" + fit.y() + "-" + fit.x()).replaceAll("[^A-Za-z0-9-]+", "_"),
                            k -> new ArrayList<>())
                    .add(fit);
        }
        for (Map.Entry<String, List<Fit>> chart : charts.entrySet()) {
            ChartUtils.saveChartAsPNG(
                    folder.resolve(chart.getKey() + ".png").toFile(), createChart(chart.getValue()), 720, 440);
        }
        return charts.keySet().stream().map(n -> n + ".png").toList();
    }

    private static JFreeChart createChart(List<Fit> fits) {
        XYSeriesCollection data = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(false, false);
        for (int i = 0; i < fits.size(); i++) {
            Fit fit = fits.get(i);
            Color colour = COLOURS[i % COLOURS.length];
            String label = new Scenario.Point(fit.others(), Map.of()).toString();
            XYSeries points = new XYSeries("measured " + label + " ".repeat(i));
            fit.points().forEach(p -> points.add(p[0], p[1]));
            data.addSeries(points);
            renderer.setSeriesShapesVisible(2 * i, true);
            renderer.setSeriesShapesFilled(2 * i, false); // Coinciding points stay visible.
            int diameter = 8 + 4 * (i % COLOURS.length);
            renderer.setSeriesShape(2 * i, new Ellipse2D.Double(-diameter / 2.0, -diameter / 2.0, diameter, diameter));
            renderer.setSeriesPaint(2 * i, colour);
            XYSeries line = new XYSeries(Result.formatNumber(fit.intercept()) + (fit.slope() < 0 ? " - " : " + ")
                    + Result.formatNumber(Math.abs(fit.slope())) + " x, r2 " + Result.formatNumber(fit.r2())
                    + " ".repeat(i));
            if (Double.isFinite(fit.slope())) {
                line.add(points.getMinX(), fit.valueAt(points.getMinX()));
                line.add(points.getMaxX(), fit.valueAt(points.getMaxX()));
            }
            data.addSeries(line);
            renderer.setSeriesLinesVisible(2 * i + 1, true);
            renderer.setSeriesPaint(2 * i + 1, colour);
        }
        Fit first = fits.get(0);
        JFreeChart chart = ChartFactory.createXYLineChart(
                first.experiment() + ": " + first.y(), first.x(), first.y() + " (" + first.unit() + ")", data);
        XYPlot plot = chart.getXYPlot();
        plot.setRenderer(renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        if (first.budget() != null) {
            ValueMarker budget = new ValueMarker(
                    first.budget(),
                    Color.RED,
                    new BasicStroke(2, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, 1, new float[] {8, 6}, 0));
            budget.setLabel("budget " + Result.formatNumber(first.budget()));
            budget.setLabelAnchor(RectangleAnchor.TOP_LEFT);
            budget.setLabelTextAnchor(TextAnchor.BOTTOM_LEFT);
            plot.addRangeMarker(budget);
            double maxValue = fits.stream()
                    .flatMap(f -> f.points().stream())
                    .mapToDouble(p -> p[1])
                    .max()
                    .orElse(0);
            if (maxValue > 0 && first.budget() > LOG_AXIS_MIN_BUDGET_RATIO * maxValue) {
                plot.setRangeAxis(createLogAxis(fits, plot.getRangeAxis().getLabel(), first.budget()));
            } else {
                plot.getRangeAxis().setUpperBound(Math.max(plot.getRangeAxis().getUpperBound(), first.budget() * 1.1));
            }
        }
        return chart;
    }

    /** A logarithmic y axis. On a linear axis, values far below the budget would be indistinguishable from 0. */
    private static LogAxis createLogAxis(List<Fit> fits, String label, double budget) {
        double minValue = fits.stream()
                .flatMap(f -> f.points().stream())
                .mapToDouble(p -> p[1])
                .filter(y -> y > 0)
                .min()
                .orElse(budget);
        LogAxis axis = new LogAxis(label);
        axis.setRange(minValue / 3, budget * 3);
        return axis;
    }
}
