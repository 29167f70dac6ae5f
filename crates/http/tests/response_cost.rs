//! What it costs to read a response: how many bytes are allocated for each byte that arrives.
//!
//! The server runs on a thread of its own, and only the thread of the client is measured.

mod support;

use std::cell::Cell;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use allocation_counter::measure;
use ntex::http::DateService;
use oriolering_http::{AnswerRoom, ClientConn, ExchangeError, HeaderMap, Method, Request, Uri};
use rstest::rstest;
use support::run;

const CONNECT_MS: u64 = 1_000;
const MIB: usize = 1_024 * 1_024;
/// How many bytes may be allocated for each byte that arrives: a few copies, whatever the length.
const ALLOCATED_FACTOR: usize = 16;
/// What a connection and a runtime may allocate besides, in bytes.
const FIXED_BYTES: usize = MIB;
/// How much of a streamed body is taken at once, in bytes.
const PIECE_BYTES: usize = 12 * 1_024;
/// The limit of responses where that is tested, in bytes.
const ROOM_BYTES: usize = MIB;

/// How many bytes arrive before the client reads them; the buffers of the system hold them all.
const ARRIVED_BYTES: usize = MIB / 4;
/// The most bytes that may be read before others run.
const TURN_BYTES: usize = 64 * 1_024;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    /// Chunks of this size.
    Chunks(usize),
    /// The end of the connection.
    Connection,
}

impl Framing {
    fn field(self, length: usize) -> String {
        match self {
            Self::Length => format!("Content-Length: {length}\r\n"),
            Self::Chunks(_) => "Transfer-Encoding: chunked\r\n".to_owned(),
            Self::Connection => String::new(),
        }
    }

    fn encode(self, length: usize) -> Vec<u8> {
        let body = vec![b'x'; length];
        let Self::Chunks(size) = self else {
            return body;
        };
        let mut encoded = Vec::new();
        for chunk in body.chunks(size) {
            encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            encoded.extend_from_slice(chunk);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(b"0\r\n\r\n");
        encoded
    }
}

/// Answers one request with a body; returns the address and how many bytes are sent.
fn start_server(framing: Framing, length: usize) -> (SocketAddr, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let fields = framing.field(length);
    let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
    let body = framing.encode(length);
    let sent = head.len() + body.len();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(stream.try_clone().expect("a handle")).lines();
        while !lines.next().expect("a line").expect("text").is_empty() {}
        // The client may give up at any point.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&body);
    });
    (address, sent)
}

fn get() -> Request {
    Request {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: oriolering_http::Bytes::new(),
    }
}

async fn connect(address: SocketAddr) -> ClientConn {
    let conn = ClientConn::connect(address, DateService::default(), CONNECT_MS).await;
    conn.expect("a connection")
}

/// Reads a body of this length.
async fn read_all(mut conn: ClientConn, streamed: bool, length: usize) {
    if !streamed {
        let response = conn.exchange(get(), |_| true).await.expect("a response");
        return assert_eq!(response.body.len(), length);
    }
    let exchange = conn.exchange_streamed(get(), PIECE_BYTES, |_| true);
    let (_, mut body) = exchange.await.expect("a response");
    let mut received = 0;
    while let Some(piece) = body.next(PIECE_BYTES).await.expect("a piece") {
        received += piece.len();
    }
    assert_eq!(received, length);
}

// Guards against a body that is copied as a whole for each chunk or each read, so that its cost grows
// with the square of its length and a node stands still while it reads one.
#[rstest]
#[case::length(Framing::Length, 12 * MIB)]
#[case::chunks_of_64_kilobytes(Framing::Chunks(65_536), 12 * MIB)]
#[case::chunks_of_1000_bytes(Framing::Chunks(1_000), 2 * MIB)]
#[case::chunks_of_16_bytes(Framing::Chunks(16), MIB)]
#[case::chunks_of_one_byte(Framing::Chunks(1), MIB / 4)]
#[case::no_length(Framing::Connection, 12 * MIB)]
fn the_cost_of_a_body_is_linear(
    #[case] framing: Framing,
    #[case] length: usize,
    #[values(true, false)] streamed: bool,
) {
    let (address, sent) = start_server(framing, length);
    let info = measure(|| {
        run(async {
            read_all(connect(address).await, streamed, length).await;
        });
    });
    let allowed = sent * ALLOCATED_FACTOR + FIXED_BYTES;
    let allocated = info.bytes_total;
    assert!(
        allocated <= allowed as u64,
        "{allocated} bytes were allocated for {sent}"
    );
}

