//! Lists the groups that are ready to start in their turns, and logs which of them go behind later ones of another
//! organisation.

use std::collections::{HashMap, HashSet};

use crate::group::{GroupKey, JobKey, Phase};
use crate::overdue::Reach;
use crate::planner::Planner;
use crate::policy::shares::{AccountKey, Claim, Room, Turn, YieldReason};
use crate::spec::Resources;

/// How long before its due time an occurrence may start; the platform tolerates 250 ms.
const EARLY_START_MS: u64 = 0;

/// What has waited for this long found no room in an earlier pass: the time of two passes, of which there is one every
/// 50 ms at least.
const LEFT_WAITING_MS: u64 = 100;

/// The most groups logged in one pass as passed over; the others follow in the next ones.
const MAX_LINES_PER_PASS: usize = 8;

/// The last group, in the order of acceptance, of an organisation that got room in a pass.
#[derive(Debug, Clone, Copy)]
struct LastPlaced<'t> {
    account: AccountKey,
    priority: u32,
    turn: &'t Turn,
}

impl Planner {
    /// Returns the groups with tasks that are ready to start, in their turns.
    pub(crate) fn list_turns(&mut self, now_ms: u64, unix_ms: u64) -> Vec<Turn> {
        let ready = self.list_ready_groups(now_ms, unix_ms);
        let accounts = ready.iter().map(|group| self.jobs[group.job].account);
        let shared = self.policy.shares.find_shared_services(accounts);
        let rooms: HashMap<String, Room> = shared
            .into_iter()
            .map(|service| {
                let room = self.find_room(&service, now_ms);
                (service, room)
            })
            .collect();
        let urgent_needs = match rooms.is_empty() {
            true => HashMap::new(),
            false => self.sum_urgent_needs(),
        };
        let claims = ready
            .into_iter()
            .map(|group| self.claim(group, &urgent_needs, now_ms))
            .collect();
        self.policy
            .shares
            .order_claims(claims, &rooms, &self.guaranteed, now_ms)
    }

    /// Returns the groups with tasks that are ready to start and for which no room is reserved.
    fn list_ready_groups(&mut self, now_ms: u64, unix_ms: u64) -> Vec<GroupKey> {
        let mut ready = Vec::new();
        let mut urgent = Vec::new();
        self.build_backlog(now_ms, unix_ms + EARLY_START_MS);
        let jobs: Vec<JobKey> = self.jobs.keys().collect();
        for key in jobs {
            let job = &mut self.jobs[key];
            if job.state.is_final() {
                continue;
            }
            for group in 0..job.groups.len() {
                let due = unix_ms + EARLY_START_MS
                    >= job
                        .stored
                        .request
                        .timing
                        .due_unix_ms(job.groups[group].occurrence);
                let waits = job.groups[group]
                    .tasks
                    .iter()
                    .any(|t| t.phase == Phase::Waiting);
                if !waits
                    || job.groups[group].teardown_since_ms.is_some()
                    || !due
                    || !job.is_unblocked(group)
                {
                    continue;
                }
                let group_key = GroupKey {
                    job: key,
                    group: group as u32,
                };
                let first = job.groups[group].ready_ms.is_none();
                job.groups[group].ready_ms.get_or_insert(now_ms);
                if first && job.stored.priority == 0 {
                    urgent.push(group_key);
                }
                if job.groups[group].reservation.is_none() {
                    ready.push(group_key);
                }
            }
        }
        for group in urgent {
            self.record_urgent_arrival(group, now_ms);
        }
        ready
    }

    /// Returns the room of a service that several organisations wait for.
    fn find_room(&self, service: &str, now_ms: u64) -> Room {
        let free = self
            .workers
            .values()
            .filter(|w| w.entry.service == service && self.is_usable(w, now_ms))
            .fold(Resources::default(), |sum, w| sum + w.free());
        let mut headroom = Resources::default();
        if let Some((size, group_count)) = self.predict_urgent(now_ms)
            && size.service == service
        {
            let expected = size.count.saturating_mul(group_count);
            let tasks = expected.min(self.max_headroom_tasks(&size)) as i64;
            headroom = size.need.times(tasks);
        }
        Room {
            capacity: self.service_capacity(service),
            free,
            headroom,
        }
    }

