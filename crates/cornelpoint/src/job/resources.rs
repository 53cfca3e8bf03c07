use serde::Deserialize;
use serde::Serialize;

/// Resources that a task needs or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether `need` fits into these resources beside what is `used`.
    ///
    /// ```
    /// use cornelpoint::job::Resources;
    ///
    /// let worker = Resources { cpu_millicores: 4000, memory_mb: 8192, accelerators: 0 };
    /// let task = Resources { cpu_millicores: 3000, memory_mb: 1024, accelerators: 0 };
    /// assert!(worker.fits(Resources::default(), task));
    /// assert!(!worker.fits(task, task));
    /// ```
    #[must_use]
    pub fn fits(self, used: Self, need: Self) -> bool {
        let sum = used.plus(need);
        sum.cpu_millicores <= self.cpu_millicores
            && sum.memory_mb <= self.memory_mb
            && sum.accelerators <= self.accelerators
    }

    /// Returns how often `need` fits into these resources beside what is `used`;
    /// `u64::MAX` if it takes nothing.
    ///
    /// ```
    /// use cornelpoint::job::Resources;
    ///
    /// let worker = Resources { cpu_millicores: 4000, memory_mb: 8192, accelerators: 0 };
    /// let task = Resources { cpu_millicores: 1500, memory_mb: 1024, accelerators: 0 };
    /// assert_eq!(worker.count_fitting(Resources::default(), task), 2);
    /// assert_eq!(worker.count_fitting(task, task), 1);
    /// ```
    #[must_use]
    pub fn count_fitting(self, used: Self, need: Self) -> u64 {
        if !self.fits(used, need) {
            return 0;
        }
        let free = self.minus(used);
        let count = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        count(free.cpu_millicores, need.cpu_millicores)
            .min(count(free.memory_mb, need.memory_mb))
            .min(count(free.accelerators, need.accelerators))
    }

    /// Returns the sum of both, at most `u64::MAX` of each resource: other programs may have
    /// written the entries of workers.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the sum of `count` of these.
    ///
    /// ```
    /// use cornelpoint::job::Resources;
    ///
    /// let task = Resources { cpu_millicores: 500, memory_mb: 100, accelerators: 0 };
    /// assert_eq!(task.times(2), task.plus(task));
    /// ```
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns what is left without `other`, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
