//! Types at the scheduler's interface: its settings, the events that it handles, the actions that it returns, and ids.
//!
//! All times are durations since the origin of one monotonic clock. This module makes no decisions.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies a client's request; not reused during a scheduler's lifetime.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Identifies a storage node. A restarted process keeps its id; a replacement machine gets another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u32);

/// Identifies a volume, the same at all initiators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VolumeId(pub u64);

/// The configuration of a scheduler.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of initiators that use these nodes, this one included.
    pub initiators: u32,
    /// Minimum time between two calls of the scheduler.
    pub tick: Duration,
    /// The node list has to be requested; otherwise its changes are pushed.
    pub list_on_request: bool,
    /// The request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// The plans of volumes; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// Size and worth of units.
    pub units: Units,
    /// Parameters of the rules that the scheduler keeps.
    pub rules: Rules,
    /// Limits set by the deployment.
    pub limits: Limits,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// It may be repeated at any node.
    Safe,
    /// It may be repeated within [`Class::dedup_window`], at nodes that drop each other's repeats.
    Keyed(DedupScope),
    /// It must not be repeated once it may have run.
    Unsafe,
}

impl Effect {
    /// Whether a request may be refused, which lets its client retry it, given whether it may have run.
    pub fn allows_refusal(self, may_have_run: bool) -> bool {
        match self {
            Effect::Safe | Effect::Keyed(DedupScope::All) => true,
            Effect::Keyed(_) | Effect::Unsafe => !may_have_run,
        }
    }
}

/// The set of nodes that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes that store one shard.
    Shard,
}

/// A class of requests, with its targets and its worth.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub latency_target: Duration,
    /// The longest time a client waits, over all its tries.
    pub deadline: Duration,
    /// Worth of a mean request that is answered within the latency target.
    pub worth: f64,
    /// Share of the worth that a later answer keeps.
    pub late_worth: f64,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// How long nodes drop repeats of a keyed request, from its first attempt on.
    pub dedup_window: Duration,
    /// Requests with the same key run one after another.
    pub in_order: bool,
}

/// A service plan of volumes; its figures are per volume, over all initiators and nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Units a second that count at full worth.
    pub reserve: f64,
    /// The rate limit, if the plan has one.
    pub limit: Option<Limit>,
    /// Weight in the weighted fair share of the capacity beyond all reserves.
    pub weight: f64,
    /// Factor on the worth of a request's class.
    pub worth_factor: f64,
}

/// A token bucket that limits what all initiators together send for a volume.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be sent at once: the bucket's capacity.
    pub burst: f64,
    /// Units by which the bucket may be overdrawn.
    pub overdraft: f64,
}

/// Size and worth of units, in which the work of requests is counted.
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
    /// Units from all initiators that a node in slow start takes in any case within [`Rules::overload_window`].
    pub slow_start_units: f64,
    /// Period over which answers report a volume's usage; 0: not reported.
    pub usage_period: Duration,
    /// Units a second that a volume is sized for, by plan: the unit of reported usage.
    pub base_rates: Vec<f64>,
}

/// Parameters of the rules that the scheduler keeps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// How long after a deadline a final answer is still accepted.
    pub answer_grace: Duration,
    /// Sends to a draining node must end this long after its drain was announced.
    pub drain_grace: Duration,
    /// Share of its full capacity that a node has at the begin of its slow start.
    pub slow_start_min_share: f64,
    /// Time from a node's start until it has its full capacity.
    pub slow_start_time: Duration,
    /// A node in slow start fails when it is sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this time.
    pub overload_window: Duration,
    /// How long a key's next request waits after an attempt that may still be running.
    pub key_settle_time: Duration,
    /// The retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// Limits retries, that is attempts after a request's first, per initiator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// Retries that are always allowed within a window.
    pub min_retries: f64,
    /// Further retries for each request accepted within the window.
    pub retry_ratio: f64,
    /// The sliding window over which both are counted.
    pub window: Duration,
}

