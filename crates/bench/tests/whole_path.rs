//! The whole path as separate processes on loopback addresses.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use ntex::util::Bytes;
use oriolering::{Cause, Outcome};
use oriolering_bench::{Caller, Fleet, FleetPlan, Mix, Request, Told, Trial, Upload, seed_or};
use serde_json::json;

const MEGABYTE: u64 = 1_000_000;
const PHOTO_SET_BYTES: u64 = 100 * MEGABYTE;
const MEMORY_ABOVE_IDLE: u64 = 64 * MEGABYTE;
const PART_BYTES: usize = 100_000;

#[ntex::main]
#[test]
async fn calls_enter_at_any_node_and_get_their_whole_answers() {
    let plan = FleetPlan::new("rack", 3);
    let trial = Trial::start(&plan, &Mix::new(200.0, 3), seed_or(1))
        .await
        .unwrap();
    let (_, verdict) = trial.finish(0).await.unwrap();
    verdict.assert_kept("whole path");
    assert_eq!(verdict.answered(), 1.0, "{}", verdict.report);
}

#[ntex::main]
#[test]
async fn a_photo_set_passes_both_ways_with_bounded_memory() {
    let plan = FleetPlan::new("bitacora", 2).settings(json!({ "deadline_ms": 60_000 }));
    let fleet = Fleet::start(&plan).await.unwrap();
    let idle: Vec<u64> = fleet
        .members
        .iter()
        .filter_map(|m| m.node.peak_memory())
        .collect();
    let caller = Caller::new(Instant::now());
    let to = fleet.members[0].ingress;

    let mut upload = Request::new(to, "bitacora", "POST", "photos-up");
    upload.patience = Duration::from_secs(60);
    upload.upload = Upload::Parts {
        part: Bytes::from(vec![7; PART_BYTES]),
        count: (PHOTO_SET_BYTES / PART_BYTES as u64) as u32,
        pause: Duration::ZERO,
    };
    assert_eq!(caller.send(&upload).await.told, Told::Answer);

    let mut download = Request::new(to, "bitacora", "GET", "photos-down");
    download.patience = Duration::from_secs(60);
    download.answer_bytes = PHOTO_SET_BYTES;
    assert_eq!(caller.send(&download).await.told, Told::Answer);

    for (member, idle) in fleet.members.iter().zip(idle) {
        let peak = member.node.peak_memory().unwrap_or(u64::MAX);
        println!("{}: idle {idle} bytes, peak {peak} bytes", member.id);
        assert!(peak < idle + MEMORY_ABOVE_IDLE, "{}: {peak}", member.id);
    }
}

#[ntex::main]
#[test]
async fn a_refusal_in_the_middle_of_an_upload_reaches_its_caller() {
    let fleet = Fleet::start(&FleetPlan::new("bitacora", 1)).await.unwrap();
    let caller = Caller::new(Instant::now());
    let mut request = Request::new(fleet.members[0].ingress, "nobody", "POST", "refused");
    request.upload = Upload::Parts {
        part: Bytes::from(vec![7; PART_BYTES]),
        count: 5,
        pause: Duration::from_millis(20),
    };
    let told = caller.send(&request).await.told;
    let invalid = Told::Refused(Outcome::Rejected, Some(Cause::Invalid));
    assert_eq!(told, invalid);
}

/// Reads the head and the body of an answer of plain text; returns the head.
fn read_answer(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let head = head.to_ascii_lowercase();
    let (_, length) = head.split_once("content-length: ").unwrap();
    let length = length.lines().next().unwrap().parse().unwrap();
    stream.read_exact(&mut vec![0; length])?;
    Ok(head)
}

#[ntex::main]
#[test]
async fn a_connection_lasts_until_an_answer_says_that_it_closes() {
    let fleet = Fleet::start(&FleetPlan::new("bitacora", 1)).await.unwrap();
    let stream = TcpStream::connect(fleet.members[0].ingress).unwrap();
    let mut stream = BufReader::new(stream);
    let head = "POST / HTTP/1.1\r\nhost: node\r\noriolering-service: nobody\r\n";
    let request = format!("{head}content-length: 4\r\n\r\nbody");
    for _ in 0..5 {
        stream.get_mut().write_all(request.as_bytes()).unwrap();
        if read_answer(&mut stream)
            .unwrap()
            .contains("connection: close")
        {
            return;
        }
        // An announced end is seen at once; one without a word comes a moment later.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
