//! Amounts of resources: what tasks need, and what machines and limits have.

/// Resources in whole thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    pub cpu: i64,
    pub gpu: i64,
    pub ram: i64,
}

impl Resources {
    /// What a task takes: rounded up.
    pub fn demand(cpus: f64, gpus: f64, ram_gb: f64) -> Resources {
        let up = |x: f64| (x * 1000.0 - 1e-6).ceil() as i64;
        Resources {
            cpu: up(cpus),
            gpu: up(gpus),
            ram: up(ram_gb),
        }
    }

    /// What a machine or a limit has: rounded down.
    pub fn capacity(cpus: f64, gpus: f64, ram_gb: f64) -> Resources {
        let down = |x: f64| (x * 1000.0 + 1e-6).floor() as i64;
        Resources {
            cpu: down(cpus),
            gpu: down(gpus),
            ram: down(ram_gb),
        }
    }

    pub fn fits(self, room: Resources) -> bool {
        self.cpu <= room.cpu && self.gpu <= room.gpu && self.ram <= room.ram
    }

    pub fn plus(self, o: Resources) -> Resources {
        Resources {
            cpu: self.cpu + o.cpu,
            gpu: self.gpu + o.gpu,
            ram: self.ram + o.ram,
        }
    }

    pub fn minus(self, o: Resources) -> Resources {
        Resources {
            cpu: self.cpu - o.cpu,
            gpu: self.gpu - o.gpu,
            ram: self.ram - o.ram,
        }
    }

    /// The smaller of both, for each resource.
    pub fn at_most(self, o: Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(o.cpu),
            gpu: self.gpu.min(o.gpu),
            ram: self.ram.min(o.ram),
        }
    }

    pub fn scaled(self, n: i64) -> Resources {
        Resources {
            cpu: self.cpu * n,
            gpu: self.gpu * n,
            ram: self.ram * n,
        }
    }

    /// How many tasks of this need the room holds.
    pub fn count_of(self, need: Resources) -> u32 {
        let one = |have: i64, need: i64| if need <= 0 { i64::MAX } else { have / need };
        one(self.cpu, need.cpu)
            .min(one(self.gpu, need.gpu))
            .min(one(self.ram, need.ram))
            .clamp(0, 10_000) as u32
    }
}

/// What a machine has left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeCapacity {
    /// What no attempt on the machine holds.
    pub free: Resources,
    /// What attempts hold that are being stopped.
    pub stopping: Resources,
}
