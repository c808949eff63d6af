//! Simulated time: threads that run one at a time, and events, in a command that only the seed decides.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// Microseconds since the simulation began.
pub type Time = u64;

/// Seconds as simulated time.
pub fn secs(s: f64) -> Time {
    (s * 1e6) as Time
}

/// Locks, also after a panic of another holder.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

type Work = Box<dyn FnOnce() + Send>;

enum Event {
    /// Wakes a task, if it still sleeps the sleep that this was made for.
    Wake(u64, u64),
    Run(Work),
}

#[derive(PartialEq)]
enum Turn {
    Task,
    Scheduler,
}

struct TaskState {
    turn: Turn,
    /// Counts sleeps.
    sleep: u64,
    killed: bool,
    finished: bool,
}

struct Task {
    id: u64,
    /// The process that it belongs to.
    process: u64,
    state: Mutex<TaskState>,
    turned: Condvar,
}

/// How a killed task ends: it unwinds from where it sleeps.
struct Killed;

thread_local! {
    static CURRENT: RefCell<Option<Arc<Task>>> = const { RefCell::new(None) };
}

#[derive(Default)]
struct Inner {
    queue: BTreeMap<(Time, u64), Event>,
    order: u64,
    tasks: HashMap<u64, Arc<Task>>,
    next_task: u64,
    /// Processes that stand still, and until when.
    frozen: HashMap<u64, Time>,
    panics: Vec<String>,
}

/// Runs threads one at a time and events in the order of simulated time, and of their making where that is equal.
#[derive(Default)]
pub struct DeterministicScheduler {
    now: AtomicU64,
    inner: Mutex<Inner>,
}

impl DeterministicScheduler {
    /// The simulated time.
    pub fn now(&self) -> Time {
        self.now.load(Ordering::Relaxed)
    }

    fn push(&self, at: Time, event: Event) {
        let mut inner = lock(&self.inner);
        inner.order += 1;
        let key = (at.max(self.now()), inner.order);
        inner.queue.insert(key, event);
    }

    /// Does this work then.
    pub fn at(&self, at: Time, work: impl FnOnce() + Send + 'static) {
        self.push(at, Event::Run(Box::new(work)));
    }

    /// Starts a thread of a process.
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
                turned: Condvar::new(),
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
            this.turned.notify_all();
        });
        spawned.unwrap();
        self.push(self.now(), Event::Wake(task.id, 0));
    }

    /// Sleeps until woken by [`DeterministicScheduler::wake`], at the latest until then.
    pub fn sleep_until(&self, at: Time) {
        let task = CURRENT.with(|c| c.borrow().clone());
        let task = task.expect("only tasks of the model sleep");
        let sleep = {
            let mut state = lock(&task.state);
            state.sleep += 1;
            state.sleep
        };
        self.push(at, Event::Wake(task.id, sleep));
        task.yield_turn();
    }

    /// The running task and the sleep that it will sleep next, for whoever is to wake it.
    pub fn sleeper(&self) -> (u64, u64) {
        let task = CURRENT.with(|c| c.borrow().clone());
        let task = task.expect("only tasks of the model sleep");
        let sleep = lock(&task.state).sleep + 1;
        (task.id, sleep)
    }

    /// Wakes a task from that sleep then, if it still sleeps it.
    pub fn wake(&self, sleeper: (u64, u64), at: Time) {
        self.push(at, Event::Wake(sleeper.0, sleeper.1));
    }

    fn resume(&self, task: &Arc<Task>) {
        let mut state = lock(&task.state);
        state.turn = Turn::Task;
        task.turned.notify_all();
        while state.turn == Turn::Task {
            state = task.turned.wait(state).unwrap_or_else(|e| e.into_inner());
        }
        let over = state.finished;
        drop(state);
        if over {
            lock(&self.inner).tasks.remove(&task.id);
        }
    }

    /// Ends a process: its threads do nothing more.
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

    /// Threads of a process do not run until then.
    pub fn freeze(&self, process: u64, until: Time) {
        lock(&self.inner).frozen.insert(process, until);
    }

    /// Until when a process stands still, if it does.
    pub fn frozen_until(&self, process: u64) -> Option<Time> {
        let until = lock(&self.inner).frozen.get(&process).copied()?;
        (until > self.now()).then_some(until)
    }

    /// Runs everything up to then.
    pub fn run_until(&self, end: Time) {
        loop {
            let event = {
                let mut inner = lock(&self.inner);
                let panics = std::mem::take(&mut inner.panics);
                assert!(panics.is_empty(), "a thread panicked: {panics:?}");
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

    /// Ends everything.
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
    /// Gives the turn back and waits for the next one.
    fn yield_turn(&self) {
        let mut state = lock(&self.state);
        if state.killed {
            // Something that unwinds would sleep.
            return;
        }
        state.turn = Turn::Scheduler;
        self.turned.notify_all();
        drop(state);
        self.await_turn();
    }

    fn await_turn(&self) {
        let mut state = lock(&self.state);
        while state.turn == Turn::Scheduler {
            state = self.turned.wait(state).unwrap_or_else(|e| e.into_inner());
        }
        if state.killed {
            drop(state);
            resume_unwind(Box::new(Killed));
        }
    }
}