    /// Returns the claim of a group that is ready to start. Times count only where several organisations wait.
    fn claim(&self, key: GroupKey, urgent_needs: &HashMap<&str, i64>, now_ms: u64) -> Claim {
        let job = &self.jobs[key.job];
        let group = &job.groups[key.group as usize];
        let step = job.step_of(key.group as usize);
        let can_start = group
            .tasks
            .iter()
            .filter(|task| task.phase == Phase::Waiting && task.not_before_ms <= now_ms);
        let organisation = job.stored.organisation.as_str();
        let guaranteed = self.guaranteed.get(organisation).copied().unwrap_or(0);
        let is_guaranteed = job.stored.priority == 0
            && urgent_needs
                .get(organisation)
                .is_some_and(|needed| *needed <= guaranteed);
        let (slack_ms, worthwhile_ms) = match step.lasting {
            true => (0, None),
            false => (
                job.slack_ms(self.expected_run_ms(key)),
                Some(self.worthwhile_wait_ms(key)),
            ),
        };
        let need = job
            .need_of(key.group as usize)
            .times(can_start.count() as i64);
        let waited_ms = group.waited_ms(now_ms);
        Claim {
            group: key,
            priority: job.stored.priority,
            order: job.order,
            account: job.account,
            need,
            is_guaranteed,
            is_left_waiting: waited_ms >= LEFT_WAITING_MS
                && need != Resources::default()
                && self.is_unrestricted(key, Reach::Usual, now_ms),
            waited_ms,
            ready_for_ms: now_ms.saturating_sub(group.ready_ms.unwrap_or(now_ms)),
            slack_ms,
            worthwhile_ms,
        }
    }

    /// Logs and counts each group, once, that got no room while a group of another organisation that was accepted later
    /// and had its turn before got some.
    pub(crate) fn report_passed_over(&mut self, turns: &[Turn]) {
        let by_shares = || turns.iter().filter(|turn| turn.is_by_shares());
        if by_shares().next().is_none() {
            return;
        }
        let placed: HashSet<GroupKey> = self.pending_starts.iter().map(|task| task.group).collect();
        let mut last: Vec<LastPlaced> = Vec::new();
        let mut passed = Vec::new();
        for turn in by_shares() {
            let claim = &turn.claim;
            let group = &self.jobs[claim.group.job].groups[claim.group.group as usize];
            if placed.contains(&claim.group) || group.reservation.is_some() {
                let known = last
                    .iter_mut()
                    .find(|l| l.account == claim.account && l.priority == claim.priority);
                match known {
                    Some(known) if known.turn.claim.order < claim.order => known.turn = turn,
                    Some(_) => {}
                    None => last.push(LastPlaced {
                        account: claim.account,
                        priority: claim.priority,
                        turn,
                    }),
                }
                continue;
            }
            if group.is_passed_over || passed.len() >= MAX_LINES_PER_PASS {
                continue;
            }
            let shares = &self.policy.shares;
            let before = last.iter().find(|l| {
                l.priority == claim.priority
                    && l.account != claim.account
                    && l.turn.claim.order > claim.order
                    && shares.share_service(l.account, claim.account)
            });
            passed.extend(before.map(|before| (*turn, *before.turn)));
        }
        for (turn, before) in passed {
            self.record_passed_over(&turn, &before);
        }
    }

    fn record_passed_over(&mut self, turn: &Turn, before: &Turn) {
        let reason = turn.yield_reason(before);
        *match reason {
            YieldReason::Guarantee => &mut self.counts.passed_over_guarantee,
            YieldReason::Aged => &mut self.counts.passed_over_aged,
            YieldReason::Share => &mut self.counts.passed_over_share,
            YieldReason::Slack => &mut self.counts.passed_over_slack,
            YieldReason::Worthless => &mut self.counts.passed_over_worthless,
        } += 1;
        let key = turn.claim.group;
        let first = &self.jobs[before.claim.group.job].stored;
        let job = &self.jobs[key.job];
        let id = job.stored.id;
        let shares = &self.policy.shares;
        let why = format!(
            "{reason:?}: job {} of {} goes before, by {:?}; this one is ready for {} ms, by {:?}, slack {} ms; {} is {}% above its entitlement, the other {}%",
            first.id,
            first.organisation,
            before.reason,
            turn.claim.ready_for_ms,
            turn.reason,
            turn.claim.slack_ms,
            job.stored.organisation,
            shares.above_percent(turn.claim.account),
            shares.above_percent(before.claim.account),
        );
        self.jobs[key.job].groups[key.group as usize].is_passed_over = true;
        self.record_decision(Some(id), "passed over", why);
    }
}
