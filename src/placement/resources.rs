//! Amounts of resources: demands of tasks, and capacities of machines and quotas.

/// An amount of each resource, in thousandths (of a CPU, of a GPU, of a gigabyte), so that sums are exact.
///
/// A difference may be negative: its absolute value is then the missing amount.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpu: i64,
    /// Thousandths of a GPU.
    pub gpu: i64,
    /// Thousandths of a gigabyte of memory.
    pub ram: i64,
}

/// Units in one CPU, GPU or gigabyte.
const UNITS: f64 = 1000.0;

/// Part of a unit that is ignored when rounding, since decimal fractions are inexact as floating-point numbers.
const ROUNDING_SLACK: f64 = 1e-6;

/// The largest number that [`Resources::task_capacity`] returns.
const MAX_TASK_CAPACITY: i64 = 10_000;

impl Resources {
    /// The demand of a task: each amount is rounded up.
    pub fn demand(cpus: f64, gpus: f64, ram_gb: f64) -> Resources {
        let up = |amount: f64| (amount * UNITS - ROUNDING_SLACK).ceil() as i64;
        Resources {
            cpu: up(cpus),
            gpu: up(gpus),
            ram: up(ram_gb),
        }
    }

    /// The capacity of a machine or of a quota: each amount is rounded down.
    pub fn capacity(cpus: f64, gpus: f64, ram_gb: f64) -> Resources {
        let down = |amount: f64| (amount * UNITS + ROUNDING_SLACK).floor() as i64;
        Resources {
            cpu: down(cpus),
            gpu: down(gpus),
            ram: down(ram_gb),
        }
    }

    /// True if no amount is above that of the capacity.
    pub fn fits(self, capacity: Resources) -> bool {
        self.cpu <= capacity.cpu && self.gpu <= capacity.gpu && self.ram <= capacity.ram
    }

    /// The sum of the amounts of each resource.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu + other.cpu,
            gpu: self.gpu + other.gpu,
            ram: self.ram + other.ram,
        }
    }

    /// The difference of the amounts of each resource; an amount that falls short is negative.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu - other.cpu,
            gpu: self.gpu - other.gpu,
            ram: self.ram - other.ram,
        }
    }

    /// The smaller amount of each resource.
    pub fn min(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(other.cpu),
            gpu: self.gpu.min(other.gpu),
            ram: self.ram.min(other.ram),
        }
    }

    /// The larger amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.max(other.cpu),
            gpu: self.gpu.max(other.gpu),
            ram: self.ram.max(other.ram),
        }
    }

    /// The total demand of `count` tasks of this demand.
    pub fn scaled(self, count: i64) -> Resources {
        Resources {
            cpu: self.cpu * count,
            gpu: self.gpu * count,
            ram: self.ram * count,
        }
    }

    /// Number of tasks of the demand that fit into this capacity, 10,000 at most. A resource that the task doesn't
    /// demand sets no limit.
    pub fn task_capacity(self, demand: Resources) -> u32 {
        let count = |capacity: i64, demand: i64| match demand {
            ..=0 => i64::MAX,
            _ => capacity / demand,
        };
        count(self.cpu, demand.cpu)
            .min(count(self.gpu, demand.gpu))
            .min(count(self.ram, demand.ram))
            .clamp(0, MAX_TASK_CAPACITY) as u32
    }
}

/// Capacity of a machine that is free now, and that is being freed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Capacity that no attempt on the machine holds.
    pub free: Resources,
    /// Capacity held by attempts that are being stopped.
    pub stopping: Resources,
    /// Bytes that the machine's report has left for more attempts.
    pub report_bytes: usize,
}
