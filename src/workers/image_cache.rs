//! Estimate of the images in a worker's local cache.

use crate::time::Moment;
use std::collections::BTreeMap;

/// Maximum number of images tracked for a machine. Images without a size never fill its cache, so the capacity alone
/// wouldn't bound their number.
const MAX_IMAGES: usize = 64;

/// One image on one machine.
#[derive(Clone, Debug)]
pub struct Image {
    /// Size in gigabytes.
    pub gb: f64,
    /// Time at which an attempt that needs the image was last reported.
    pub last_used: Moment,
    /// True once the image was fetched completely; false while it may still be being fetched.
    pub cached: bool,
}

/// Images on one machine. They are estimated from the attempts that its worker reports, because workers don't
/// report their images.
#[derive(Debug, Default)]
pub struct ImageCache {
    images: BTreeMap<String, Image>,
}

impl ImageCache {
    /// State of this image; `None` if it isn't expected on the machine.
    pub fn get(&self, image: &str) -> Option<&Image> {
        self.images.get(image)
    }

    /// All images, ordered by name.
    pub fn values(&self) -> impl Iterator<Item = &Image> {
        self.images.values()
    }

    /// Records that an attempt uses an image. If the images then exceed `capacity_gb`, the least recently used ones
    /// are evicted, as the worker does, but at least one is kept.
    pub fn note_use(&mut self, image: &str, gb: f64, cached: bool, capacity_gb: f64, now: Moment) {
        let entry = self.images.entry(image.to_string()).or_insert(Image {
            gb,
            last_used: now,
            cached: false,
        });
        entry.last_used = now;
        entry.cached |= cached;
        while self.is_over(capacity_gb) {
            self.evict_least_recently_used();
        }
    }

    fn is_over(&self, capacity_gb: f64) -> bool {
        let total_gb = || self.images.values().map(|image| image.gb).sum::<f64>();
        self.images.len() > MAX_IMAGES || (total_gb() > capacity_gb && self.images.len() > 1)
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self
            .images
            .iter()
            .min_by_key(|(_, image)| image.last_used)
            .map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.images.remove(&oldest);
        }
    }
}
