package holdproxy.scale;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Ellipse2D;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.ArrayList;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Need against size as PNG: the points, their fitted lines and the budget. */
final class Plot {
    private static final Color[] COLOURS = {
        new Color(0x1f77b4), new Color(0xd62728), new Color(0x2ca02c), new Color(0x9467bd), new Color(0x8c564b),
        new Color(0x17becf)};

    private Plot() {
    }

    /** One file for each measurement against each axis; returns their names. */
    static List<String> write(Result result, Path folder) throws IOException {
        Map<String, List<Fit>> charts = new LinkedHashMap<>();
        for (Fit f : result.fits()) {
            charts.computeIfAbsent((f.experiment() + "-" + f.y() + "-" + f.x()).replaceAll("[^A-Za-z0-9-]+", "_"),
                k -> new ArrayList<>()).add(f);
        }
        for (Map.Entry<String, List<Fit>> c : charts.entrySet()) {
            ChartUtils.saveChartAsPNG(folder.resolve(c.getKey() + ".png").toFile(), chart(c.getValue()), 720, 440);
        }
        return charts.keySet().stream().map(n -> n + ".png").toList();
    }

    private static JFreeChart chart(List<Fit> fits) {
        XYSeriesCollection data = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(false, false);
        for (int i = 0; i < fits.size(); i++) {
            Fit f = fits.get(i);
            Color colour = COLOURS[i % COLOURS.length];
            String held = new Scenario.Point(f.others(), Map.of()).toString();
            XYSeries points = new XYSeries("measured " + held + " ".repeat(i));
            f.points().forEach(p -> points.add(p[0], p[1]));
            data.addSeries(points);
            renderer.setSeriesShapesVisible(2 * i, true);
            renderer.setSeriesShape(2 * i, new Ellipse2D.Double(-4, -4, 8, 8));
            renderer.setSeriesPaint(2 * i, colour);
            XYSeries line = new XYSeries(Result.shown(f.intercept()) + " + " + Result.shown(f.slope()) + " x, r2 "
                + Result.shown(f.r2()) + " ".repeat(i));
            if (Double.isFinite(f.slope())) {
                line.add(points.getMinX(), f.at(points.getMinX()));
                line.add(points.getMaxX(), f.at(points.getMaxX()));
            }
            data.addSeries(line);
            renderer.setSeriesLinesVisible(2 * i + 1, true);
            renderer.setSeriesPaint(2 * i + 1, colour);
        }
        Fit first = fits.get(0);
        JFreeChart chart = ChartFactory.createXYLineChart(first.experiment() + ": " + first.y(), first.x(),
            first.y() + " (" + first.unit() + ")", data);
        XYPlot plot = chart.getXYPlot();
        plot.setRenderer(renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        if (first.budget() != null) {
            ValueMarker budget = new ValueMarker(first.budget(), Color.RED, new BasicStroke(2, BasicStroke.CAP_BUTT,
                BasicStroke.JOIN_MITER, 1, new float[] {8, 6}, 0));
            budget.setLabel("budget " + Result.shown(first.budget()));
            budget.setLabelAnchor(org.jfree.chart.ui.RectangleAnchor.TOP_LEFT);
            budget.setLabelTextAnchor(org.jfree.chart.ui.TextAnchor.BOTTOM_LEFT);
            plot.addRangeMarker(budget);
            double top = Math.max(plot.getRangeAxis().getUpperBound(), first.budget() * 1.1);
            plot.getRangeAxis().setUpperBound(top);
        }
        return chart;
    }
}
