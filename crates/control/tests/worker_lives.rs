//! A task runs at one worker at a time while workers restart, leave and are cut off, and while the store names them
//! wrongly.
//!
//! Guards against a task that runs twice because the end of a worker's incarnation is read from the list of workers, a
//! call that is turned away, or a connection that does not open.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use support::Site;
use support::silent_link::SilentLink;

/// Long enough that a task still runs while something is done to the site.
const LONG_RUN: Duration = Duration::from_secs(3_600);

/// Duration of tasks that are to end now.
const SHORT_RUN: Duration = Duration::from_millis(30);

/// How long a worker without power is away.
const AWAY: Duration = Duration::from_millis(300);

/// Time in which calls that are due are made, so that only a waiting lease renewal is open.
const SETTLE: Duration = Duration::from_millis(500);

/// Time between two entries of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How long a stop takes; the platform allows 400 ms.
const STOP_TAKES: Duration = Duration::from_millis(300);

/// How long the planner takes at most to act on an entry, which it reads every 0.8 s.
const ENTRY_READ: Duration = Duration::from_millis(2_000);

async fn pause(time: Duration) {
    tokio::time::sleep(time).await;
}

/// A site whose workers are behind links; only the first one gets work before `open_others`.
struct LinkedSite {
    site: Site,
    links: Vec<SilentLink>,
}

impl LinkedSite {
    async fn start(workers: usize) -> LinkedSite {
        let site = Site::start_without_nodes(workers, LONG_RUN).await;
        let mut links = Vec::new();
        for worker in &site.workers {
            worker.set_stop_takes(STOP_TAKES);
            links.push(SilentLink::open(worker.address()).await);
        }
        let mut linked = LinkedSite { site, links };
        linked.write(0, linked.entry(0));
        for other in 1..workers {
            let mut entry = linked.entry(other);
            entry["state"] = json!("draining");
            linked.write(other, entry);
        }
        linked.site.add_node().await;
        linked
    }

    /// Returns the entry that a worker writes.
    fn entry(&self, index: usize) -> Value {
        self.site.workers[index].entry_at(self.links[index].address)
    }

    fn write(&self, index: usize, entry: Value) {
        let key = self.site.workers[index].key();
        self.site.store.write(&key, &entry.to_string());
    }

    fn open_others(&self) {
        for other in 1..self.links.len() {
            self.write(other, self.entry(other));
        }
    }

    /// Submits a job of `count` tasks, and waits until they run at the first worker.
    async fn run_at_first(&self, id: u64, count: u32) {
        assert_eq!(self.site.submit(0, id, count).await, 200);
        self.site
            .wait("the tasks run at the first worker", async |_| {
                (0..count).all(|task| self.workers_of(id, task) == ["i-0"])
            })
            .await;
    }

    fn workers_of(&self, id: u64, task: u32) -> Vec<String> {
        self.site.audit.workers_of(&format!("{id:016x}.0.0.{task}"))
    }

    /// Lets all tasks end, and waits until these jobs are completed.
    async fn finish(&self, ids: &[u64]) {
        for worker in &self.site.workers {
            worker.set_run_for(SHORT_RUN);
        }
        for id in ids {
            self.site
                .wait("the job is completed", async |site| {
                    site.state(0, *id).await == "completed"
                })
                .await;
        }
    }
}

/// Lets the first worker lose power, and waits until it is back.
async fn restart_first(linked: &mut LinkedSite) {
    linked.site.workers[0].lose_power(AWAY);
    linked.links[0].lose_power().await;
    pause(AWAY).await;
    linked.links[0].heal();
}

/// Starts that are sent after a silent restart reach the next incarnation, which has the same id.
#[rstest]
#[case::seen_in_its_entry(true)]
#[case::seen_in_its_answer(false)]
#[tokio::test(flavor = "multi_thread")]
async fn silent_restart_of_worker_that_takes_starts_runs_nothing_twice(#[case] in_entry: bool) {
    let mut linked = LinkedSite::start(6).await;
    linked.run_at_first(1, 1).await;
    pause(SETTLE).await;
    restart_first(&mut linked).await;
    assert_eq!(linked.site.submit(0, 2, 4).await, 200);
    // On a busy machine the planner may learn of the restart first.
    let taken = linked
        .site
        .wait("the next incarnation takes starts", async |_| {
            (0..4).any(|task| linked.workers_of(2, task) == ["i-0"])
        });
    let _ = tokio::time::timeout(ENTRY_READ, taken).await;
    linked.open_others();
    if in_entry {
        linked.write(0, linked.entry(0));
    }
    pause(3 * ENTRY_READ).await;
    assert_eq!(linked.site.audit.violations(), Vec::<String>::new());
    linked.write(0, linked.entry(0));
    linked.finish(&[1, 2]).await;
    assert_eq!(linked.site.audit.violations(), Vec::<String>::new());
}

