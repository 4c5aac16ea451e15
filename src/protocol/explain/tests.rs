//! Guards the form of questions and the size of answers.

use super::*;
use crate::state::mesh::explain::{
    CANDIDATES_MAX, Candidate, Explained, Explanation, RouteSummary, ServiceShare,
};
use crate::state::{
    priority::Level,
    upstream::{Obstacle, Standing},
};

/// Guards against a question that is answered for another request than the one that was meant, and
/// against an error that repeats a key.
#[test]
fn malformed_questions_are_refused() {
    let base = "method=GET&host=h&path=/a/";
    let cases = [
        ("", "the method is missing"),
        ("method=GET&path=/a/", "the host is missing"),
        ("method=GET&host=h", "the path is missing"),
        ("method=G%20T&host=h&path=/", r#"the method is "G T""#),
        ("method=GET&host=a%20b&path=/", r#"the host is "a b""#),
        ("method=GET&host=u@h&path=/", r#"the host is "u@h""#),
        ("method=GET&host=h&path=a/", r#"the path is "a/""#),
        ("method=GET&host=h&path=/a?b", r#"the path is "/a?b""#),
        ("method=GET&host=h&path=/%0A", r#"the path is "/\n""#),
        ("&organisation=", "the organisation is malformed"),
        ("&organisation=k%20secret", "the organisation is malformed"),
        ("&time_left_ms=-1", r#"the time left is "-1""#),
        ("&time_left_ms=1.5", r#"the time left is "1.5""#),
        ("&host=h", "expected each argument once"),
        ("&key=secret", "method, host, path, organisation and time"),
        ("&organisation", "expected arguments as NAME=VALUE"),
        ("&organisation=%FF", "expected values in UTF-8"),
    ];
    for (query, expected) in cases {
        let query = match query.starts_with('&') {
            true => format!("{base}{query}"),
            false => query.to_owned(),
        };
        let question = read_question(&query).and_then(|q| Ok(q.parse()?));
        let error = question.expect_err(&query).to_string();
        assert!(error.contains(expected), "{query}: {error}");
        assert!(!error.contains("secret"), "{query}: {error}");
    }
    assert!(read_question(base).is_ok_and(|q| q.parse().is_ok()));
}

/// Guards against an answer above its bound, whatever the lengths of names.
#[test]
fn answers_are_bounded() {
    fn name<T: std::str::FromStr>(n: usize) -> T {
        format!("{n:063}").parse().ok().expect("valid name")
    }
    let candidate = |n| Candidate {
        server: name(n),
        service: name(n),
        zone: name(n),
        address: "[1111:2222:3333:4444:5555:6666:7777:8888]:65535"
            .parse()
            .expect("valid address"),
        own: false,
        standing: Standing::OutsideSubset,
        load: Some("4294967295/4294967295/4294967295".to_owned()),
        load_age_ms: Some(u64::MAX),
        level: Some(Level::OPEN),
        expected_delay: Some(f64::MAX),
        weight: Some(f64::MAX),
        chance: 0.1234,
        against: Some(Obstacle::OutsideSubset),
    };
    let share = |n| ServiceShare {
        service: name(n),
        share: 0.1234,
    };
    let answer = Explanation {
        node: name(1),
        service: name(1),
        zone: name(1),
        routes: None,
        unknown: None,
        request: Some(Explained {
            route: RouteSummary {
                class: name(1),
                services: (0..CANDIDATES_MAX).map(share).collect(),
                idempotent: true,
                attempts: 1,
                timeout_ms: 1,
            },
            organisation: None,
            importance: 1,
            time_limit_ms: 1,
            level: None,
            refusal: None,
            most_likely: None,
            candidate_count: CANDIDATES_MAX,
            candidates: (0..CANDIDATES_MAX).map(candidate).collect(),
        }),
    };
    let text = write_answer(answer.clone()).expect("the answer is valid");
    assert!(text.len() <= ANSWER_MAX_BYTES, "{} bytes", text.len());
    let read: Explanation = serde_json::from_str(&text).expect("the answer is JSON");
    let kept = read.request.expect("an explanation");
    let all = answer.request.expect("an explanation");
    assert!(kept.candidates.len() >= CANDIDATES_MAX / 2);
    assert_eq!(kept.candidates, all.candidates[..kept.candidates.len()]);
    assert_eq!(kept.candidate_count, CANDIDATES_MAX);
}
