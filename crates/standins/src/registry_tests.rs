//! Tests of the answers of discovery.

use super::*;

#[test]
fn an_answer_shows_members_under_the_addresses_that_its_caller_sees() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let entries = [entry(0, address(4_001)), entry(1, address(4_002))];
    let answer = Answer::new(7, true, entries.clone());
    let expected = |entries: &[Value]| json!({"generation": 7, "instances": entries, "reset": true});
    assert_eq!(answer.body, expected(&entries).to_string());
    let seen = HashMap::from([(address(4_002).to_string(), address(5_000).to_string())]);
    let shown = [entries[0].clone(), entry(1, address(5_000))];
    assert_eq!(answer.body_with(&seen), expected(&shown).to_string());
    assert_eq!(answer.indented_body_with(&seen), format!("{:#}", expected(&shown)));
    assert_eq!(Answer::new(8, false, []).body, r#"{"generation":8,"instances":[],"reset":false}"#);
}
