//! What is known of the speed of one machine: the latest observations of its tasks, and what they say.

use crate::group::TaskKey;

/// Observations of a machine that count, the newest: enough that a median bears three unusual tasks, and few enough that a
/// machine that was slow for a moment is known as usual after four.
const MAX_OBSERVATIONS: usize = 7;

/// Fewer observations of a machine than these don't set it apart: one of them may be of an unusual task.
const MIN_OBSERVATIONS: usize = 3;

/// A machine is set apart from usual ones by this much, and by this many standard deviations of what its tasks say: of 350
/// equal machines, two are set apart by chance.
const CLASS_SPAN: f64 = 0.15;
const CLASS_DEVIATIONS: f64 = 2.5;

/// The variance of a median of few values over that of their mean.
const MEDIAN_VARIANCE: f64 = 1.5;

/// Variance of what a predecessor knew.
const INHERITED_VARIANCE: f64 = 0.02;

/// How many standard deviations of an observation count at most when the observations of a machine disagree.
const MAX_DEVIATIONS: f64 = 3.0;

/// A machine that was slow for a shorter time than this may have been slow for a moment only: disruptions of workers last
/// 5 to 8 s. It counts as usual again if nothing was seen of it for as long.
const LASTING_MS: u64 = 10_000;

/// Difference of two sums of weights, as a share, that is taken for rounding.
const EQUAL_WEIGHTS: f64 = 1e-6;

/// How a machine's speed compares with the usual one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpeedClass {
    /// Faster by more than the span.
    Fast,
    /// Within the span, or not known.
    #[default]
    Usual,
    /// Slower by more than the span.
    Slow,
}

/// An observation: how much faster a task progressed than its siblings.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    pub task: TaskKey,
    /// Logarithm of its rate over that of its siblings.
    pub distance: f64,
    /// Variance of the distances in its step.
    pub variance: f64,
    pub at_ms: u64,
}

/// What is known of a machine.
#[derive(Debug, Default)]
pub(crate) struct Machine {
    pub id: String,
    /// The newest ones, in no order.
    pub observations: Vec<Observation>,
    /// Speed that was known before the observations, from a predecessor.
    pub inherited: Option<f64>,
    /// Logarithm of its rate over that of the tasks that it was compared with.
    pub speed: f64,
    /// Variance of that.
    pub variance: f64,
    /// Since when it has its class.
    pub since_ms: u64,
    pub class: SpeedClass,
}

impl Machine {
    /// Computes the speed: the median of the observations, each by the inverse of its variance, and of what a predecessor
    /// knew; usual while too little is known.
    fn update_speed(&mut self) {
        let mut values: Vec<(f64, f64)> = self
            .observations
            .iter()
            .map(|o| (o.distance, o.variance.recip()))
            .collect();
        values.extend(self.inherited.map(|s| (s, INHERITED_VARIANCE.recip())));
        (self.speed, self.variance) = (0.0, 0.0);
        if !self.is_known() {
            return;
        }
        self.speed = weighted_median(&mut values);
        let weight: f64 = values.iter().map(|(_, weight)| weight).sum();
        let most = MAX_DEVIATIONS * MAX_DEVIATIONS;
        let squares = values.iter();
        let scatter: f64 = squares
            .map(|(value, weight)| (weight * (value - self.speed).powi(2)).min(most))
            .sum();
        let disagreement = scatter / (values.len() as f64 - 1.0).max(1.0);
        self.variance = MEDIAN_VARIANCE / weight * disagreement.max(1.0);
    }

    /// Returns how a speed, in relation to the usual one, sets it apart.
    pub fn classify(&self, speed: f64) -> SpeedClass {
        let least = CLASS_SPAN.max(CLASS_DEVIATIONS * self.variance.sqrt());
        if !self.is_known() || speed.abs() < least {
            return SpeedClass::Usual;
        }
        match speed < 0.0 {
            true => SpeedClass::Slow,
            false => SpeedClass::Fast,
        }
    }

    /// Returns its speed in relation to the usual one if it is set apart, 0 otherwise: what is not sure of one machine must
    /// not colour what is learned of others.
    pub fn sure_speed(&self, usual: f64) -> f64 {
        match self.class {
            SpeedClass::Usual => 0.0,
            SpeedClass::Fast | SpeedClass::Slow => self.speed - usual,
        }
    }

    /// Returns a machine of which a predecessor knew a speed, or nothing is known.
    pub fn new(id: String, inherited: Option<f64>) -> Machine {
        let mut machine = Machine {
            id,
            inherited,
            ..Machine::default()
        };
        machine.update_speed();
        machine
    }

    /// Forgets what was known.
    pub fn forget(&mut self) {
        self.observations.clear();
        self.inherited = None;
        self.update_speed();
    }

    /// Returns whether enough is known to set it apart.
    pub fn is_known(&self) -> bool {
        self.observations.len() >= MIN_OBSERVATIONS || self.inherited.is_some()
    }

    /// Takes in an observation; a newer one of the same task takes the place of the older.
    pub fn record(&mut self, observation: Observation) {
        let is_full = self.observations.len() >= MAX_OBSERVATIONS;
        let mut observations = self.observations.iter_mut();
        match observations.find(|o| o.task == observation.task) {
            Some(before) => *before = observation,
            None if !is_full => self.observations.push(observation),
            None => {
                let oldest = self.observations.iter_mut().min_by_key(|o| o.at_ms);
                match oldest.filter(|oldest| oldest.at_ms < observation.at_ms) {
                    Some(oldest) => *oldest = observation,
                    None => return,
                }
            }
        }
        self.update_speed();
    }

    /// Returns when its newest observation was made; none if there is none.
    pub fn newest_ms(&self) -> Option<u64> {
        self.observations.iter().map(|o| o.at_ms).max()
    }

    /// Returns whether it is slow, but perhaps only for a moment.
    pub fn may_pass(&self) -> bool {
        self.class == SpeedClass::Slow
            && self
                .newest_ms()
                .is_some_and(|newest_ms| newest_ms < self.since_ms + LASTING_MS)
    }

    /// Returns whether it is slow but may have been so for a moment that has passed.
    pub fn may_have_recovered(&self, now_ms: u64) -> bool {
        let newest_ms = self.newest_ms();
        self.may_pass() && newest_ms.is_some_and(|newest_ms| newest_ms + LASTING_MS < now_ms)
    }
}

/// Returns the median; of an even number of values, the mean of the two in the middle.
pub(crate) fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() % 2 {
        1 => values.get(middle).copied(),
        _ => Some((values.get(middle.checked_sub(1)?)? + values.get(middle)?) / 2.0),
    }
}

/// Returns the median of values with weights; between two halves, their mean.
pub(crate) fn weighted_median(values: &mut [(f64, f64)]) -> f64 {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut below = 0.0;
    for (index, (value, weight)) in values.iter().enumerate() {
        below += weight;
        let is_between = (below - half).abs() <= half * EQUAL_WEIGHTS;
        match values.get(index + 1) {
            Some((next, _)) if is_between => return (value + next) / 2.0,
            _ if below >= half => return *value,
            _ => {}
        }
    }
    0.0
}
