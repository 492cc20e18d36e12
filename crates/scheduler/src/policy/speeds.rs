//! Learns how fast machines are, from the share of work that their tasks report against tasks of the same step elsewhere.
//!
//! A machine's speed is the logarithm of its rate over the usual one: the median of its latest observations, so that a
//! task with unusually much work does not make a machine slow. Speeds decide something only while machines differ by more
//! than the tasks of one machine explain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;

use super::machine::{Machine, Observation, SpeedClass, median, weighted_median};
use crate::group::{GroupKey, TaskKey};
use crate::worker::WorkerKey;

/// Tasks of a step that are compared, and the fewest that allow a comparison.
const MAX_SIBLINGS: usize = 64;
const MIN_SIBLINGS: usize = 4;

/// The fewest machines that allow a comparison, if fewer than a number of them are of known speed: a step may be on a few
/// fast machines only, and then says nothing of what is usual.
const MIN_COMPARED: usize = 5;
const MIN_KNOWN: usize = 2;

/// Variance of the speed of a machine of which nothing is known: some run at half or twice the speed of others.
const UNKNOWN_VARIANCE: f64 = 0.15;

/// Steps whose tasks are compared at the same time; the one not seen for longest gives way. A step is dropped that
/// reported nothing for five times the longest time between two reports.
const MAX_STEPS: usize = 128;
const KEEP_STEP_MS: u64 = 10_000;

/// Machines set apart before the spread of speeds between machines is looked at.
const MIN_MACHINES: usize = 8;

/// Spread of speeds between machines (a standard deviation of the logarithm) from which they decide something: callers'
/// allowances are multiples of the run time, the tightest 1.5, so that a tenth or two is within them.
const MIN_SPREAD: f64 = 0.15;

/// Speeds that decide go on doing so down to this spread, so that a decision doesn't change with each report.
const MIN_LASTING_SPREAD: f64 = 0.10;

/// The spread has to exceed this many of its own standard errors too, so that a few unusual tasks don't make one.
const SPREAD_ERRORS: f64 = 2.0;

/// Standard deviation over the median deviation, of a normal distribution.
const DEVIATION_OF_MEDIAN: f64 = 1.4826;

/// Variance of the work of a step's tasks before they are compared, and how many tasks weigh as much: the users' load sheets
/// have 15 to 30% of unevenness. The members of a gang have the same work.
const TASK_VARIANCE: f64 = 0.09;
const TASK_VARIANCE_WEIGHT: f64 = 2.0;

/// The most that one observation tells; the logarithm of about 4.5.
const MAX_DISTANCE: f64 = 1.5;

/// How often the tasks of steps are compared and machines set apart anew; reports of a worker arrive every 0.4 to 2 s.
const REFRESH_MS: u64 = 500;

/// The most machines in a record, those that differ most; an id and a speed take about 22 bytes.
const MAX_RECORDED: usize = 200;

/// How often changes are logged, and how many machines by name.
const LOG_MS: u64 = 5_000;
const MAX_LOGGED: usize = 8;

/// Rate of a task of a step.
#[derive(Debug, Clone, Copy)]
struct Sibling {
    task: TaskKey,
    worker: WorkerKey,
    /// Logarithm of the share done in a millisecond.
    rate: f64,
    at_ms: u64,
    /// Position in the order of reports.
    order: u64,
}

/// The tasks of a step that are compared.
#[derive(Debug, Default)]
struct Step {
    siblings: Vec<Sibling>,
    seen_ms: u64,
    /// Reports since the tasks were compared.
    fresh: usize,
}

/// How fast machines are, for a successor: hundredths by which the logarithm of the speed differs from the usual.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SpeedsRecord {
    machines: Vec<(String, i16)>,
}

/// How much machines differ.
#[derive(Debug)]
struct Spread {
    /// Speed of the machine in the middle.
    usual: f64,
    /// Standard deviation of the machines' speeds.
    between: f64,
    /// Whether it is more than what chance explains.
    is_certain: bool,
}

/// How fast machines are.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    machines: SecondaryMap<WorkerKey, Machine>,
    steps: BTreeMap<GroupKey, Step>,
    /// Number of reports taken in.
    reports: u64,
    /// What a predecessor knew of machines that were not listed yet, and what was known of those that are not listed now.
    inherited: BTreeMap<String, f64>,
    /// Whether a predecessor has recorded speeds.
    is_restored: bool,
    refreshed_ms: u64,
    is_in_force: bool,
    /// Speed of the machine in the middle, of which the others are faster or slower.
    usual: f64,
    /// Machines that became known as slow since the last line of the log, how many there are, and when that was.
    to_log: Vec<String>,
    newly_slow: u64,
    logged_ms: u64,
}

impl Speeds {
    /// Takes up a machine, which keeps the speed that it is known for.
    pub fn add(&mut self, worker: WorkerKey, id: &str) {
        let known = self.inherited.remove(id);
        // The record names those machines only that are not usual.
        let inherited = known.or(self.is_restored.then_some(0.0));
        let mut machine = Machine::new(id.to_string(), inherited);
        if self.is_in_force {
            machine.class = machine.classify(machine.speed);
        }
        self.machines.insert(worker, machine);
    }

