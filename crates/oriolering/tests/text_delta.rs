//! What a node is sent of a text when it knows an earlier one.

use oriolering::{DeltaError, SectionedText, VALUE_MAX_BYTES};
use proptest::prelude::*;
use rstest::rstest;

/// Returns a text like that of many published routes.
fn routes(count: usize, changed: usize) -> Vec<u8> {
    let route = |i: usize| {
        let timeout = if i == changed { 900 } else { 1_500 };
        let host = (i * 7_919) % 104_729;
        format!(
            r#"{{"name":"r{i}","host":"h{host}.example","prefix":"/p{host}/","kind":"idempotent","timeout_ms":{timeout},"target_latency_ms":200,"priority":2,"service":"s{}","max_attempts":3}}"#,
            i % 3
        )
    };
    let routes: Vec<String> = (0..count).map(route).collect();
    routes.join(",").into_bytes()
}

#[rstest]
#[case::whole(None, 60_000)]
#[case::one_route_changed(Some(routes(1_400, 3)), 6_000)]
#[case::same(Some(routes(1_400, 700)), 0)]
fn few_bytes_are_sent(#[case] earlier: Option<Vec<u8>>, #[case] most: usize) {
    let text = SectionedText::new(routes(1_400, 700));
    assert!(text.bytes().len() > 200_000);
    let earlier = SectionedText::new(earlier.unwrap_or_default());
    let delta = text.delta(earlier.sections());
    let sent = delta.packed.len();
    assert!(sent <= most, "{sent} bytes were sent");
    let result = earlier.apply(&delta).expect("the text");
    assert!(result == text.bytes());
}

#[test]
fn a_section_that_is_not_known_is_asked_for() {
    let text = SectionedText::new(routes(100, 50));
    let delta = text.delta(text.sections());
    let empty = SectionedText::new(Vec::new());
    assert_eq!(empty.apply(&delta), Err(DeltaError::Unknown));
}

#[test]
fn content_that_does_not_match_is_refused() {
    let text = SectionedText::new(routes(100, 50));
    let other = SectionedText::new(routes(100, 51));
    let empty = SectionedText::new(Vec::new());
    let mut delta = text.delta(&[]);
    delta.packed = other.delta(&[]).packed;
    assert_eq!(empty.apply(&delta), Err(DeltaError::Content));
    delta.packed.truncate(20);
    assert_eq!(empty.apply(&delta), Err(DeltaError::Content));
}

#[test]
fn a_text_above_the_limit_is_refused() {
    let text = SectionedText::new(vec![b'a'; VALUE_MAX_BYTES + 1]);
    let empty = SectionedText::new(Vec::new());
    let len = VALUE_MAX_BYTES + 1;
    assert_eq!(empty.apply(&text.delta(&[])), Err(DeltaError::Size { len }));
}

proptest! {
    #[test]
    fn any_text_follows_from_any_other(
        shared in proptest::collection::vec(any::<u8>(), 0..30_000),
        before in proptest::collection::vec(any::<u8>(), 0..5_000),
        after in proptest::collection::vec(any::<u8>(), 0..5_000),
    ) {
        let earlier = SectionedText::new([before, shared.clone()].concat());
        let text = SectionedText::new([after, shared].concat());
        let delta = text.delta(earlier.sections());
        let result = earlier.apply(&delta);
        prop_assert_eq!(result.as_deref(), Ok(text.bytes()));
    }
}