// Guards against a buffer that grows beyond the memory that responses share: what is allocated counts.
#[rstest]
#[case::chunks_of_64_kilobytes(Framing::Chunks(65_536))]
#[case::chunks_of_1000_bytes(Framing::Chunks(1_000))]
#[case::no_length(Framing::Connection)]
fn the_buffer_of_a_body_stays_within_the_limit(#[case] framing: Framing) {
    let (address, _) = start_server(framing, 4 * ROOM_BYTES);
    let info = measure(|| {
        run(async {
            let room = AnswerRoom::new(ROOM_BYTES);
            let mut conn = connect(address).await.with_room(&room);
            let result = conn.exchange(get(), |_| true).await;
            let error = result.expect_err("it is too long");
            assert!(matches!(error, ExchangeError::MemoryFull { .. }), "{error}");
            assert_eq!((room.used(), Rc::strong_count(&room)), (0, 2));
        });
    });
    // A buffer that grows is held twice for a moment.
    let allowed = 2 * ROOM_BYTES + FIXED_BYTES;
    assert!(info.bytes_max <= allowed as u64, "{} bytes", info.bytes_max);
}

// Guards against doublings that refuse a body which fits into the memory that responses share.
#[rstest]
#[case::length(Framing::Length)]
#[case::chunks_of_1000_bytes(Framing::Chunks(1_000))]
#[case::no_length(Framing::Connection)]
fn a_body_of_almost_the_limit_is_read(#[case] framing: Framing) {
    let length = ROOM_BYTES - 1_000;
    let (address, _) = start_server(framing, length);
    run(async {
        let room = AnswerRoom::new(ROOM_BYTES);
        let mut conn = connect(address).await.with_room(&room);
        let response = conn.exchange(get(), |_| true).await.expect("a response");
        assert_eq!(response.body.len(), length);
    });
}

// Guards against a connection that always has more bytes and keeps the thread from all others.
#[rstest]
#[case::chunks_of_one_byte(Framing::Chunks(1))]
#[case::chunks_of_1000_bytes(Framing::Chunks(1_000))]
#[case::no_length(Framing::Connection)]
fn others_run_while_a_body_that_has_arrived_is_read(
    #[case] framing: Framing,
    #[values(true, false)] streamed: bool,
) {
    let length = match framing {
        Framing::Chunks(1) => ARRIVED_BYTES / 6,
        Framing::Chunks(_) | Framing::Length | Framing::Connection => ARRIVED_BYTES,
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    run(async move {
        let conn = connect(address).await;
        // All of it is in the buffers of the system before the client reads.
        let (mut stream, _) = listener.accept().expect("a connection");
        let socket = socket2::SockRef::from(&stream);
        let buffer = socket.set_send_buffer_size(2 * ARRIVED_BYTES);
        buffer.expect("an option");
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", framing.field(length));
        stream
            .write_all(head.as_bytes())
            .expect("the buffer takes it");
        let written = stream.write_all(&framing.encode(length));
        written.expect("the buffer takes it");
        drop(stream);
        let turns = Rc::new(Cell::new(0));
        let counted = Rc::clone(&turns);
        tokio::task::spawn_local(async move {
            loop {
                counted.set(counted.get() + 1);
                tokio::task::yield_now().await;
            }
        });
        tokio::task::yield_now().await;
        let before = turns.get();
        read_all(conn, streamed, length).await;
        let turns = turns.get() - before;
        assert!(turns >= ARRIVED_BYTES / TURN_BYTES / 2, "{turns} turns");
    });
}
