//! An answer that is cut never looks whole, and a cancelled exchange harms no other.

use std::time::{Duration, Instant};

use compact_str::format_compact;
use oriolering_bench::{
    Caller, Fleet, FleetPlan, Request, Runs, Told, Verdict, block_on, http_get,
};
use rstest::rstest;

const LARGE_BYTES: u64 = 300_000;
const SLOTS: usize = 12;

#[rstest]
#[case::short_sized(0, false)]
#[case::short_chunked(0, true)]
#[case::large_sized(LARGE_BYTES, false)]
#[case::large_chunked(LARGE_BYTES, true)]
fn a_cut_answer_never_looks_whole(#[case] size: u64, #[case] chunked: bool) {
    block_on(async move {
        let fleet = Fleet::start(&FleetPlan::new("caja", 2)).await.unwrap();
        let caller = Caller::new(Instant::now());
        let mut calls = Vec::new();
        for method in ["GET", "POST"] {
            for cut in [
                0,
                1,
                40,
                69,
                70,
                4_096,
                65_536,
                65_608,
                200_000,
                LARGE_BYTES - 1,
            ] {
                for entry in 0..2 {
                    if cut >= size.max(70) {
                        continue;
                    }
                    let nonce = format_compact!("cut-{method}-{cut}-{entry}");
                    let to = fleet.members[entry].ingress;
                    let mut request = Request::new(to, "caja", method, &nonce).header("x-cut", cut);
                    request.answer_bytes = size;
                    if chunked {
                        request = request.header("x-chunked", 1);
                    }
                    let call = caller.send(&request).await;
                    let told = call.told;
                    let honest = matches!(told, Told::Cut | Told::Broken | Told::Refused(_, _));
                    assert!(honest, "{nonce}: {told:?}");
                    calls.push(call);
                }
            }
        }
        let verdict = Verdict::new(calls, fleet.runs().unwrap());
        verdict.assert_kept(&format!("cut answers of {size} bytes, chunked {chunked}"));
    });
}

#[ntex::main]
#[test]
async fn cancelled_calls_free_their_slots_and_harm_no_other() {
    let fleet = Fleet::start(&FleetPlan::new("caja", 1)).await.unwrap();
    let caller = Caller::new(Instant::now());
    let to = fleet.members[0].ingress;
    for number in 0..SLOTS {
        let nonce = format_compact!("gone-{number}");
        let mut request =
            Request::new(to, "caja", "POST", &nonce).header("x-service-us", 1_500_000);
        request.patience = Duration::from_millis(30);
        assert_eq!(caller.send(&request).await.told, Told::GaveUp);
    }
    let start = Instant::now();
    for number in 0..SLOTS * 2 {
        let nonce = format_compact!("next-{number}");
        let call = caller.send(&Request::new(to, "caja", "POST", &nonce)).await;
        assert_eq!(call.told, Told::Answer);
    }
    assert!(
        start.elapsed() < Duration::from_millis(1_000),
        "slots were not freed"
    );
    let (_, body) = http_get(fleet.members[0].backend, "/_runs").await.unwrap();
    let runs: Runs = serde_json::from_slice(&body).unwrap();
    assert_eq!(runs.cancelled, SLOTS as u64);
    assert!(runs.runs.values().all(|count| *count == 1));
}