/// Limits set by the deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Duration,
    /// The longest retry-after time that may be sent to a client; 0: none is sent.
    pub max_retry_after: Duration,
    /// Attempts in flight may be cancelled.
    pub allow_cancel: bool,
    /// Maximum number of queued requests, if limited.
    pub max_queued: Option<usize>,
}

/// State of a node in the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes its requests and is to get no more.
    Draining,
    /// It was removed from the list.
    Gone,
}

/// One entry of the node list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// The shard that it stores.
    pub shard: u32,
    /// The zone that it is in.
    pub zone: u32,
    /// When its process started; `None`: before its slow start would matter.
    pub started: Option<Duration>,
    /// Its state.
    pub state: NodeState,
    /// It gets no new objects, only requests for its shard.
    pub no_new_objects: bool,
}

/// What a node-list message contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListKind {
    /// The whole list as this initiator last received it.
    Cached,
    /// The whole list.
    Full,
    /// Only the changed entries.
    Delta,
    /// A request for the list failed or a subscription ended; the previous list stays in use.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// Its volume's plan, as an index into the settings.
    pub plan: usize,
    /// Its volume.
    pub volume: VolumeId,
    /// Identifies the object that it reads or writes; 0: none.
    pub key: u64,
    /// When its client stops waiting.
    pub deadline: Duration,
    /// Its size in units.
    pub units: f64,
    /// The shard that stores its object; `None`: a new object, which any node may take.
    pub shard: Option<u32>,
    /// Number of initiators that the volume's requests arrive through.
    pub volume_initiators: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The node served it.
    Served,
    /// The node answered with an error; the request may have run.
    Error,
    /// The node had no capacity and rejected it unprocessed.
    Rejected,
    /// There was no answer in time; it may have run or still be running.
    TimedOut,
    /// There was no connection; it did not run.
    NotConnected,
    /// The connection broke; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was not sent, because the request had ended before.
    NotSent,
    /// An unknown result code; it may have run.
    Unknown,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, counted from 0.
    pub attempt: u32,
    /// The node it went to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer.
    pub finished: bool,
    /// Time from the send to this outcome.
    pub latency: Duration,
    /// The volume's usage over all initiators in a past period, as a multiple of its plan's base rate.
    pub volume_usage: Option<f64>,
    /// Units that the shard served for the volume through other initiators since its last answer to this one.
    pub served_elsewhere: f64,
}

/// What the scheduler is notified of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A node-list message.
    List {
        /// What the message contains.
        kind: ListKind,
        /// Its entries.
        entries: Vec<NodeEntry>,
    },
    /// A client's request arrived.
    Request(NewRequest),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A streamed answer has begun; the attempt stays bound to the client from here on.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// The client is gone; the request needs no answer.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// This initiator's shares of limits, where planners assign others than equal ones.
    Shares {
        /// Shares of volumes' limits; `None`: the equal share again.
        limits: Vec<(VolumeId, Option<f64>)>,
        /// Shares of what nodes in slow start may be sent; `None`: the equal share again.
        slow_start: Vec<(NodeId, Option<f64>)>,
    },
    /// The event loop was delayed: events may have been waiting here for up to this time. Holds until the next such
    /// event.
    LoopDelayed {
        /// Upper bound of the delay.
        by: Duration,
    },
    /// A requested wake-up.
    Wake,
}

/// What the initiator is to do, in the order given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The node to send it to.
        node: NodeId,
        /// When the attempt times out.
        give_up_at: Duration,
        /// The request must be written completely by then, or not at all: a later start would break a rule.
        begin_by: Duration,
    },
    /// Final answer: refused; the client may safely retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; 0: not stated.
        retry_after: Duration,
    },
    /// Final answer: failed; the request may or may not have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Call the scheduler again at this time.
    WakeAt(Duration),
    /// Request the node list and its changes from now on.
    Subscribe,
}
