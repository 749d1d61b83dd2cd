//! The size that operators expect within two years, and what control may cost at it, in their words.

/// "460 initiators".
pub const INITIATORS: f64 = 460.0;
/// "before 730 databases": storage nodes.
pub const NODES: f64 = 730.0;
/// "2.6 million client connections".
pub const CONNECTIONS: f64 = 2_600_000.0;
/// "640,000 statements a second": requests.
pub const REQUESTS_PER_SECOND: f64 = 640_000.0;
/// "3 regions with 10 zones".
pub const REGIONS: f64 = 3.0;
/// Likewise.
pub const ZONES: f64 = 10.0;
/// "550 changes of configuration a day".
pub const CHANGES_PER_DAY: f64 = 550.0;
/// "in force everywhere within 9 s".
pub const CHANGE_IN_FORCE_S: f64 = 9.0;
/// "2 changes of primary a day, each over within 12 s".
pub const PRIMARY_CHANGE_S: f64 = 12.0;
/// "an initiator spends at most 3.2% of a core" for control.
pub const CONTROL_CORES: f64 = 0.032;
/// "256 MB".
pub const CONTROL_MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0;
/// "and 2 KB a second".
pub const CONTROL_BYTES_PER_SECOND: f64 = 2.0 * 1024.0;
/// "3 machines are set aside for it": planners.
pub const PLANNERS: usize = 3;
/// "300 are restarted or replaced" on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 300.0;

/// Volumes of the whole fleet. The operators name none; docs/planners.md counts on as many.
pub const VOLUMES: f64 = 10_000.0;
/// Initiators that the requests of one volume come through, likewise assumed.
pub const INITIATORS_PER_VOLUME: f64 = 3.0;
/// Keys of a configuration document: assumed, since the operators count changes only.
pub const CONFIGURATION_KEYS: f64 = 100.0;

/// "several times that to the busiest": the busiest initiator's requests over the mean; assumed, since no figure is said.
pub const BUSIEST_OVER_MEAN: f64 = 4.0;
/// What requests may take of a core at the mean rate: an initiator decides in one thread, and the busiest must not fill it.
pub const REQUEST_CORES: f64 = 1.0 / BUSIEST_OVER_MEAN;

/// In seconds.
pub const DAY_S: f64 = 86_400.0;

/// Requests a second to an initiator, on the mean.
pub const REQUESTS_PER_INITIATOR: f64 = REQUESTS_PER_SECOND / INITIATORS;
/// Client connections of an initiator, on the mean.
pub const CONNECTIONS_PER_INITIATOR: f64 = CONNECTIONS / INITIATORS;
/// Volumes whose requests an initiator takes.
pub const VOLUMES_PER_INITIATOR: f64 = VOLUMES * INITIATORS_PER_VOLUME / INITIATORS;

/// All of the size by name, for the report.
pub const SIZE: [(&str, f64); 17] = [
    ("initiators", INITIATORS),
    ("nodes", NODES),
    ("connections", CONNECTIONS),
    ("requests_per_second", REQUESTS_PER_SECOND),
    ("regions", REGIONS),
    ("zones", ZONES),
    ("changes_per_day", CHANGES_PER_DAY),
    ("change_in_force_s", CHANGE_IN_FORCE_S),
    ("primary_change_s", PRIMARY_CHANGE_S),
    ("control_cores", CONTROL_CORES),
    ("control_memory_bytes", CONTROL_MEMORY_BYTES),
    ("control_bytes_per_second", CONTROL_BYTES_PER_SECOND),
    ("planners", PLANNERS as f64),
    ("restarts_per_day", RESTARTS_PER_DAY),
    ("volumes_assumed", VOLUMES),
    ("initiators_per_volume_assumed", INITIATORS_PER_VOLUME),
    ("busiest_over_mean_assumed", BUSIEST_OVER_MEAN),
];

/// A line of the size, and what carries it.
pub struct Line {
    /// What the operators ask for.
    pub asked: &'static str,
    /// What the program has for it; none: nothing does it today.
    pub mechanism: Option<&'static str>,
    /// The part of this command that measures it.
    pub part: &'static str,
}

/// All lines.
pub const LINES: [Line; 8] = [
    Line {
        asked: "460 initiators before 730 nodes",
        mechanism: Some("discovery's watch; the decision module ranks nodes"),
        part: "module, nodes",
    },
    Line {
        asked: "2.6 million client connections",
        mechanism: Some("the front; idle connections are closed"),
        part: "connections",
    },
    Line {
        asked: "640,000 requests a second",
        mechanism: Some("the decision module in each initiator"),
        part: "module",
    },
    Line {
        asked: "2 changes of primary a day, each over within 12 s",
        mechanism: Some("discovery's lines: another node takes a shard's place"),
        part: "nodes, hollow",
    },
    Line { asked: "10 zones", mechanism: Some("zones in discovery's lines"), part: "regions" },
    Line { asked: "3 regions that can lose each other", mechanism: None, part: "regions" },
    Line {
        asked: "550 changes of configuration a day, in force everywhere within 9 s",
        mechanism: Some("live configuration: agreed by the planners, handed on, taken over while running"),
        part: "configuration, hollow",
    },
    Line {
        asked: "3 machines set aside for control",
        mechanism: Some("planners, each another's backup by election"),
        part: "planners",
    },
];