    /// Drops a machine that is not listed any more, but not its speed.
    pub fn remove(&mut self, worker: WorkerKey) {
        if let Some(machine) = self.machines.remove(worker)
            && machine.is_known()
            && self.inherited.len() < MAX_RECORDED
        {
            self.inherited
                .insert(machine.id, machine.speed - self.usual);
        }
    }

    /// Takes in that a task did a share of its work, in hundredths, in a time.
    pub fn observe(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        percent: u32,
        took_ms: u64,
        now_ms: u64,
    ) {
        if percent == 0 || took_ms == 0 {
            return;
        }
        if !self.steps.contains_key(&task.group) && self.steps.len() >= MAX_STEPS {
            let oldest = self
                .steps
                .iter()
                .min_by_key(|(key, step)| (step.seen_ms, **key));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.steps.remove(&key);
            }
        }
        self.reports += 1;
        let step = self.steps.entry(task.group).or_default();
        step.seen_ms = now_ms;
        let sibling = Sibling {
            task,
            worker,
            rate: (f64::from(percent) / took_ms as f64).ln(),
            at_ms: now_ms,
            order: self.reports,
        };
        match step.siblings.iter_mut().find(|s| s.task == task) {
            Some(before) => *before = sibling,
            None => {
                let oldest = (0..step.siblings.len()).min_by_key(|i| step.siblings[*i].order);
                match oldest.filter(|_| step.siblings.len() >= MAX_SIBLINGS) {
                    Some(oldest) => step.siblings[oldest] = sibling,
                    None => step.siblings.push(sibling),
                }
            }
        }
        step.fresh += 1;
        // Those that give way to others are compared before.
        if step.fresh >= MAX_SIBLINGS / 2 {
            self.compare(task.group);
        }
    }

    /// Compares the tasks of a step with each other, each at the speed that its machine is known for.
    fn compare(&mut self, group: GroupKey) {
        let Some(step) = self.steps.get_mut(&group) else {
            return;
        };
        step.fresh = 0;
        step.siblings.sort_by_key(|sibling| sibling.worker);
        let Some((usual, reference_variance)) =
            find_usual_rate(&step.siblings, &self.machines, self.usual)
        else {
            return;
        };
        let speed = |worker| {
            let machine = self.machines.get(worker);
            machine.map_or(0.0, |machine| machine.sure_speed(self.usual))
        };
        let mut deviations: Vec<f64> = step
            .siblings
            .iter()
            .map(|sibling| (sibling.rate - speed(sibling.worker) - usual).abs())
            .collect();
        let deviation = median(&mut deviations).unwrap_or_default() * DEVIATION_OF_MEDIAN;
        let count = step.siblings.len() as f64;
        let variance = (deviation * deviation * count + TASK_VARIANCE * TASK_VARIANCE_WEIGHT)
            / (count + TASK_VARIANCE_WEIGHT)
            + reference_variance;
        for sibling in &step.siblings {
            if let Some(machine) = self.machines.get_mut(sibling.worker) {
                machine.record(Observation {
                    task: sibling.task,
                    distance: (sibling.rate - usual).clamp(-MAX_DISTANCE, MAX_DISTANCE),
                    variance,
                    at_ms: sibling.at_ms,
                });
            }
        }
    }

    /// Sets machines apart anew, if it is time. Returns what changed, for the log.
    pub fn refresh(&mut self, now_ms: u64) -> Option<String> {
        if now_ms < self.refreshed_ms + REFRESH_MS {
            return None;
        }
        self.refreshed_ms = now_ms;
        self.steps
            .retain(|_, step| now_ms <= step.seen_ms + KEEP_STEP_MS);
        let reported = self.steps.iter().filter(|(_, step)| step.fresh > 0);
        for group in reported.map(|(group, _)| *group).collect::<Vec<_>>() {
            self.compare(group);
        }
        // A successor goes on with what it inherits until it knows enough machines itself.
        let spread = self.measure_spread()?;
        let was_in_force = self.is_in_force;
        self.usual = spread.usual;
        self.is_in_force = match was_in_force {
            true => spread.between >= MIN_LASTING_SPREAD,
            false => spread.between >= MIN_SPREAD && spread.is_certain,
        };
        for machine in self.machines.values_mut() {
            let speed = machine.speed - spread.usual;
            let mut class = match self.is_in_force {
                true => machine.classify(speed),
                false => SpeedClass::Usual,
            };
            if class == SpeedClass::Slow && machine.may_have_recovered(now_ms) {
                machine.forget();
                class = SpeedClass::Usual;
            }
            if class != machine.class {
                machine.since_ms = now_ms;
                machine.class = class;
                if class == SpeedClass::Slow {
                    let percent = speed.exp() * 100.0;
                    self.newly_slow += 1;
                    if self.to_log.len() < MAX_LOGGED {
                        self.to_log.push(format!("{} at {percent:.0}%", machine.id));
                    }
                }
            }
        }
        let is_due = self.newly_slow > 0 && now_ms >= self.logged_ms + LOG_MS;
        if !is_due && was_in_force == self.is_in_force {
            return None;
        }
        self.logged_ms = now_ms;
        let (fast, slow) = self.count_classes();
        Some(format!(
            "machines differ by {:.0}%, speeds decide: {}; {fast} are fast, {slow} slow, of these {} newly: {}",
            spread.between * 100.0,
            self.is_in_force,
            std::mem::take(&mut self.newly_slow),
            std::mem::take(&mut self.to_log).join(", "),
        ))
    }

    /// Measures how much machines differ beyond what the tasks of one machine explain; none with too few machines known.
    fn measure_spread(&self) -> Option<Spread> {
        let known = || self.machines.values().filter(|machine| machine.is_known());
        let mut speeds: Vec<f64> = known().map(|machine| machine.speed).collect();
        if speeds.len() < MIN_MACHINES {
            return None;
        }
        let machines = speeds.len() as f64;
        let noise = known().map(|machine| machine.variance).sum::<f64>() / machines;
        let mean = speeds.iter().sum::<f64>() / machines;
        let all = speeds
            .iter()
            .map(|speed| (speed - mean).powi(2))
            .sum::<f64>()
            / machines;
        Some(Spread {
            usual: median(&mut speeds)?,
            between: (all - noise).max(0.0).sqrt(),
            is_certain: all - noise > SPREAD_ERRORS * all * (2.0 / machines).sqrt(),
        })
    }

    /// Returns how a machine's speed compares with the usual one.
    pub fn class(&self, worker: WorkerKey) -> SpeedClass {
        if !self.is_in_force {
            return SpeedClass::Usual;
        }
        self.machines
            .get(worker)
            .map_or(SpeedClass::Usual, |machine| machine.class)
    }

    /// Returns whether machines are known to differ.
    pub fn is_in_force(&self) -> bool {
        self.is_in_force
    }

    /// Returns the factor by which runs on a machine are faster than usual; 1 if its speed decides nothing.
    pub fn factor(&self, worker: WorkerKey) -> f64 {
        match self.class(worker) {
            SpeedClass::Usual => 1.0,
            _ => self
                .machines
                .get(worker)
                .map_or(1.0, |m| (m.speed - self.usual).exp()),
        }
    }

    /// Returns how many machines are fast, and how many slow.
    pub fn count_classes(&self) -> (u64, u64) {
        let count = |class| self.machines.values().filter(|m| m.class == class).count() as u64;
        (count(SpeedClass::Fast), count(SpeedClass::Slow))
    }

    /// Returns the record for a successor.
    pub fn record(&self) -> SpeedsRecord {
        if !self.is_in_force {
            return SpeedsRecord::default();
        }
        let mut machines: Vec<(String, i16)> = self
            .machines
            .values()
            .filter(|machine| machine.class != SpeedClass::Usual && !machine.may_pass())
            .map(|machine| {
                (
                    machine.id.clone(),
                    ((machine.speed - self.usual) * 100.0).round() as i16,
                )
            })
            .collect();
        machines.sort_by(|a, b| (b.1.abs(), &a.0).cmp(&(a.1.abs(), &b.0)));
        machines.truncate(MAX_RECORDED);
        SpeedsRecord { machines }
    }

    /// Goes on with what a predecessor has learned.
    pub fn restore(&mut self, record: SpeedsRecord) {
        let valid = |speed: i16| f64::from(speed.unsigned_abs()) <= MAX_DISTANCE * 100.0;
        self.is_restored = !record.machines.is_empty();
        self.is_in_force = self.is_restored;
        self.inherited = record
            .machines
            .into_iter()
            .take(MAX_RECORDED)
            .filter(|(_, speed)| valid(*speed))
            .map(|(id, speed)| (id, f64::from(speed) / 100.0))
            .collect();
    }
}

