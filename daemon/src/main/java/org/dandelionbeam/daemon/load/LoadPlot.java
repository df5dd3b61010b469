package org.dandelionbeam.daemon.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Plots latencies by percentile, with a line for each team and class. */
final class LoadPlot {
  private static final int WIDTH_PIXELS = 1_000;
  private static final int HEIGHT_PIXELS = 600;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double MIN_PLOTTED_MILLIS = 0.001;
  private static final double MAX_PERCENTILE = 99.5;

  private LoadPlot() {}

  static void write(Path file, Map<String, ClassResults> classes) throws IOException {
    System.setProperty("java.awt.headless", "true");
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title("Latency from the intended start")
            .xAxisTitle("percentile")
            .yAxisTitle("ms")
            .build();
    chart.getStyler().setYAxisLogarithmic(true).setMarkerSize(0);
    classes.forEach(
        (name, result) -> {
          add(chart, name + " first token", result.firstToken());
          add(chart, name + " total", result.total());
        });
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static void add(XYChart chart, String name, Histogram histogram) {
    if (histogram.getTotalCount() == 0) {
      return;
    }
    List<Double> percentiles = new ArrayList<>();
    List<Double> millis = new ArrayList<>();
    for (double percentile = 0; percentile <= MAX_PERCENTILE; percentile += 0.5) {
      percentiles.add(percentile);
      double value = histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
      millis.add(Math.max(MIN_PLOTTED_MILLIS, value));
    }
    chart.addSeries(name, percentiles, millis);
  }
}
