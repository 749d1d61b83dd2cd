//! The size that operators expect within two years, and the budgets of the control plane at that size. Quotes are the
//! operators' words.

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
/// Number of zones, from the same sentence.
pub const ZONES: f64 = 10.0;
/// "550 changes of configuration a day".
pub const CHANGES_PER_DAY: f64 = 550.0;
/// "in force everywhere within 9 s".
pub const CHANGE_IN_FORCE_S: f64 = 9.0;
/// "2 changes of primary a day, each over within 12 s".
pub const PRIMARY_CHANGE_S: f64 = 12.0;
/// "an initiator spends at most 3.2% of a core" for control.
pub const CONTROL_CORES: f64 = 0.032;
/// "256 MB": memory of an initiator.
pub const CONTROL_MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0;
/// "and 2 KB a second": control traffic of an initiator, both directions.
pub const CONTROL_BYTES_PER_SECOND: f64 = 2.0 * 1024.0;
/// "3 machines are set aside for it": planners.
pub const PLANNERS: usize = 3;
/// "300 are restarted or replaced" on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 300.0;

/// Volumes of the whole fleet. The operators give no number; docs/planners.md assumes this one.
pub const VOLUMES: f64 = 10_000.0;
/// Initiators that receive requests for one volume; also assumed.
pub const INITIATORS_PER_VOLUME: f64 = 3.0;
/// Keys of a configuration document; assumed, since the operators give only the number of changes.
pub const CONFIGURATION_KEYS: f64 = 100.0;

/// "several times that to the busiest": the busiest initiator's request rate divided by the mean; the number is
/// assumed.
pub const BUSIEST_OVER_MEAN: f64 = 4.0;
/// Share of a core that requests may use at the mean rate: an initiator decides in one thread, which the busiest one
/// must not saturate.
pub const REQUEST_CORES: f64 = 1.0 / BUSIEST_OVER_MEAN;

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;

/// Mean requests per second to an initiator.
pub const REQUESTS_PER_INITIATOR: f64 = REQUESTS_PER_SECOND / INITIATORS;
/// Mean client connections of an initiator.
pub const CONNECTIONS_PER_INITIATOR: f64 = CONNECTIONS / INITIATORS;
/// Mean number of volumes for which an initiator receives requests.
pub const VOLUMES_PER_INITIATOR: f64 = VOLUMES * INITIATORS_PER_VOLUME / INITIATORS;

/// The target size by name, for the report.
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

/// A requirement of the operators and the mechanism that meets it.
pub struct Line {
    /// The requirement in the operators' words.
    pub asked: &'static str,
    /// The program's mechanism for it; `None` if there is none today.
    pub mechanism: Option<&'static str>,
    /// The parts of this subcommand that measure it.
    pub part: &'static str,
}

/// All requirements.
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
