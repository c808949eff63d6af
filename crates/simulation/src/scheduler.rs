//! Simulated time: runs threads, one at a time, and events in an order that depends on the seed alone.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// Microseconds since the simulation began.
pub type Time = u64;

/// Converts seconds to simulated time.
pub fn secs(s: f64) -> Time {
    (s * 1e6) as Time
}

/// Locks a mutex, also if another holder panicked.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

type Work = Box<dyn FnOnce() + Send>;

enum Event {
    /// Wakes the task with the first number if its current sleep has the second number.
    Wake(u64, u64),
    /// Runs a function in the thread of the scheduler.
    Run(Work),
}

/// Side that runs now: the task or the scheduler.
#[derive(PartialEq)]
enum Turn {
    Task,
    Scheduler,
}

/// State of a simulated thread.
struct TaskState {
    turn: Turn,
    /// Number of sleeps that the task has begun.
    sleep: u64,
    /// True once the process was killed: the thread unwinds at its next turn.
    killed: bool,
    /// True once the thread has ended.
    finished: bool,
}

/// Simulated thread: a thread of the operating system that runs only in its turns.
struct Task {
    id: u64,
    /// Number of the simulated process that the task belongs to.
    process: u64,
    state: Mutex<TaskState>,
    turn_changed: Condvar,
}

/// Panic payload of a killed task, which unwinds from its current sleep.
struct Killed;

thread_local! {
    static CURRENT: RefCell<Option<Arc<Task>>> = const { RefCell::new(None) };
}

/// State of the scheduler.
#[derive(Default)]
struct Inner {
    /// Scheduled events, by time and number.
    queue: BTreeMap<(Time, u64), Event>,
    /// Number of events that were scheduled. It orders events of the same time.
    scheduled: u64,
    tasks: HashMap<u64, Arc<Task>>,
    next_task: u64,
    /// Frozen processes, with the time at which each resumes.
    frozen: HashMap<u64, Time>,
    /// Messages of panics in simulated threads.
    panics: Vec<String>,
}

/// Runs threads, one at a time, and events in the order of simulated time. Events of the same time run in the order
/// in which they were scheduled.
#[derive(Default)]
pub struct DeterministicScheduler {
    now: AtomicU64,
    inner: Mutex<Inner>,
}

impl DeterministicScheduler {
    /// Current simulated time.
    pub fn now(&self) -> Time {
        self.now.load(Ordering::Relaxed)
    }

    /// Adds an event to the queue.
    fn push(&self, at: Time, event: Event) {
        let mut inner = lock(&self.inner);
        inner.scheduled += 1;
        let key = (at.max(self.now()), inner.scheduled);
        inner.queue.insert(key, event);
    }

    /// Schedules `work` at a point in simulated time, or now if that has passed.
    pub fn at(&self, at: Time, work: impl FnOnce() + Send + 'static) {
        self.push(at, Event::Run(Box::new(work)));
    }

    /// Starts a thread of a simulated process. Its thread-local random generator is seeded with `seed`.
    pub fn spawn(self: &Arc<Self>, process: u64, seed: u64, work: Work) {
        let task = {
            let mut inner = lock(&self.inner);
            inner.next_task += 1;
            let task = Arc::new(Task {
                id: inner.next_task,
                process,
                state: Mutex::new(TaskState {
                    turn: Turn::Scheduler,
                    sleep: 0,
                    killed: false,
                    finished: false,
                }),
                turn_changed: Condvar::new(),
            });
            inner.tasks.insert(task.id, task.clone());
            task
        };
        let (scheduler, this) = (self.clone(), task.clone());
        let thread = std::thread::Builder::new().stack_size(1 << 20);
        let spawned = thread.spawn(move || {
            CURRENT.with(|c| *c.borrow_mut() = Some(this.clone()));
            fastrand::seed(seed);
            let result = catch_unwind(AssertUnwindSafe(|| {
                this.await_turn();
                work();
            }));
            if let Err(payload) = result
                && !payload.is::<Killed>()
            {
                let text = payload.downcast_ref::<String>().cloned();
                let text = text.or_else(|| payload.downcast_ref::<&str>().map(|s| s.to_string()));
                lock(&scheduler.inner).panics.push(text.unwrap_or_default());
            }
            let mut state = lock(&this.state);
            state.finished = true;
            state.turn = Turn::Scheduler;
            this.turn_changed.notify_all();
        });
        spawned.unwrap();
        self.push(self.now(), Event::Wake(task.id, 0));
    }

