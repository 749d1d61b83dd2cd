use super::*;
use crate::interface::{Class, Effect, Limit, Limits, Plan, Units};
use proptest::prelude::*;
use std::time::Duration;

/// Values in range, often the bounds, among them 0, which has more than one form.
fn value_in(min: f64, max: f64) -> impl Strategy<Value = Option<f64>> {
    prop::option::of(prop_oneof![Just(min), Just(max), min..max])
}

fn class() -> impl Strategy<Value = ClassOverrides> {
    (value_in(0.001, 1e6), value_in(1e-9, 1e12), value_in(0.0, 1.0))
        .prop_map(|(aim_ms, worth, late_worth)| ClassOverrides { aim_ms, worth, late_worth })
}

fn plan() -> impl Strategy<Value = PlanOverrides> {
    let not_negative = || value_in(0.0, 1e12);
    let above_zero = || value_in(1e-9, 1e12);
    let rates = (not_negative(), not_negative(), not_negative(), not_negative(), not_negative());
    (rates, above_zero(), above_zero()).prop_map(|(rates, parts, value_factor)| PlanOverrides {
        base_rate: rates.0,
        ceiling_rate: rates.1,
        limit_burst: rates.2,
        tolerance: rates.3,
        guaranteed: rates.4,
        parts,
        value_factor,
    })
}

fn costs() -> impl Strategy<Value = CostOverrides> {
    let above_zero = || value_in(1e-9, 1e12);
    (value_in(0.0, 1e12), value_in(1e-9, 1.0), above_zero(), above_zero(), value_in(0.0, 1e12)).prop_map(
        |it| CostOverrides {
            idle_worth: it.0,
            share_worth: it.1,
            largest: it.2,
            unit_mean: it.3,
            young_limit: it.4,
        },
    )
}

fn limits() -> impl Strategy<Value = LimitOverrides> {
    let attempts = prop::option::of(1u32..=100);
    (attempts, value_in(0.0, 1e6), prop::option::of(any::<bool>())).prop_map(|it| LimitOverrides {
        attempts_cap: it.0,
        max_retry_after_ms: it.1,
        may_cancel: it.2,
    })
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof!["[a-c]", "[a-c. \"\\\\é\n=\\[\\]']{1,6}"]
}

/// Any valid document. Names are drawn from a few, so that two documents often share some.
pub(in crate::revisions) fn any_document() -> impl Strategy<Value = Document> {
    let classes = prop::collection::btree_map(name(), class(), 0..4);
    let plans = prop::collection::btree_map(name(), plan(), 0..4);
    let nodes_out = prop::collection::btree_set(name(), 0..4);
    (classes, plans, costs(), limits(), nodes_out).prop_map(|(classes, plans, costs, limits, nodes_out)| {
        Document { classes, plans, costs, limits, nodes_out }
    })
}

proptest! {
    #[test]
    fn a_document_survives_toml_and_the_canonical_encoding(document in any_document()) {
        prop_assert_eq!(document.check(), Ok(()));
        let text = document.to_toml();
        let read = Document::parse(&text).map_err(|why| TestCaseError::fail(format!("{why}\n{text}")))?;
        prop_assert_eq!(&read, &document);
        prop_assert_eq!(read.hash(), document.hash());
        prop_assert_eq!(read.encode(), document.encode());
        let decoded: Document = postcard::from_bytes(&document.encode()).unwrap();
        prop_assert_eq!(&decoded, &document);
    }

    #[test]
    fn documents_are_equal_exactly_if_their_encodings_are(one in any_document(), other in any_document()) {
        prop_assert_eq!(one == other, one.encode() == other.encode());
        prop_assert_eq!(one == other, one.hash() == other.hash());
    }

    #[test]
    fn any_bytes_are_parsed_or_refused_in_one_line(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let text = String::from_utf8_lossy(&bytes);
        if let Err(why) = Document::parse(&text) {
            prop_assert!(is_one_line(&why), "{why:?}");
        }
    }

    /// Random edits of a valid text get past the TOML parser more often than random bytes.
    #[test]
    fn an_edited_document_is_parsed_or_refused_in_one_line(
        document in any_document(),
        at in any::<prop::sample::Index>(),
        inserted in "[\\[\\]{}=.\"'\n0-9a-z\\-]{0,6}",
    ) {
        let text = document.to_toml();
        let positions: Vec<usize> = text.char_indices().map(|(position, _)| position).chain([text.len()]).collect();
        let (start, end) = text.split_at(positions[at.index(positions.len())]);
        if let Err(why) = Document::parse(&format!("{start}{inserted}{end}")) {
            prop_assert!(is_one_line(&why), "{why:?}");
        }
    }

    /// A valid document is refused, or gives settings that a running scheduler accepts.
    #[test]
    fn the_scheduler_accepts_settings_with_any_applied_document(document in any_document()) {
        let names = Names { classes: vec!["a".into(), "b".into()], plans: vec!["a".into(), "c".into()] };
        match document.apply(&settings(), &names) {
            Err(why) => prop_assert!(is_one_line(&why), "{why:?}"),
            Ok(new) => {
                let mut scheduler = crate::Scheduler::new(settings(), 1);
                prop_assert!(scheduler.reconfigure(Duration::from_secs(1), new).is_ok());
            }
        }
    }
}

