//! Entries that no writer of ours wrote must not hide the others of a reply.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use godwit_platform::{Platform, PlatformSettings};
use serde_json::{Value, json};

/// Nesting that the store accepts but that, within a reply, exceeds the limit of the parser.
const STORABLE_NESTING: usize = 127;

/// Answers every call with `body`.
fn platform_with(body: Vec<u8>) -> Platform {
    platform_with_bodies(vec![body])
}

/// Answers each call with the next of `bodies`, and all further ones with the last.
fn platform_with_bodies(bodies: Vec<Vec<u8>>) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for call in 0.. {
            let body = &bodies[call.min(bodies.len() - 1)];
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = Vec::new();
            let mut byte = [0];
            while !request.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
                request.push(byte[0]);
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(&[head.as_bytes(), body].concat()).unwrap();
        }
    });
    Platform::new(
        &address,
        PlatformSettings { call_timeout_ms: 5_000, ..PlatformSettings::default() },
    )
}

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

/// Values that no field of an entry can hold, with their names.
fn odd_values() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("deeply nested", nested(100_000).into_bytes()),
        ("number of 400 digits", "9".repeat(400).into_bytes()),
        ("exponent out of range", b"1e999".to_vec()),
        ("negative number", b"-7".to_vec()),
        ("no Unicode", b"\"\xff\xfe\"".to_vec()),
        ("half of a surrogate pair", br#""\ud800""#.to_vec()),
        ("null", b"null".to_vec()),
    ]
}

/// Reply with a sound entry on both sides of an odd one, whose text has `@` in place of the odd value.
fn reply(before: &str, sound: [&str; 2], odd: &str, value: &[u8]) -> Vec<u8> {
    let (head, tail) = odd.split_once('@').unwrap();
    let texts: [&[u8]; 7] = [
        before.as_bytes(),
        sound[0].as_bytes(),
        b",",
        head.as_bytes(),
        value,
        tail.as_bytes(),
        b",",
    ];
    [texts.concat(), sound[1].as_bytes().to_vec(), b"]}".to_vec()].concat()
}

const SOUND_HEADS: [&str; 2] = [r#"{"name":"a","version":3}"#, r#"{"name":"z","version":4}"#];
const ODD_HEADS: [&str; 3] = [r#"{"name":@,"version":5}"#, r#"{"name":"m","version":@}"#, "@"];

#[test]
fn list_with_odd_entry_yields_the_others() {
    for (case, value) in odd_values() {
        for odd in ODD_HEADS {
            let body = reply(r#"{"revision":9,"objects":["#, SOUND_HEADS, odd, &value);
            let listed = platform_with(body).list("").map(|reply| reply.objects);
            let listed = listed.unwrap_or_else(|error| panic!("{case} in {odd}: {error}"));
            let sound = |name: &str| listed.iter().any(|head| head.name == name);
            assert!(sound("a") && sound("z"), "{case} in {odd}: {listed:?}");
        }
    }
}

#[test]
fn watch_with_odd_entry_yields_the_others() {
    for (case, value) in odd_values() {
        for odd in ODD_HEADS {
            let body = reply(r#"{"revision":9,"changes":["#, SOUND_HEADS, odd, &value);
            let changed = platform_with(body).watch("", 1, 0);
            let changed = changed.unwrap_or_else(|error| panic!("{case} in {odd}: {error}"));
            let sound = |name: &str| changed.changes.iter().any(|head| head.name == name);
            assert!(sound("a") && sound("z"), "{case} in {odd}: {changed:?}");
            assert_eq!(changed.revision, 9, "{case} in {odd}");
        }
    }
}

#[test]
fn hosts_with_odd_entry_yields_the_others() {
    let sound = ["a", "z"].map(|name| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:1","failure_domain":"d","role":"entry","state":"live"}}"#
        )
    });
    for (case, value) in odd_values() {
        for field in ["name", "address", "failure_domain", "role", "state"] {
            let odd = sound[0].replace(r#""name":"a""#, r#""name":"m""#);
            let odd: Value = serde_json::from_str(&odd).unwrap();
            let mut fields: Vec<String> = Vec::new();
            for (name, text) in odd.as_object().unwrap() {
                let text = if name == field { "@".to_string() } else { text.to_string() };
                fields.push(format!("\"{name}\":{text}"));
            }
            let odd = format!("{{{}}}", fields.join(","));
            let body =
                reply(r#"{"as_of_unix_ms":9,"hosts":["#, [&sound[0], &sound[1]], &odd, &value);
            let listed = platform_with(body).hosts().map(|reply| reply.hosts);
            let listed = listed.unwrap_or_else(|error| panic!("{case} in {field}: {error}"));
            let is_listed = |name: &str| listed.iter().any(|host| host.name == name);
            assert!(is_listed("a") && is_listed("z"), "{case} in {field}: {listed:?}");
        }
    }
}

#[test]
fn host_whose_entry_becomes_unreadable_stays_listed() {
    let host = |state: &str| {
        let text = r#"{"as_of_unix_ms":9,"hosts":[{"name":"s","address":"127.0.0.1:1","failure_domain":"d","role":"backend","state":STATE}]}"#;
        text.replace("STATE", state).into_bytes()
    };
    let platform =
        platform_with_bodies(vec![host("\"leaving\""), host("7"), host("1e999"), host("\"live\"")]);
    let states: Vec<String> =
        (0..4).map(|_| platform.hosts().unwrap().hosts[0].state.to_string()).collect();
    assert_eq!(states, ["leaving", "leaving", "leaving", "live"]);
}

#[test]
fn listed_object_with_unreadable_version_stays_listed() {
    let body = br#"{"revision":9,"objects":[{"name":"m","version":1e999}]}"#;
    let listed = platform_with(body.to_vec()).list("").unwrap().objects;
    assert_eq!(listed.iter().map(|head| head.name.as_str()).collect::<Vec<_>>(), ["m"]);
}

#[test]
fn read_of_object_nested_beyond_the_limit_tells_its_version() {
    let settings = godwit_standin::PlatformSettings::new("127.0.0.1:0".parse().unwrap());
    let standin = godwit_standin::PlatformStandin::start(settings).unwrap();
    let platform = Platform::new(&standin.address().to_string(), PlatformSettings::default());
    let value: Value = serde_json::from_str(&nested(STORABLE_NESTING)).unwrap();
    let version = platform.write("odd", 0, &value).unwrap();
    platform.write("sound", 0, &json!(1)).unwrap();
    assert_eq!(platform.list("").unwrap().objects.len(), 2);
    match platform.read("odd") {
        Err(godwit_platform::ReadError::Unreadable { version: found, .. }) => {
            assert_eq!(found, version);
        }
        other => panic!("{other:?}"),
    }
}
