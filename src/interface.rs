//! What goes into the scheduler and what comes out of it: settings, events, actions and ids.
//!
//! Times are what has passed since the origin of one clock that only moves forward. No type here decides anything.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One request of a client; never used twice while a scheduler lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// One storage node. A machine that replaces it has another id, a restarted process the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u32);

/// One volume, over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VolumeId(pub u64);

/// Everything a scheduler is told at its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// How many hosts work on these nodes, this one included.
    pub initiators: u32,
    /// Shortest time between two calls of the scheduler.
    pub tick: Duration,
    /// The node list has to be asked for; otherwise its changes come by themselves.
    pub list_on_request: bool,
    /// The request classes; requests name them by position.
    pub classes: Vec<Class>,
    /// The plans of volumes; requests name them by position.
    pub plans: Vec<Plan>,
    /// How units count.
    pub units: Units,
    /// The figures of the rules.
    pub rules: Rules,
    /// What the deployment permits.
    pub limits: Limits,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// It may.
    Safe,
    /// Nodes of one group drop its repeats for a while.
    Keyed(DedupScope),
    /// It may not.
    Unsafe,
}

impl Effect {
    /// Whether a request may be refused, so that its client asks again, where it may or may not have run.
    pub fn allows_refusal(self, may_have_run: bool) -> bool {
        match self {
            Effect::Safe | Effect::Keyed(DedupScope::All) => true,
            Effect::Keyed(_) | Effect::Unsafe => !may_have_run,
        }
    }
}

/// The nodes that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes that hold one shard.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub latency_target: Duration,
    /// The longest a client waits, over all its tries.
    pub deadline: Duration,
    /// Worth of a mean request answered within the aim.
    pub worth: f64,
    /// Part of the worth that a later answer keeps.
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// How long repeats of a keyed request are dropped.
    pub dedup_window: Duration,
    /// Requests with one key run in turn.
    pub in_order: bool,
}

/// A plan that volumes stand on; figures are per volume over all hosts and nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Units a second at full worth.
    pub reserve: f64,
    /// The limit, where the plan has one.
    pub limit: Option<Limit>,
    /// Weight in the sharing of what the reserves leave.
    pub weight: f64,
    /// Factor on the class worth.
    pub worth_factor: f64,
}

/// A limit on what all hosts send for a volume.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be sent at once.
    pub burst: f64,
    /// Units by which the store may be overdrawn.
    pub overdraft: f64,
}

/// How the units of requests count.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Units {
    /// Units of a mean request.
    pub mean: f64,
    /// Units of the largest request.
    pub largest: f64,
    /// Worth of units beyond the reserve and within the share.
    pub share_worth: f64,
    /// Worth of units beyond both.
    pub spare_worth: f64,
    /// Units that a cold node bears from all hosts within [`Rules::overload_window`].
    pub slow_start_units: f64,
    /// Period of the use that answers report; 0: none is reported.
    pub usage_period: Duration,
    /// Units a second that a volume is sized for, by plan: the unit of reported use.
    pub base_rates: Vec<f64>,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// How long after a deadline a final answer still counts.
    pub answer_grace: Duration,
    /// Sends to a draining node must end this long after its drain was told.
    pub drain_grace: Duration,
    /// Part of its capacity that a cold node has at least.
    pub slow_start_min_share: f64,
    /// A cold node is warm after this time at the latest.
    pub slow_start_time: Duration,
    /// A cold node falls when sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Duration,
    /// Rest of a key after an attempt that may still run.
    pub key_settle_time: Duration,
    /// Budget of further attempts, where one is stated.
    pub retry_budget: Option<RetryBudget>,
}

/// Budget of attempts beyond each request's first, per host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// Attempts allowed in any case.
    pub min_retries: f64,
    /// Attempts allowed per request taken.
    pub retry_ratio: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Attempts per request.
    pub max_attempts: u32,
    /// A connection not made within this time has failed.
    pub connect_timeout: Duration,
    /// The longest wait that a client can be asked for; 0: none.
    pub max_retry_after: Duration,
    /// Attempts may be withdrawn.
    pub allow_cancel: bool,
    /// Requests that may wait here at a time, where that is limited.
    pub max_queued: Option<usize>,
}

/// State of a node in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work and is to get no more.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the node list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// The shard it holds.
    pub shard: u32,
    /// The zone it is in.
    pub zone: u32,
    /// When its process started; none: long ago.
    pub started: Option<Duration>,
    /// Its state.
    pub state: NodeState,
    /// It gets no new objects, only what its shard holds.
    pub no_new_objects: bool,
}

/// What a message of the node list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListKind {
    /// The whole list as it was when this host last had it.
    Cached,
    /// The whole list.
    Full,
    /// Changed lines only.
    Delta,
    /// A call failed or a subscription broke; the old list stands.
    Failed,
}

/// A request as it is taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its volume's plan, by position in the settings.
    pub plan: usize,
    /// Its volume.
    pub volume: VolumeId,
    /// The piece of data; 0: none.
    pub key: u64,
    /// When its client stops waiting.
    pub deadline: Duration,
    /// Its size.
    pub units: f64,
    /// The shard that holds its data; `None`: a new object, which any node may take.
    pub shard: Option<u32>,
    /// How many hosts the volume's requests come through.
    pub volume_initiators: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node gave an error; the request may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it did not run.
    NotConnected,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// A code that is not known here; it may have run.
    Unknown,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The node it went to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request is finished.
    pub finished: bool,
    /// Time from the send to this outcome.
    pub latency: Duration,
    /// Use of the volume over all hosts in a past period, as a multiple of its rate.
    pub volume_usage: Option<f64>,
    /// Units this shard served for the volume through other hosts since its last answer.
    pub served_elsewhere: f64,
}

/// What a host sees.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// News of the node list.
    List {
        /// What the message holds.
        kind: ListKind,
        /// Its lines.
        entries: Vec<NodeEntry>,
    },
    /// A client's request.
    Request(NewRequest),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A streamed answer has begun; the attempt is the client's from here on.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// The client no longer waits; the request is finished.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// What this host may use of what hosts share, where that is not the even part.
    Shares {
        /// Parts of volumes' limits; none: the even part again.
        limits: Vec<(VolumeId, Option<f64>)>,
        /// Parts of what cold nodes bear, likewise.
        slow_start: Vec<(NodeId, Option<f64>)>,
    },
    /// This host was kept from its work: for so long at most, what it learns now has waited here. Stands until the
    /// next.
    LoopDelayed {
        /// For how long.
        by: Duration,
    },
    /// A wake-up that was asked for.
    Wake,
}

/// What a host is to do, in the order given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        node: NodeId,
        /// When the attempt is given up.
        give_up_at: Duration,
        /// Its last byte goes out by then, or none does: the rules allow no later beginning.
        begin_by: Duration,
    },
    /// Final answer: no, and trying again does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0: not said.
        retry_after: Duration,
    },
    /// Final answer: failed, with no promise as to its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Withdraw an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Call again at this time.
    WakeAt(Duration),
    /// Ask for the node list's changes from now on.
    Subscribe,
}
