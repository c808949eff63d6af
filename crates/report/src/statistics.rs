//! Quantiles and means of many values, kept in a histogram.

use hdrhistogram::Histogram;

/// Number of significant decimal digits that the histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Largest recorded value, in thousandths; larger values count as this one. In seconds this is more than a day.
const MAX_VALUE: u64 = 100_000_000;
/// Factor from a value to the number that is recorded for it: values are kept in thousandths.
const SCALE: f64 = 1000.0;

/// Distribution of the values of one quantity.
#[derive(Clone, Debug)]
pub struct Distribution {
    histogram: Histogram<u64>,
}

impl Default for Distribution {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_VALUE, SIGNIFICANT_DIGITS);
        Distribution {
            // `new_with_max` refuses only a precision above 5 or a largest value below 2.
            histogram: histogram.expect("valid histogram bounds"),
        }
    }
}

impl Distribution {
    /// Adds a value; a negative value counts as 0.
    pub fn add(&mut self, value: f64) {
        self.histogram
            .saturating_record((value * SCALE).max(0.0) as u64);
    }

    /// Returns the number of values.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// True if there are no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the value that this fraction of all values doesn't exceed; `None` if there are no values.
    pub fn quantile(&self, fraction: f64) -> Option<f64> {
        (!self.is_empty()).then(|| self.histogram.value_at_quantile(fraction) as f64 / SCALE)
    }

    /// Returns the largest value; `None` if there are no values.
    pub fn max(&self) -> Option<f64> {
        (!self.is_empty()).then(|| self.histogram.max() as f64 / SCALE)
    }

    /// Returns the mean; `None` if there are no values.
    pub fn mean(&self) -> Option<f64> {
        (!self.is_empty()).then(|| self.histogram.mean() / SCALE)
    }
}

impl Extend<f64> for Distribution {
    fn extend<T: IntoIterator<Item = f64>>(&mut self, values: T) {
        values.into_iter().for_each(|value| self.add(value));
    }
}

/// Formats a figure with one decimal place; `None` becomes a dash.
pub fn format_figure(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| format!("{value:.1}"))
}