fn is_one_line(why: &DocumentError) -> bool {
    let text = why.to_string();
    !text.is_empty() && text.lines().count() == 1 && text.chars().count() <= MAX_ERROR_CHARS
}

fn settings() -> Settings {
    let class = |worth| Class {
        latency_target: Duration::from_millis(300),
        deadline: Duration::from_secs(2),
        worth,
        late_worth: 0.2,
        effect: Effect::Safe,
        dedup_window: Duration::ZERO,
        in_order: false,
    };
    let plan = |limit| Plan { reserve: 5.0, limit, weight: 1.0, worth_factor: 1.0 };
    Settings {
        initiators: 2,
        tick: Duration::from_millis(2),
        classes: vec![class(1.0), class(4.0)],
        plans: vec![plan(None), plan(Some(Limit { rate: 20.0, burst: 32.0, overdraft: 4.0 }))],
        units: Units {
            mean: 2.0,
            largest: 8.0,
            share_worth: 0.4,
            spare_worth: 0.1,
            slow_start_units: 30.0,
            usage_period: Duration::from_secs(60),
            base_rates: vec![10.0],
        },
        limits: Limits {
            max_attempts: 4,
            connect_timeout: Duration::from_millis(100),
            max_retry_after: Duration::from_millis(500),
            allow_cancel: true,
            max_queued: Some(77),
        },
        ..Settings::default()
    }
}

fn names() -> Names {
    Names { classes: vec!["bulk".into(), "quick".into()], plans: vec!["free".into(), "gold".into()] }
}

#[test]
fn values_of_the_document_replace_those_of_the_settings_and_all_others_stay() {
    let text = r#"
        nodes_out = ["s-3"]
        [classes.quick]
        aim_ms = 150
        worth = 6
        late_worth = 0.5
        [plans.free]
        ceiling_rate = 40
        limit_burst = 16
        tolerance = 2
        [plans.gold]
        base_rate = 12.5
        ceiling_rate = 25
        guaranteed = 7
        parts = 2
        value_factor = 3
        [costs]
        idle_worth = 0.05
        share_worth = 0.3
        largest = 9
        unit_mean = 3
        young_limit = 20
        [limits]
        attempts_cap = 2
        max_retry_after_ms = 250
        may_cancel = false
    "#;
    let document = Document::parse(text).unwrap();
    let mut expected = settings();
    expected.classes[1].latency_target = Duration::from_millis(150);
    (expected.classes[1].worth, expected.classes[1].late_worth) = (6.0, 0.5);
    expected.plans[0].limit = Some(Limit { rate: 40.0, burst: 16.0, overdraft: 2.0 });
    let limit = Some(Limit { rate: 25.0, burst: 32.0, overdraft: 4.0 });
    expected.plans[1] = Plan { reserve: 7.0, limit, weight: 2.0, worth_factor: 3.0 };
    expected.units = Units {
        mean: 3.0,
        largest: 9.0,
        share_worth: 0.3,
        spare_worth: 0.05,
        slow_start_units: 20.0,
        usage_period: Duration::from_secs(60),
        base_rates: vec![10.0, 12.5],
    };
    expected.limits.max_attempts = 2;
    expected.limits.max_retry_after = Duration::from_millis(250);
    expected.limits.allow_cancel = false;
    assert_eq!(document.apply(&settings(), &names()), Ok(expected));
    assert_eq!(Document::default().apply(&settings(), &names()), Ok(settings()));
}

#[test]
fn a_ceiling_rate_of_zero_removes_the_limit() {
    let none = Document::parse("[plans.gold]\nceiling_rate = 0").unwrap();
    assert_eq!(none.apply(&settings(), &names()).unwrap().plans[1].limit, None);
}

/// The iSCSI front adds a second class of the same name for writes to storage that does not discard repeated requests.
#[test]
fn both_classes_of_one_name_are_changed() {
    let mut base = settings();
    base.classes.push(Class { effect: Effect::Unsafe, ..base.classes[1].clone() });
    let mut names = names();
    names.classes.push("quick".into());
    let document = Document::parse("[classes.quick]\nworth = 3").unwrap();
    let worths = |settings: Settings| settings.classes.iter().map(|it| it.worth).collect::<Vec<_>>();
    assert_eq!(worths(document.apply(&base, &names).unwrap()), [1.0, 3.0, 3.0]);
}

