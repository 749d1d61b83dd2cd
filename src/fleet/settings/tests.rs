use super::*;

const SHIPPED: &str = include_str!("../../../deploy/fleet.toml");

#[test]
fn the_shipped_file_is_valid_and_disabled() {
    assert_eq!(Settings::parse(SHIPPED), Ok(None));
    let on = Settings::parse(&SHIPPED.replace("enabled = false", "enabled = true")).unwrap().unwrap();
    assert_eq!((on.seeds.len(), on.advertise), (3, on.address));
}

#[test]
fn each_error_is_one_line_that_names_the_key() {
    for (from, to, key) in [
        ("fleet = \"lights\"", "fleet = \"\"", "fleet"),
        ("period_ms = 500", "period_ms = 1", "period_ms"),
        ("answer_ms = 150", "answer_ms = 400", "answer_ms"),
        ("lookers = 3", "lookers = 0", "lookers"),
        ("doubt_periods = 6.0", "doubt_periods = 0.5", "doubt_periods"),
        ("name = \"n2\"", "name = \"n1\"", "seed.name"),
        ("enabled = false", "enabled = false\nsome = 1", "some"),
        ("address = \"127.0.0.1:7200\"", "address = \"0.0.0.0:7200\"", "advertise"),
        ("address = \"127.0.0.1:7200\"", "address = \"127.0.0.9:7200\"", "seed"),
    ] {
        let text = SHIPPED.replacen(from, to, 1);
        assert_ne!(text, SHIPPED, "{from}");
        let why = Settings::parse(&text).unwrap_err();
        assert!(why.contains(key) && !why.contains('\n'), "{key}: {why}");
    }
}
