package org.mangorack.bench.plot;

import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.svg.SVGGraphics2D;

/**
 * A chart of grouped horizontal bars. Not thread-safe.
 */
public final class BarChart {

	private static final int WIDTH = 900;

	private static final int AXES_HEIGHT = 120;

	private static final int BAR_HEIGHT = 22;

	private final DefaultCategoryDataset values = new DefaultCategoryDataset();

	private final String title;

	private final String axis;

	/**
	 * Creates an empty chart.
	 * @param title the title
	 * @param axis the label of the value axis, including the unit
	 */
	public BarChart(String title, String axis) {
		this.title = title;
		this.axis = axis;
	}

	/**
	 * Adds a bar.
	 * @param group the group, such as the measured subject
	 * @param series the series, such as a percentile
	 * @param value the value
	 */
	public void add(String group, String series, double value) {
		this.values.addValue(value, series, group);
	}

	/**
	 * Writes the chart as SVG, replacing an existing file.
	 * @param file the file
	 * @throws IOException if it cannot be written
	 */
	public void write(Path file) throws IOException {
		JFreeChart chart = ChartFactory.createBarChart(this.title, null, this.axis, this.values,
				PlotOrientation.HORIZONTAL, true, false, false);
		int height = AXES_HEIGHT + (BAR_HEIGHT * this.values.getRowCount() * this.values.getColumnCount());
		SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, height);
		graphics.setDefsKeyPrefix("chart");
		chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, height));
		Files.writeString(file, graphics.getSVGDocument());
	}

}