    /// Sleeps until [`DeterministicScheduler::wake`] ends the sleep, but no longer than until `at`.
    pub fn sleep_until(&self, at: Time) {
        let task = CURRENT.with(|c| c.borrow().clone());
        let task = task.expect("the caller is not a simulated thread");
        let sleep = {
            let mut state = lock(&task.state);
            state.sleep += 1;
            state.sleep
        };
        self.push(at, Event::Wake(task.id, sleep));
        task.yield_turn();
    }

    /// Numbers of the running task and of its next sleep, which [`DeterministicScheduler::wake`] needs to end it.
    pub fn sleeper(&self) -> (u64, u64) {
        let task = CURRENT.with(|c| c.borrow().clone());
        let task = task.expect("the caller is not a simulated thread");
        let sleep = lock(&task.state).sleep + 1;
        (task.id, sleep)
    }

    /// Wakes a task at `at` if it is still in the sleep that `sleeper` names.
    pub fn wake(&self, sleeper: (u64, u64), at: Time) {
        self.push(at, Event::Wake(sleeper.0, sleeper.1));
    }

    /// Lets a task run until it sleeps or ends.
    fn resume(&self, task: &Arc<Task>) {
        let mut state = lock(&task.state);
        state.turn = Turn::Task;
        task.turn_changed.notify_all();
        while state.turn == Turn::Task {
            state = task
                .turn_changed
                .wait(state)
                .unwrap_or_else(|e| e.into_inner());
        }
        let finished = state.finished;
        drop(state);
        if finished {
            lock(&self.inner).tasks.remove(&task.id);
        }
    }

    /// Ends the threads of a process.
    pub fn kill(&self, process: u64) {
        let tasks: Vec<Arc<Task>> = {
            let mut inner = lock(&self.inner);
            inner.frozen.remove(&process);
            let all = inner.tasks.values().filter(|t| t.process == process);
            let mut tasks: Vec<Arc<Task>> = all.cloned().collect();
            tasks.sort_by_key(|t| t.id);
            tasks
        };
        for task in tasks {
            lock(&task.state).killed = true;
            self.resume(&task);
        }
    }

    /// Freezes a process: its threads don't run before `until`.
    pub fn freeze(&self, process: u64, until: Time) {
        lock(&self.inner).frozen.insert(process, until);
    }

    /// Time until which a process is frozen, if it is frozen now.
    pub fn frozen_until(&self, process: u64) -> Option<Time> {
        let until = lock(&self.inner).frozen.get(&process).copied()?;
        (until > self.now()).then_some(until)
    }

    /// Runs all threads and events that are due up to `end`.
    ///
    /// # Panics
    ///
    /// If a simulated thread has panicked.
    pub fn run_until(&self, end: Time) {
        loop {
            let event = {
                let mut inner = lock(&self.inner);
                let panics = std::mem::take(&mut inner.panics);
                assert!(panics.is_empty(), "simulated threads panicked: {panics:?}");
                match inner.queue.first_entry() {
                    Some(e) if e.key().0 <= end => {
                        let (key, event) = e.remove_entry();
                        self.now.store(key.0, Ordering::Relaxed);
                        event
                    }
                    _ => break,
                }
            };
            match event {
                Event::Run(work) => work(),
                Event::Wake(id, sleep) => {
                    let task = lock(&self.inner).tasks.get(&id).cloned();
                    let Some(task) = task else { continue };
                    if lock(&task.state).sleep != sleep {
                        continue;
                    }
                    match self.frozen_until(task.process) {
                        Some(until) => self.push(until, Event::Wake(id, sleep)),
                        None => self.resume(&task),
                    }
                }
            }
        }
        self.now.store(end, Ordering::Relaxed);
    }

    /// Ends all threads and drops all events.
    pub fn shut_down(&self) {
        let processes: std::collections::BTreeSet<u64> = {
            let inner = lock(&self.inner);
            inner.tasks.values().map(|t| t.process).collect()
        };
        for process in processes {
            self.kill(process);
        }
        lock(&self.inner).queue.clear();
    }
}

impl Task {
    /// Lets the scheduler run and waits for the task's next turn.
    fn yield_turn(&self) {
        let mut state = lock(&self.state);
        if state.killed {
            // A destructor that runs while the killed task unwinds must not sleep.
            return;
        }
        state.turn = Turn::Scheduler;
        self.turn_changed.notify_all();
        drop(state);
        self.await_turn();
    }

    /// Waits for the task's turn; unwinds if the task was killed.
    fn await_turn(&self) {
        let mut state = lock(&self.state);
        while state.turn == Turn::Scheduler {
            state = self
                .turn_changed
                .wait(state)
                .unwrap_or_else(|e| e.into_inner());
        }
        if state.killed {
            drop(state);
            resume_unwind(Box::new(Killed));
        }
    }
}
