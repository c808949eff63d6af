//! The images that a machine's worker has fetched or is fetching.

use crate::time::Moment;
use std::collections::BTreeMap;

/// The number of images remembered of a machine: images without a size would never fill its cache.
const MAX_IMAGES: usize = 64;

/// What is known of one image on one machine.
#[derive(Clone, Debug)]
pub struct Image {
    /// Its size in gigabytes.
    pub gb: f64,
    /// When an attempt that needs it was last reported.
    pub last_used: Moment,
    /// True once it was completely fetched; false while it may be on its way.
    pub cached: bool,
}

/// The images on one machine, as estimated from the attempts that it reports: workers don't list them.
#[derive(Debug, Default)]
pub struct ImageCache {
    images: BTreeMap<String, Image>,
}

impl ImageCache {
    /// What is known of this image, if it may be on the machine.
    pub fn get(&self, image: &str) -> Option<&Image> {
        self.images.get(image)
    }

    /// All images, by name.
    pub fn values(&self) -> impl Iterator<Item = &Image> {
        self.images.values()
    }

    /// Notes that an attempt uses an image. If the images exceed `capacity_gb` then, the least recently used
    /// ones are dropped, as the worker does, until only one is left.
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
