//! Bar charts with grouped bars, as SVG.

use plotters::prelude::*;

/// Width and height in pixels.
const SIZE: (u32, u32) = (1150, 420);
const FONT: (&str, i32) = ("sans-serif", 15);
const COLORS: [RGBColor; 3] = [
    RGBColor(136, 136, 136),
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
];
/// Fraction of a group's width that its bars take together.
const BARS_WIDTH: f64 = 0.7;
/// Factor from the highest bar to the top of the vertical axis.
const HEADROOM: f64 = 1.15;

/// Failure to draw a plot.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw plot {title:?}: {reason}")]
pub struct PlotError {
    title: String,
    reason: String,
}

/// A chart with a group of bars for each category, and in each group one bar for each series.
#[derive(Clone, Debug)]
pub struct GroupedBars {
    /// Title of the chart.
    pub title: String,
    /// Label of the vertical axis.
    pub y_label: String,
    /// Names of the series.
    pub series: Vec<String>,
    /// Name of each group, and its value for each series; `None` draws no bar.
    pub groups: Vec<(String, Vec<Option<f64>>)>,
}

impl GroupedBars {
    /// Renders the chart as SVG.
    pub fn to_svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        let drawn = self.draw(&mut svg);
        drawn.map_err(|e| PlotError {
            title: self.title.clone(),
            reason: e.to_string(),
        })?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error + '_>> {
        let values = self.groups.iter().flat_map(|(_, values)| values);
        let highest = values.flatten().copied().fold(0.0, f64::max);
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(50)
            .y_label_area_size(60)
            .build_cartesian_2d(
                0.0..self.groups.len() as f64,
                0.0..(highest * HEADROOM).max(1.0),
            )?;
        let label = |x: &f64| {
            let (index, middle) = (x.floor() as usize, (x.fract() - 0.5).abs() < 0.01);
            let group = self.groups.get(index).filter(|_| middle);
            group.map_or(String::new(), |(name, _)| name.clone())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .y_desc(&self.y_label)
            .x_labels(2 * self.groups.len() + 1)
            .x_label_formatter(&label)
            .label_style(FONT)
            .draw()?;
        for (number, name) in self.series.iter().enumerate() {
            let color = COLORS[number % COLORS.len()];
            chart
                .draw_series(self.bars(number, color))?
                .label(name)
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled())
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .label_font(FONT)
            .position(SeriesLabelPosition::UpperRight)
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Returns the bars of one series.
    fn bars(&self, number: usize, color: RGBColor) -> Vec<Rectangle<(f64, f64)>> {
        let width = BARS_WIDTH / self.series.len() as f64;
        let mut bars = Vec::new();
        for (group, (_, values)) in self.groups.iter().enumerate() {
            if let Some(Some(value)) = values.get(number) {
                let left = group as f64 + (1.0 - BARS_WIDTH) / 2.0 + width * number as f64;
                let corners = [(left, 0.0), (left + width, *value)];
                bars.push(Rectangle::new(corners, color.filled()));
            }
        }
        bars
    }
}