/// Contradictory settings stay usable with a document that doesn't touch them; a document that changes one of the
/// values is checked.
#[test]
fn contradictions_in_the_settings_are_refused_only_where_the_document_changes_them() {
    let mut base = settings();
    base.units.largest = 40.0;
    base.units.mean = 50.0;
    let other = Document::parse("[classes.quick]\nworth = 3").unwrap();
    assert!(other.apply(&base, &names()).is_ok());
    let same_burst = Document::parse("[plans.gold]\nlimit_burst = 33").unwrap();
    assert!(same_burst.apply(&base, &names()).is_err());
}

/// The line with which a text is refused.
fn refusal(text: &str) -> String {
    let why = Document::parse(text).and_then(|document| document.apply(&settings(), &names()));
    let why = why.expect_err(text);
    assert!(is_one_line(&why), "{why:?}");
    why.to_string()
}

#[test]
fn each_refusal_names_its_key_in_one_line() {
    let cases = [("[classes.bulk]\naim_ms = 2500", "classes.bulk.aim_ms is 2500: at most the class's deadline, 2000 ms, is allowed"), ("[classes.bulk]\naim_ms = 0", "classes.bulk.aim_ms is 0: 0.001 to 86400000 is allowed"), ("[classes.bulk]\nworth = 0", "classes.bulk.worth is 0: above 0, 1e-9 to 1e12, is allowed"), ("[classes.bulk]\nworth = nan", "classes.bulk.worth is NaN: above 0, 1e-9 to 1e12, is allowed"), ("[classes.bulk]\nlate_worth = 1.5", "classes.bulk.late_worth is 1.5: 0 to 1 is allowed"), ("[classes.\"a.b\"]\nlate_worth = -inf", "classes.\"a.b\".late_worth is -inf: 0 to 1 is allowed"), ("[classes.bulk]\nworth = \"much\"", "classes.bulk.worth: invalid type: string \"much\", expected f64"), ("[classes.bulk]\neffect = \"read_like\"", "classes.bulk.effect can't change while running"), ("[classes.bulk]\nname = \"x\"", "classes.bulk.name can't change while running"), ("[classes.bulk]\nhard_limit_ms = 5", "classes.bulk.hard_limit_ms can't change while running"), ("[classes.bulk]\nkey_scope = \"zone\"", "classes.bulk.key_scope can't change while running"), ("[classes.bulk]\nwindow_ms = 5", "classes.bulk.window_ms can't change while running"), ("[classes.bulk]\none_at_a_time = true", "classes.bulk.one_at_a_time can't change while running"), ("[classes.bulk]\nbaim = 5", "classes.bulk.baim is not known: aim_ms, worth, late_worth are"), ("[classes]\nbulk = 5", "classes.bulk: a integer, a table is wanted"), ("classes = 5", "classes: a integer, a table is wanted"), ("[classes.none]\nworth = 5", "the settings have no class \"none\""), ("[plans.none]\nparts = 5", "the settings have no plan \"none\""), ("[plans.gold]\nparts = 0", "plans.gold.parts is 0: above 0, 1e-9 to 1e12, is allowed"), ("[plans.gold]\nbase_rate = -1", "plans.gold.base_rate is -1: 0 to 1e12 is allowed"), ("[plans.gold]\nceiling_rate = 1e13", "plans.gold.ceiling_rate is 10000000000000: 0 to 1e12 is allowed"), ("[plans.gold]\nlimit_burst = 7.5", "plans.gold.limit_burst is 7.5: at least costs.largest, 8, is needed"), ("[plans.free]\nceiling_rate = 5", "plans.free.limit_burst is 0: at least costs.largest, 8, is needed"), ("[costs]\nlargest = 33", "plans.gold.limit_burst is 32: at least costs.largest, 33, is needed"), ("[plans.free]\ntolerance = 5", "plans.free: the plan has no limit, and limit_burst and tolerance are nothing without ceiling_rate"), ("[costs]\nunit_mean = 9", "costs.unit_mean is 9: at most costs.largest, 8, is allowed"), ("[costs]\nshare_worth = 1.25", "costs.share_worth is 1.25: above 0, 1e-9 to 1, is allowed"), ("[costs]\nmetering_ms = 9", "costs.metering_ms can't change while running"), ("[limits]\nattempts_cap = 0", "limits.attempts_cap is 0: 1 to 100 is allowed"), ("[limits]\nattempts_cap = 101", "limits.attempts_cap is 101: 1 to 100 is allowed"), ("[limits]\nmax_retry_after_ms = -1", "limits.max_retry_after_ms is -1: 0 to 86400000 is allowed"), ("[limits]\nconnect_timeout_ms = 9", "limits.connect_timeout_ms can't change while running"), ("siblings = 3", "siblings can't change while running"), ("tick_ms = 3", "tick_ms can't change while running"), ("listen = \"\"", "listen can't change while running"), ("discovery = \"pushed\"", "discovery can't change while running"), ("[contract]\nfall_ms = 1", "contract can't change while running"), ("bed = 3", "bed is not known: classes, plans, costs, limits, nodes_out are"), ("nodes_out = 3", "nodes_out: invalid type: integer `3`, expected a sequence"), ("nodes_out = [\"\"]", "nodes_out: a name of 0 bytes (\"\"): 1 to 200"), ("[classes.bulk]\nworth = 1\nworth = 2", "line 3: duplicate key")];
    for (text, why) in cases {
        assert_eq!(refusal(text), why, "{text}");
    }
}

