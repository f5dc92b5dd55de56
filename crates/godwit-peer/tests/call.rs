//! Calls between hosts over real connections, against a call that may have run but is reported as not sent, and a
//! call that is served twice.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

use godwit_core::UnixMs;
use godwit_peer::{CallError, Handlers, NotSentReason, PeerClient, PeerKey, PeerServer, Topic};

const DEADLINE: UnixMs = UnixMs(5_000);

fn key() -> PeerKey {
    PeerKey::new(b"the shared key of the tests")
}

fn client() -> PeerClient {
    PeerClient::new(key(), || UnixMs(0))
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Starts a server whose `State` handler returns its payload, and returns it with the counter of its calls.
fn start_echo_server() -> (PeerServer, Arc<AtomicU32>) {
    let calls = Arc::new(AtomicU32::new(0));
    let call_counter = Arc::clone(&calls);
    let handlers = Handlers::default()
        .on(Topic::State, move |payload| {
            call_counter.fetch_add(1, Ordering::SeqCst);
            payload.to_vec()
        })
        .on(Topic::Ledger, |_| panic!("the handler panics"));
    (PeerServer::start(any_port(), key(), handlers).unwrap(), calls)
}

/// Accepts one connection and passes it to `serve`; returns the address of the listener.
fn serve_one_connection(serve: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || serve(listener.accept().unwrap().0));
    address
}

#[test]
fn call_returns_answer() {
    let (server, calls) = start_echo_server();
    let client = client();
    for size_bytes in [0, 10, 1 << 20] {
        let payload = vec![7; size_bytes];
        let answer = client.call(server.address(), Topic::State, &payload, DEADLINE).unwrap();
        assert!(answer == payload);
    }
    assert_eq!(calls.load(Ordering::SeqCst), 3);
}

#[test]
fn call_concurrently() {
    let (server, calls) = start_echo_server();
    let client = client();
    let address = server.address();
    thread::scope(|scope| {
        for number in 0..8u8 {
            let client = &client;
            scope.spawn(move || {
                for _ in 0..20 {
                    let answer = client.call(address, Topic::State, &[number], DEADLINE).unwrap();
                    assert_eq!(answer, [number]);
                }
            });
        }
    });
    assert_eq!(calls.load(Ordering::SeqCst), 160);
}

#[test]
fn call_after_restart() {
    let (server, _) = start_echo_server();
    let client = client();
    let address = server.address();
    client.call(address, Topic::State, b"1", DEADLINE).unwrap();
    drop(server);
    // The idle connection of the client serves one more call or is found closed; in neither case is the call lost
    // silently.
    let second = client.call(address, Topic::State, b"2", DEADLINE);
    assert!(second.is_ok() || matches!(second, Err(CallError::NotSent { .. })));
}

#[test]
fn call_refused_connection() {
    let address = TcpListener::bind(any_port()).unwrap().local_addr().unwrap();
    let error = client().call(address, Topic::State, b"", DEADLINE).unwrap_err();
    let is_connect = matches!(error, CallError::NotSent { reason: NotSentReason::Connect(_), .. });
    assert!(is_connect, "{error}");
}

#[test]
fn call_deadline_passed() {
    let (server, calls) = start_echo_server();
    let error = client().call(server.address(), Topic::State, b"", UnixMs(0)).unwrap_err();
    assert!(matches!(error, CallError::NotSent { reason: NotSentReason::DeadlinePassed, .. }));
    assert_eq!(calls.load(Ordering::SeqCst), 0);
}

#[test]
fn call_payload_too_long() {
    let (server, _) = start_echo_server();
    let payload = vec![0; 4 << 20];
    let error = client().call(server.address(), Topic::State, &payload, DEADLINE).unwrap_err();
    assert!(matches!(error, CallError::NotSent { reason: NotSentReason::TooLong { .. }, .. }));
}

#[test]
fn call_with_wrong_key() {
    let (server, calls) = start_echo_server();
    let other_client = PeerClient::new(PeerKey::new(b"another key"), || UnixMs(0));
    let error = other_client.call(server.address(), Topic::State, b"", DEADLINE).unwrap_err();
    assert!(matches!(error, CallError::NotSent { reason: NotSentReason::Handshake(_), .. }));
    assert_eq!(calls.load(Ordering::SeqCst), 0);
}

#[test]
fn call_without_handler() {
    let (server, _) = start_echo_server();
    let error = client().call(server.address(), Topic::Configuration, b"", DEADLINE).unwrap_err();
    assert!(matches!(error, CallError::NotSent { reason: NotSentReason::NoHandler, .. }));
}

#[test]
fn call_handler_panics() {
    let (server, _) = start_echo_server();
    let client = client();
    let error = client.call(server.address(), Topic::Ledger, b"", DEADLINE).unwrap_err();
    assert!(matches!(error, CallError::Unknown { .. }), "{error}");
    assert!(client.call(server.address(), Topic::State, b"", DEADLINE).is_ok());
}

