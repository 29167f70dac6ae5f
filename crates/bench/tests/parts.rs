//! The parts that the proofs rest on: the answer's check, the history check and the bound.

use oriolering::{Cause, Outcome};
use oriolering_bench::{
    Breach, Call, Check, Echo, EchoReader, Runs, Told, check_history, one_queue, poisson_times,
};
use rstest::rstest;
use std::time::Duration;

fn echo(size: u64) -> (Echo, Vec<u8>) {
    let echo = Echo::new("n1", &Check::new("GET", "/").finish(), size);
    let bytes = echo.clone().flat_map(|part| part.to_vec()).collect();
    (echo, bytes)
}

#[rstest]
#[case(0)]
#[case(68)]
#[case(69)]
#[case(200_000)]
fn an_echo_is_recognised_whole_and_no_other_way(#[case] size: u64) {
    let (echo, bytes) = echo(size);
    assert_eq!(bytes.len() as u64, echo.remaining());
    let read = |parts: &[&[u8]]| {
        let mut reader = EchoReader::new(echo.clone());
        parts.iter().for_each(|part| reader.update(part));
        reader.finish()
    };
    assert!(read(&[&bytes[..5], &bytes[5..]]));
    assert!(!read(&[&bytes[..bytes.len() - 1]]));
    assert!(!read(&[&bytes, b"x"]));
    let mut wrong = bytes.clone();
    wrong[bytes.len() - 1] ^= 1;
    assert!(!read(&[&wrong]));
}

fn call(idempotent: bool, told: Told) -> Call {
    Call {
        nonce: "n1".into(),
        idempotent,
        label: 0,
        intended_us: 0,
        ended_us: 1,
        spent_us: None,
        told,
        status: 0,
        retry_after_ms: None,
    }
}

const NOT_RUN: Told = Told::Refused(Outcome::NotRun, Some(Cause::Full));
const UNKNOWN: Told = Told::Refused(Outcome::Unknown, Some(Cause::Unreachable));

#[rstest]
#[case::refused_and_not_run(false, NOT_RUN, 0, None)]
#[case::refused_but_run(false, NOT_RUN, 1, Some(Breach::RanAfterNotRun))]
#[case::refused_but_run_idempotent(true, NOT_RUN, 1, Some(Breach::RanAfterNotRun))]
#[case::unsent_but_run(true, Told::Unsent, 1, Some(Breach::RanAfterNotRun))]
#[case::unknown_once(false, UNKNOWN, 1, None)]
#[case::unknown_never(false, UNKNOWN, 0, None)]
#[case::unknown_twice(false, UNKNOWN, 2, Some(Breach::RanTwice))]
#[case::answered_twice(false, Told::Answer, 2, Some(Breach::RanTwice))]
#[case::answered_idempotent_twice(true, Told::Answer, 2, None)]
#[case::answered_without_run(true, Told::Answer, 0, Some(Breach::AnswerWithoutRun))]
#[case::wrong(true, Told::WrongAnswer, 1, Some(Breach::WrongAnswer))]
#[case::gave_up(true, Told::GaveUp, 1, Some(Breach::NoOutcome))]
fn a_history_tells_each_broken_promise(
    #[case] idempotent: bool,
    #[case] told: Told,
    #[case] count: u32,
    #[case] breach: Option<Breach>,
) {
    let runs = Runs::parse(&"n1\n".repeat(count as usize));
    let found = check_history(&[call(idempotent, told)], &runs);
    assert_eq!(found.first().map(|violation| violation.breach), breach);
}

#[test]
fn one_queue_serves_in_order_of_arrival() {
    let arrivals = [(0, 10), (0, 20), (5, 10), (6, 1), (40, 7)];
    assert_eq!(one_queue(2, &arrivals), [10, 20, 15, 15, 7]);
}

#[test]
fn poisson_arrivals_have_their_rate_and_repeat_by_seed() {
    let end = Duration::from_secs(20);
    let times = poisson_times(7, 1_000.0, end);
    assert!((19_000..21_000).contains(&times.len()));
    assert_eq!(times, poisson_times(7, 1_000.0, end));
}
