//! Tests of the client of backend servers against servers whose answers are broken off, come twice or do
//! not end.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;

use ureq::http::HeaderMap;
use yuccanotch_core::clock::Millis;
use yuccanotch_entry::engine_client::CallError;
use yuccanotch_entry::engine_client::EngineClient;
use yuccanotch_entry::engine_client::PlainCall;
use yuccanotch_entry::engine_client::PlainReply;

const TIMEOUT: Millis = Millis(2_000);
/// The most bytes that the client may take of an answer without end, with what sockets buffer.
const MAX_TAKEN_BYTES: usize = 24 << 20;

/// Serves each connection with `respond`; returns the address and the number of connections so far.
fn serve(respond: fn(TcpStream)) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let count = Arc::<AtomicUsize>::default();
    let accepted = count.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            accepted.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || respond(stream));
        }
    });
    (address, count)
}

fn read_request(stream: &mut TcpStream) {
    let _ = stream.read(&mut [0; 4_096]);
}

fn call(address: &str) -> Result<PlainReply, CallError> {
    EngineClient::new().call_plain(PlainCall {
        address,
        method: "POST",
        target: "/x",
        headers: HeaderMap::new(),
        body: b"body",
        timeout: TIMEOUT,
    })
}

/// Guards against the first bytes of a broken answer that pass for a whole one.
#[test]
fn an_answer_that_is_broken_off_is_lost() {
    let respond: [fn(TcpStream); 8] = [
        |s| send(s, "HTTP/1.1 200"),
        |s| send(s, "HTTP/1.1 200 OK\r\n"),
        |s| send(s, "HTTP/1.1 200 OK\r\nConte"),
        |s| send(s, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"),
        |s| send(s, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
        |s| send(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha"),
        |s| send(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        |s| send(s, "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
    ];
    for (i, respond) in respond.into_iter().enumerate() {
        let (address, _) = serve(respond);
        let answer = call(&address);
        assert!(matches!(answer, Err(CallError::Lost(_))), "{i}: {answer:?}");
    }
}

fn send(mut stream: TcpStream, text: &str) {
    read_request(&mut stream);
    let _ = stream.write_all(text.as_bytes());
}

/// Guards against a late copy of an answer that passes for the answer to the next call.
#[test]
fn each_call_has_a_connection_of_its_own() {
    let (address, count) = serve(|mut stream| {
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
        loop {
            read_request(&mut stream);
            let copies = answer.repeat(2);
            if stream.write_all(copies.as_bytes()).is_err() {
                return;
            }
        }
    });
    let client = EngineClient::new();
    for calls in 1..=4 {
        let headers = HeaderMap::new();
        let (method, target, body) = ("POST", "/x", &b"body"[..]);
        let call = PlainCall { address: &address, method, target, headers, body, timeout: TIMEOUT };
        assert_eq!(client.call_plain(call).expect("an answer").body, b"own");
        assert_eq!(count.load(Ordering::SeqCst), calls);
    }
}

/// Guards against a head or a body without end that fills the memory of a host.
#[test]
fn an_answer_without_end_is_given_up() {
    static TAKEN: AtomicUsize = AtomicUsize::new(0);
    let endless: [fn(TcpStream); 3] = [
        |s| send_forever(s, "HTTP/1.1 200 OK\r\nx: ", &TAKEN),
        |s| send_forever(s, "HTTP/1.1 200 OK\r\n\r\n", &TAKEN),
        |s| send_forever(s, "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", &TAKEN),
    ];
    for (i, respond) in endless.into_iter().enumerate() {
        TAKEN.store(0, Ordering::SeqCst);
        let (address, _) = serve(respond);
        let answer = call(&address);
        assert!(matches!(answer, Err(CallError::Lost(_))), "{i}: {answer:?}");
        let taken = TAKEN.load(Ordering::SeqCst);
        assert!(taken <= MAX_TAKEN_BYTES, "{i}: {taken}");
    }
}

fn send_forever(mut stream: TcpStream, first: &str, taken: &AtomicUsize) {
    read_request(&mut stream);
    let _ = stream.write_all(first.as_bytes());
    let part = [b'a'; 64 << 10];
    while stream.write_all(&part).is_ok() {
        taken.fetch_add(part.len(), Ordering::SeqCst);
    }
}