#[test]
fn call_closed_before_handshake() {
    let address = serve_one_connection(drop);
    let error = client().call(address, Topic::State, b"", DEADLINE).unwrap_err();
    assert!(matches!(error, CallError::NotSent { reason: NotSentReason::Handshake(_), .. }));
}

#[test]
fn call_answer_lost() {
    let (server, calls) = start_echo_server();
    let upstream = server.address();
    // Forwards the call and closes the connection as soon as the first byte of the answer arrives.
    let address = serve_one_connection(move |downstream| {
        let upstream = TcpStream::connect(upstream).unwrap();
        let (mut up, mut down) = (upstream.try_clone().unwrap(), downstream.try_clone().unwrap());
        relay_handshake(&mut down, &mut up);
        thread::spawn(move || std::io::copy(&mut downstream.try_clone().unwrap(), &mut &upstream));
        up.read_exact(&mut [0]).unwrap();
        down.shutdown(std::net::Shutdown::Both).unwrap();
    });
    let error = client().call(address, Topic::State, b"once", DEADLINE).unwrap_err();
    assert!(matches!(error, CallError::Unknown { .. }), "{error}");
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}

/// Relays two frames in each direction.
fn relay_handshake(down: &mut TcpStream, up: &mut TcpStream) {
    for _ in 0..2 {
        relay_frame(down, up);
        relay_frame(up, down);
    }
}

fn relay_frame(from: &mut TcpStream, to: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    from.read_exact(&mut length).unwrap();
    let mut frame = vec![0; u32::from_le_bytes(length) as usize];
    from.read_exact(&mut frame).unwrap();
    to.write_all(&length).unwrap();
    to.write_all(&frame).unwrap();
    frame
}

#[test]
fn serve_replayed_frame() {
    let (server, calls) = start_echo_server();
    let upstream = server.address();
    let (done, replayed) = std::sync::mpsc::channel();
    let address = serve_one_connection(move |mut down| {
        let mut up = TcpStream::connect(upstream).unwrap();
        relay_handshake(&mut down, &mut up);
        let frame = relay_frame(&mut down, &mut up);
        relay_frame(&mut up, &mut down);
        up.write_all(&(frame.len() as u32).to_le_bytes()).unwrap();
        up.write_all(&frame).unwrap();
        // The server closes the connection without an answer.
        done.send(up.read(&mut [0]).unwrap_or(0)).unwrap();
    });
    client().call(address, Topic::State, b"once", DEADLINE).unwrap();
    assert_eq!(replayed.recv().unwrap(), 0);
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}

#[test]
fn reply_written_again_is_no_answer_to_the_next_call() {
    for is_before_next_call in [true, false] {
        let (server, _) = start_echo_server();
        let upstream = server.address();
        let (written, is_written) = std::sync::mpsc::channel();
        let listener = TcpListener::bind(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            let (mut down, _) = listener.accept().unwrap();
            let mut up = TcpStream::connect(upstream).unwrap();
            relay_handshake(&mut down, &mut up);
            relay_frame(&mut down, &mut up);
            let reply = relay_frame(&mut up, &mut down);
            if !is_before_next_call {
                written.send(()).unwrap();
                relay_frame(&mut down, &mut up);
            }
            down.write_all(&(reply.len() as u32).to_le_bytes()).unwrap();
            down.write_all(&reply).unwrap();
            let _ = written.send(());
            // The client leaves this connection; a further one reaches the server.
            let (down, _) = listener.accept().unwrap();
            let up = TcpStream::connect(upstream).unwrap();
            let (mut requests, mut to_server) =
                (down.try_clone().unwrap(), up.try_clone().unwrap());
            thread::spawn(move || std::io::copy(&mut requests, &mut to_server));
            std::io::copy(&mut &up, &mut &down).unwrap();
        });
        let client = client();
        assert_eq!(client.call(address, Topic::State, b"first", DEADLINE).unwrap(), b"first");
        is_written.recv().unwrap();
        match client.call(address, Topic::State, b"second", DEADLINE) {
            Ok(answer) => assert!(is_before_next_call && answer == b"second", "{answer:?}"),
            Err(error) => {
                assert!(!is_before_next_call, "{error}");
                assert!(matches!(error, CallError::Unknown { .. }), "{error}");
            }
        }
        assert_eq!(client.call(address, Topic::State, b"third", DEADLINE).unwrap(), b"third");
    }
}

#[test]
fn serve_malformed_bytes() {
    let (server, calls) = start_echo_server();
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0; 64], &[]] {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(bytes).unwrap();
        drop(stream);
    }
    assert!(client().call(server.address(), Topic::State, b"", DEADLINE).is_ok());
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}