#[test]
fn a_retry_wait_is_refused_where_the_settings_allow_none() {
    let mut base = settings();
    base.limits.max_retry_after = Duration::ZERO;
    let document = |ms: f64| Document {
        limits: LimitOverrides { max_retry_after_ms: Some(ms), ..Default::default() },
        ..Document::default()
    };
    let why = document(5.0).apply(&base, &names()).unwrap_err().to_string();
    assert!(why.starts_with("limits.max_retry_after_ms is 5: the settings let no client"), "{why}");
    assert!(document(0.0).apply(&base, &names()).is_ok());
}

#[test]
fn names_documents_and_texts_that_are_too_long_are_refused() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let why = refusal(&format!("nodes_out = [\"{long}\"]"));
    assert_eq!(why, "nodes_out: a name of 201 bytes (\"xxxxxxxxxxxxxxxxxxxx\"): 1 to 200");
    let many = |count: usize, length: usize| Document {
        nodes_out: (0..count).map(|at| format!("{at:0length$}")).collect(),
        ..Document::default()
    };
    assert_eq!(many(MAX_NODES_OUT, 8).check(), Ok(()));
    let why = many(MAX_NODES_OUT + 1, 8).check().unwrap_err().to_string();
    assert_eq!(why, "nodes_out: 1025 names: at most 1024");
    let why = many(MAX_NODES_OUT, 100).check().unwrap_err().to_string();
    assert!(why.starts_with("a document of ") && why.ends_with("at most 65536 are allowed"), "{why}");
    let why = refusal(&" ".repeat(MAX_TEXT_BYTES + 1));
    assert_eq!(why, "a text of 1048577 bytes: at most 1048576 are allowed");
    assert!(is_one_line(&Document::parse(&"[".repeat(100_000)).unwrap_err()));
}

#[test]
fn equal_values_have_one_encoding() {
    let document = |worth| Document {
        costs: CostOverrides { idle_worth: Some(worth), ..Default::default() },
        ..Document::default()
    };
    assert_eq!(document(0.0).encode(), document(-0.0).encode());
    assert_eq!(document(f64::NAN).encode(), document(f64::from_bits(0x7ff8_0000_0000_0001)).encode());
    assert_eq!(
        Document::parse("[costs]\nidle_worth = -0.0").unwrap().costs.idle_worth.map(f64::to_bits),
        Some(0)
    );
    assert!(document(f64::NAN).check().is_err() && document(f64::INFINITY).check().is_err());
    assert_ne!(document(0.0).hash(), Document::default().hash());
}

/// Planners and initiators of different versions compare hashes, so the encoding is part of the protocol.
#[test]
fn the_canonical_encoding_does_not_change() {
    let document = Document::parse("nodes_out = [\"s-1\"]\n[classes.quick]\nworth = 2").unwrap();
    let class = [&[1, 5], &b"quick"[..], &[0, 1], &2f64.to_le_bytes(), &[0]].concat();
    let expected = [&class[..], &[0], &[0; 5], &[0; 3], &[1, 3], b"s-1"].concat();
    assert_eq!(document.encode(), expected);
    // SHA-256 of eleven zero bytes, computed by another program.
    let empty = "71b6c1d53832f789a7f2435a7c629245fa3761ad8487775ebf4957330213a706";
    assert_eq!(Document::default().encode(), [0; 11]);
    assert_eq!(Document::default().hash().to_string(), empty);
}

/// A document that was not read from text is checked as well.
#[test]
fn values_out_of_range_are_not_applied() {
    for worth in [f64::NAN, 0.0, f64::INFINITY] {
        let class = ClassOverrides { worth: Some(worth), ..ClassOverrides::default() };
        let document = Document { classes: BTreeMap::from([("bulk".into(), class)]), ..Document::default() };
        assert!(document.apply(&settings(), &names()).is_err(), "{worth}");
    }
}
