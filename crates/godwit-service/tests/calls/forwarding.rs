//! Requests as a service receives them, and calls that cannot be written as a request.

use crate::fake::{CLOSED_ADDRESS, FakeService};
use godwit_core::UnixMs;
use godwit_service::{Header, ServiceCall, ServiceError, forward};

const DEADLINE: UnixMs = UnixMs(10_000);
const START: UnixMs = UnixMs(0);

fn call(headers: &[Header]) -> ServiceCall<'_> {
    ServiceCall {
        method: "PUT",
        path: "/slots/7?day=friday",
        headers,
        body: b"milk",
        answer_limit_bytes: 64,
    }
}

#[test]
fn forward_drops_connection_headers() {
    let headers = [
        Header::new("Idempotency-Key", "k-1"),
        Header::new("Connection", "keep-alive, X-Hop"),
        Header::new("X-Hop", "1"),
        Header::new("Transfer-Encoding", "chunked"),
        Header::new("Content-Length", "999"),
        Header::new("Content-Type", "text/plain"),
    ];
    let fake = FakeService::answer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let address = fake.address.clone();
    forward(&call(&headers), &address, DEADLINE, START).unwrap();
    let request = String::from_utf8(fake.request.recv().unwrap()).unwrap();
    let request = request.replace(&address, "ADDRESS").replace("\r\n", "\n");
    insta::assert_snapshot!(request, @r"
    PUT /slots/7?day=friday HTTP/1.1
    Host: ADDRESS
    Idempotency-Key: k-1
    Content-Type: text/plain
    Content-Length: 4
    Connection: close

    milk
    ");
}

#[test]
fn forward_malformed_call_is_never_sent() {
    let malformed_headers = [
        Header::new("X-Slot", "7\r\nContent-Length: 3"),
        Header::new("X Slot", "7"),
        Header::new("", "7"),
    ];
    for header in malformed_headers {
        let headers = [header];
        let result = forward(&call(&headers), CLOSED_ADDRESS, DEADLINE, START);
        assert!(matches!(result, Err(ServiceError::NeverSent { .. })));
    }
    for (method, path) in [("PO ST", "/"), ("GET", "/a b"), ("GET", "http://other/")] {
        let malformed = ServiceCall { method, path, ..call(&[]) };
        let result = forward(&malformed, CLOSED_ADDRESS, DEADLINE, START);
        assert!(matches!(result, Err(ServiceError::NeverSent { .. })));
    }
}
