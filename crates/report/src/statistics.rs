//! Medians and the like, by a histogram library.

use hdrhistogram::Histogram;

/// Three significant figures.
const PRECISION: u8 = 3;
/// Larger values count as this one: more than a day in seconds.
const LARGEST: u64 = 100_000_000;
/// Values are kept in thousandths.
const SCALE: f64 = 1000.0;

/// Many values of one kind.
#[derive(Clone, Debug)]
pub struct Distribution {
    histogram: Histogram<u64>,
}

impl Default for Distribution {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LARGEST, PRECISION);
        Distribution {
            // Only a precision above five, or a largest value below two, is refused.
            histogram: histogram.expect("the bounds are valid"),
        }
    }
}

impl Distribution {
    /// Adds a value; negative ones count as 0.
    pub fn add(&mut self, value: f64) {
        self.histogram
            .saturating_record((value * SCALE).max(0.0) as u64);
    }

    /// How many values there are.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The value that this share of all doesn't exceed; None if there are none.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        (!self.is_empty()).then(|| self.histogram.value_at_quantile(share) as f64 / SCALE)
    }

    /// The largest value.
    pub fn max(&self) -> Option<f64> {
        (!self.is_empty()).then(|| self.histogram.max() as f64 / SCALE)
    }

    /// The mean.
    pub fn mean(&self) -> Option<f64> {
        (!self.is_empty()).then(|| self.histogram.mean() / SCALE)
    }
}

impl Extend<f64> for Distribution {
    fn extend<T: IntoIterator<Item = f64>>(&mut self, values: T) {
        values.into_iter().for_each(|value| self.add(value));
    }
}

/// A figure with one digit behind the point, or a dash.
pub fn figure(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| format!("{value:.1}"))
}