/// The numbers of ends start anew: a confirmation of the earlier incarnation's ends covers ends that nobody has seen.
#[tokio::test(flavor = "multi_thread")]
async fn ends_of_next_incarnation_are_not_confirmed_unseen() {
    let mut linked = LinkedSite::start(1).await;
    linked.run_at_first(1, 3).await;
    linked.finish(&[1]).await;
    pause(SETTLE).await;
    restart_first(&mut linked).await;
    assert_eq!(linked.site.submit(0, 2, 3).await, 200);
    // A renewal of before the restart is given up first.
    pause(2 * ENTRY_READ).await;
    linked.write(0, linked.entry(0));
    linked.finish(&[2]).await;
    assert_eq!(linked.site.audit.violations(), Vec::<String>::new());
    assert_eq!(linked.site.audit.counts(), (6, 6), "tasks and starts");
}

/// A worker that drains is no longer listed and opens no connection, but runs on behind a cut.
#[rstest]
#[case::until_it_is_back(true)]
#[case::until_its_lease_has_ended(false)]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_and_cut_off_worker_keeps_its_tasks_while_its_lease_lasts(#[case] back: bool) {
    let mut linked = LinkedSite::start(2).await;
    linked.run_at_first(1, 2).await;
    linked.open_others();
    linked.site.workers[0].drain(Duration::from_secs(60));
    linked.write(0, linked.entry(0));
    pause(ENTRY_READ).await;
    linked.links[0].cut().await;
    pause(HEARTBEAT).await;
    linked.site.store.remove(&linked.site.workers[0].key());
    if !back {
        linked
            .site
            .wait("the tasks run at the second worker", async |_| {
                (0..2).all(|task| linked.workers_of(1, task).contains(&"i-1".to_string()))
            })
            .await;
        assert_eq!(linked.site.audit.violations(), Vec::<String>::new());
        return;
    }
    pause(2 * ENTRY_READ).await;
    linked.links[0].heal();
    linked.write(0, linked.entry(0));
    pause(ENTRY_READ).await;
    assert_eq!(linked.site.audit.violations(), Vec::<String>::new());
    linked.finish(&[1]).await;
    assert_eq!(linked.site.audit.violations(), Vec::<String>::new());
    assert_eq!(linked.site.audit.counts(), (2, 2));
}

/// How an entry of another writer names a worker.
#[derive(Debug, Clone, Copy)]
enum OddEntry {
    WithoutBorn,
    Born(&'static str),
    AddressOfAnother,
    AddressOfNobody,
    AnotherId,
}

/// Returns an address at which nothing listens.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Guards against TWICE: an entry of another writer is taken for the end of a worker, and what it runs starts elsewhere.
#[rstest]
#[case::without_born(OddEntry::WithoutBorn)]
#[case::born_later(OddEntry::Born("2"))]
#[case::largest_born(OddEntry::Born("18446744073709551615"))]
#[case::born_too_large(OddEntry::Born("18446744073709551616"))]
#[case::address_of_another_worker(OddEntry::AddressOfAnother)]
#[case::address_of_nobody(OddEntry::AddressOfNobody)]
#[case::another_id_at_its_address(OddEntry::AnotherId)]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entry_of_worker_starts_its_tasks_nowhere_else(#[case] odd: OddEntry) {
    let linked = LinkedSite::start(2).await;
    linked.run_at_first(1, 2).await;
    linked.open_others();
    pause(ENTRY_READ).await;
    let mut entry = linked.entry(0);
    let mut key = linked.site.workers[0].key();
    let mut text = entry.to_string();
    match odd {
        OddEntry::WithoutBorn => {
            entry.as_object_mut().unwrap().remove("born");
            text = entry.to_string();
        }
        OddEntry::Born(born) => text = text.replace(r#""born":1"#, &format!(r#""born":{born}"#)),
        OddEntry::AddressOfAnother => {
            entry["address"] = json!(linked.links[1].address.to_string());
            text = entry.to_string();
        }
        OddEntry::AddressOfNobody => {
            entry["address"] = json!(free_address().to_string());
            text = entry.to_string();
        }
        OddEntry::AnotherId => {
            entry["born"] = json!(2);
            text = entry.to_string();
            key = "servers/i-other".to_string();
        }
    }
    assert_ne!(text, linked.entry(0).to_string(), "the entry is odd");
    linked.site.store.write(&key, &text);
    pause(HEARTBEAT + ENTRY_READ).await;
    linked.site.store.remove("servers/i-other");
    linked.write(0, linked.entry(0));
    pause(2 * ENTRY_READ).await;
    assert_eq!(linked.site.audit.violations(), Vec::<String>::new());
    linked.finish(&[1]).await;
    assert_eq!(linked.site.audit.violations(), Vec::<String>::new());
    assert_eq!(linked.site.audit.counts(), (2, 2), "tasks and starts");
}