/// Returns the rate of a step's tasks on a machine of usual speed, and its variance: the median of the machines, those of
/// known speed before others. None with too few machines. The tasks are in the order of their machines.
fn find_usual_rate(
    siblings: &[Sibling],
    machines: &SecondaryMap<WorkerKey, Machine>,
    usual_speed: f64,
) -> Option<(f64, f64)> {
    let mut rates: Vec<(f64, f64)> = Vec::new();
    let mut known = 0;
    for here in siblings.chunk_by(|a, b| a.worker == b.worker) {
        let machine = machines.get(here.first()?.worker)?;
        let mean = here.iter().map(|sibling| sibling.rate).sum::<f64>() / here.len() as f64;
        let work = TASK_VARIANCE / here.len() as f64;
        let speed = machine.sure_speed(usual_speed);
        let variance = match machine.is_known() {
            true => machine.variance,
            false => UNKNOWN_VARIANCE,
        };
        known += usize::from(machine.is_known());
        rates.push((mean - speed, (work + variance).recip()));
    }
    if siblings.len() < MIN_SIBLINGS || rates.len() < MIN_COMPARED && known < MIN_KNOWN {
        return None;
    }
    let weight: f64 = rates.iter().map(|(_, weight)| weight).sum();
    Some((weighted_median(&mut rates), weight.recip()))
}
