use super::*;
use crate::sync::processor::{alone, steady};

const SHIPPED: [&str; 2] = [
    include_str!("../../../incidents/fleet-cut-and-pause.toml"),
    include_str!("../../../incidents/fleet-rolling-in-loss.toml"),
];

#[test]
fn each_error_of_a_script_is_one_line_that_names_it() {
    SHIPPED.iter().for_each(|text| drop(Script::parse(text).unwrap()));
    for (from, to, key) in [
        ("members = 5", "members = 2", "members"),
        ("seconds = 20", "seconds = 0", "seconds"),
        ("seconds = 20", "seconds = 5", "fault 0"),
        ("who = [0, 1]", "who = [9]", "who"),
        ("who = [0, 1]", "who = []", "who"),
        ("kind = \"split\"", "kind = \"cut\"", "to"),
        ("may_go = [0, 1, 3]", "may_go = [5]", "may_go"),
        ("seed = 7", "seeds = 7", "seeds"),
    ] {
        let text = SHIPPED[0].replacen(from, to, 1);
        assert_ne!(text, SHIPPED[0], "{from}");
        let why = Script::parse(&text).unwrap_err();
        assert!(why.contains(key) && !why.contains('\n'), "{key}: {why}");
    }
}

#[test]
fn a_script_of_overlapping_faults_breaks_no_rule_and_leaves_a_timeline() {
    let _processor = alone();
    let program = crate::vrrp::experiments::program().unwrap();
    let script = Script::parse(SHIPPED[0]).unwrap();
    let file = std::env::temp_dir().join(format!("topazpath-timeline-{}", std::process::id()));
    let (breaches, _) = steady(|| {
        let output = Box::new(std::fs::File::create(&file).unwrap());
        run_script(&program, &script, 91, &mut Timeline { output }).unwrap()
    });
    let lines = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(breaches.none(), "{breaches:?}");
    let lines: Vec<Value> = lines.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    for what in ["fault", "mended", "says", "log", "settled"] {
        assert!(lines.iter().any(|line| line["what"] == what), "{what}");
    }
    let times: Vec<u64> = lines.iter().filter_map(|line| line["ms"].as_u64()).collect();
    assert!(times.is_sorted() && times.len() == lines.len());
}
