//! Stand-ins of the platform's store, backend servers and clients, and the start of the project's gateway as processes.
//!
//! Uses the standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const HOST: &str = "shop.example";
pub const KEY: &str = "farm-key";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Sets an option of an own socket with a whole number as value.
pub fn set_option(socket: &impl AsRawFd, level: i32, name: i32, value: i32) {
    unsafe { setsockopt(socket.as_raw_fd(), level, name, &value, 4) };
}

/// Connects with a small receive buffer and the segments of an Ethernet, as a client on a real link has.
pub fn connect_small(address: SocketAddr, buffer_bytes: i32) -> Option<TcpStream> {
    let SocketAddr::V4(v4) = address else { return None };
    let stream: TcpStream = unsafe { std::os::fd::FromRawFd::from_raw_fd(socket(2, 1, 0)) };
    set_option(&stream, 1, 8, buffer_bytes);
    set_option(&stream, 6, 2, 1_460);
    let mut bytes = [0_u8; 16];
    bytes[..2].copy_from_slice(&2_u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&v4.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&v4.ip().octets());
    let result = unsafe { connect(stream.as_raw_fd(), bytes.as_ptr(), 16) };
    (result == 0).then_some(stream)
}

/// Makes the end of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// Whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

static NEXT: AtomicU32 = AtomicU32::new(1);

/// Returns a loopback address of this run's own.
pub fn own_ip() -> Ipv4Addr {
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 20 + (pid / 250 % 200) as u8, 1 + (pid % 250) as u8, number as u8)
}

/// Time after which a case ends in any case.
const LONGEST: Duration = Duration::from_secs(100);

/// What the case writes to `record.txt`, with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Record {
        std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
        std::thread::spawn(|| {
            std::thread::sleep(LONGEST);
            cannot_run("it takes too long")
        });
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end_processes();
    std::process::exit(2)
}

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started.
pub fn end_processes() {
    for pid in STARTED.lock().unwrap().drain(..) {
        signal(pid, SIGCONT);
        signal(pid, SIGKILL);
    }
}

/// Ends the case: with 1 if the rule was broken, with 0 if it held.
pub fn finish(record: &Record, is_broken: bool, summary: &str) -> ! {
    record.line(format!("RESULT {} {summary}", if is_broken { "broken" } else { "held" }));
    end_processes();
    std::process::exit(i32::from(is_broken))
}

// HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole by its framing.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }

    /// Returns a word of the first line: the method, target or status.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

pub type Reader = BufReader<TcpStream>;

/// Reads a head; none at the end of the connection or after an error.
pub fn read_head(reader: &mut Reader) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_string();
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads the body of a request, which has a length.
pub fn read_request(reader: &mut Reader) -> Option<Message> {
    let mut message = read_head(reader)?;
    let mut body = vec![0; message.number("content-length").unwrap_or(0) as usize];
    reader.read_exact(&mut body).ok()?;
    message.body = body;
    message.is_whole = true;
    Some(message)
}

/// Reads the body of an answer up to its end or that of the connection.
pub fn read_answer_body(reader: &mut Reader, message: &mut Message) {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
            let mut piece = vec![0; size + 2];
            if reader.read_exact(&mut piece).is_err() {
                return;
            }
            if size == 0 {
                message.is_whole = true;
                return;
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    }
    match message.number("content-length") {
        Some(length) => {
            let taken = reader.take(length).read_to_end(&mut message.body);
            message.is_whole = taken.is_ok() && message.body.len() as u64 == length;
        }
        None => message.is_whole = reader.read_to_end(&mut message.body).is_ok(),
    }
}

pub fn write_message(stream: &mut TcpStream, head: &str, body: &[u8]) -> bool {
    let text = format!("{head}content-length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// A listener with a thread for each connection.
pub fn serve(
    address: SocketAddr,
    on_connection: impl Fn(TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    serve_on(listener, on_connection)
}

pub fn serve_on(
    listener: TcpListener,
    on_connection: impl Fn(TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let on_connection = Arc::new(on_connection);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            let on_connection = on_connection.clone();
            std::thread::spawn(move || on_connection(stream));
        }
    });
    address
}

// The store

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Kind and name, with revision and content.
    held: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name and content; none for a removal.
    changes: Vec<(u64, String, String, Option<String>)>,
}

/// Stand-in of the platform's store, as PROTOCOL.md tells it: lists, watches, and conditional writes.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Objects>, Condvar)>);

/// Addresses at which one host reaches servers, by the name of their entries.
pub type Addresses = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// Stands for the address of a server in its entry.
pub const ADDRESS: &str = "@ADDRESS@";

fn object_text(revision: u64, name: &str, content: &str) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":1,\"Finalizers\":[],\
         \"DeletionPending\":false}},\"Specification\":{content},\"Status\":null}}"
    )
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, parameters) = target.split_once('?')?;
    parameters.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Store {
    pub fn put(&self, kind: &str, name: &str, content: &str) -> u64 {
        let mut objects = self.0.0.lock().unwrap();
        objects.revision += 1;
        let (revision, key) = (objects.revision, (kind.to_string(), name.to_string()));
        objects.held.insert(key, (revision, content.to_string()));
        objects.changes.push((revision, kind.into(), name.into(), Some(content.to_string())));
        self.0.1.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.0.0.lock().unwrap();
        if objects.held.remove(&(kind.to_string(), name.to_string())).is_some() {
            objects.revision += 1;
            let revision = objects.revision;
            objects.changes.push((revision, kind.into(), name.into(), None));
        }
        self.0.1.notify_all();
    }

    /// Serves the store at an address for one host, which reaches servers at the given addresses.
    pub fn serve_host(&self, addresses: &Addresses) -> SocketAddr {
        let (store, addresses) = (self.clone(), addresses.clone());
        serve(SocketAddr::from((own_ip(), 0)), move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_request(&mut reader) {
                let (status, body) = store.answer(&request, &addresses);
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                );
                if !write_message(&mut writer, &head, body.as_bytes()) {
                    return;
                }
            }
        })
    }

    fn answer(&self, request: &Message, addresses: &Addresses) -> (u16, String) {
        let target = request.word(1).to_string();
        let path = target.split('?').next().unwrap_or("");
        let mut parts = path.trim_start_matches("/api/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or("").to_string(), parts.next());
        let resolve = |name: &str, content: &str| match addresses.lock().unwrap().get(name) {
            Some(address) => content.replace(ADDRESS, &address.to_string()),
            None => content.to_string(),
        };
        let mut objects = self.0.0.lock().unwrap();
        let Some(name) = name else {
            let Some(from) = query(&target, "Watch").and_then(|text| text.parse::<u64>().ok())
            else {
                let items = objects.held.iter().filter(|((of, _), _)| *of == kind);
                let items = items.map(|((_, name), (revision, content))| {
                    object_text(*revision, name, &resolve(name, content))
                });
                let items: Vec<String> = items.collect();
                let at = objects.revision;
                let list = items.join(",");
                return (200, format!("{{\"Items\":[{list}],\"HasMore\":false,\"At\":{at}}}"));
            };
            if from > objects.revision {
                return (410, "null".into());
            }
            let wait_ms = query(&target, "WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
            let wait = Duration::from_millis(u64::min(wait_ms, 30_000));
            let is_of = |change: &(u64, String, String, Option<String>)| {
                change.0 > from && change.1 == kind
            };
            objects = self
                .0
                .1
                .wait_timeout_while(objects, wait, |objects| !objects.changes.iter().any(is_of))
                .unwrap()
                .0;
            let events = objects.changes.iter().filter(|change| is_of(change));
            let events = events.map(|(revision, _, name, content)| {
                let is_removed = content.is_none();
                let content = content.as_deref().unwrap_or("null");
                let object = object_text(*revision, name, &resolve(name, content));
                format!("{{\"Removed\":{is_removed},\"Object\":{object}}}")
            });
            let events: Vec<String> = events.collect();
            let (at, list) = (objects.revision, events.join(","));
            return (200, format!("{{\"events\":[{list}],\"At\":{at}}}"));
        };
        let key = (kind.clone(), name.to_string());
        let known = objects.held.get(&key).cloned();
        let known_text = known.as_ref().map(|(at, content)| object_text(*at, name, content));
        match request.word(0) {
            "GET" => known_text.map_or((404, "null".into()), |text| (200, text)),
            "DELETE" => {
                drop(objects);
                self.remove(&kind, name);
                (200, "null".into())
            }
            method => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let (metadata, content) =
                    body.split_once("\"Specification\":").unwrap_or(("", "null}"));
                let content = content.strip_suffix('}').unwrap_or("null").to_string();
                let expected = metadata.split_once("\"Revision\":").map(|(_, rest)| {
                    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                    digits.parse::<u64>().unwrap_or(0)
                });
                if let Some((at, _)) = known
                    && (method == "POST" || expected.is_some_and(|expected| expected != at))
                {
                    return (409, known_text.unwrap_or_default());
                }
                drop(objects);
                let revision = self.put(&kind, name, &content);
                (200, object_text(revision, name, &content))
            }
        }
    }
}

// The configuration

/// Returns a route of a plain service, whose streams may not be resumed.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, target_ms: u64) -> String {
    format!(
        "{{\"Name\":\"r-{}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{target_ms},\"Priority\":1,\"Service\":\"{service}\",\
         \"Attempts\":2,\"Public\":false,\"Resumable\":false,\"TargetGapMs\":200}}",
        prefix.replace('/', ""),
    )
}

/// Returns a configuration with plain services, as at a small site.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":110}}")
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"farm\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns the entry of a server, whose address differs by host.
pub fn server_entry(service: &str, zone: &str, state: &str, sequence: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{ADDRESS}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
         \"Slots\":6,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence}}}"
    )
}

// The gateway

pub struct Gateway {
    pub name: String,
    pub ip: Ipv4Addr,
    pub child: Child,
}

const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const INTERNAL_PORT: u16 = 7340;

impl Gateway {
    /// Starts a host with the command of the deploy file.
    pub fn start(name: &str, zone: &str, store: SocketAddr) -> Gateway {
        let ip = own_ip();
        Gateway::start_at(name, zone, store, ip, true)
    }

    pub fn start_at(
        name: &str,
        zone: &str,
        store: SocketAddr,
        ip: Ipv4Addr,
        is_first: bool,
    ) -> Gateway {
        let settings = format!(
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"front\"\nServes = [\"front\"]\n\
             IpAddress = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"ie-south\"\n\
             InternalPorts = [{INTERNAL_PORT},{}]\nSeedNodes = []\nFirstStart = {is_first}\n\
             Discovery = \"platform\"\nEntry = \"virtual_ip\"\nHeartbeatIntervalMs = 1200\n\
             [ListenAddresses]\nFront = \"{ip}:{FRONT_PORT}\"\nReady = \"{ip}:{READY_PORT}\"\n\
             [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = 260\nFileDescriptors = 4100\nLinkMbps = 1000.0\n\
             [Bounds]\nSeedLagS = 3\nAddressReuseS = 2\nContactWindowMs = 3000\nDrainTimeoutMs = 2000\n\
             GracePeriodS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetExtraRetries = 202\nstall_ms = 3000\n\
             [Platform]\nAddress = \"{store}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\n",
            INTERNAL_PORT + 15
        );
        let folder = temporary_folder();
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log =
            File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("target/release/godwitdeal")
            .arg("gateway")
            .env("GODWITDEAL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child =
            child.unwrap_or_else(|e| cannot_run(&format!("target/release/godwitdeal: {e}")));
        STARTED.lock().unwrap().push(child.id());
        Gateway { name: name.to_string(), ip, child }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    pub fn signal(&self, number: i32) {
        signal(self.child.id(), number);
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READY_PORT));
        let request = Request::new("GET", "/api/readiness", b"");
        call(address, &request, Duration::from_millis(500)).is_some_and(|it| it.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run(&format!("{} is not ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the value of a metric; 0 if there is none.
    pub fn metric(&self, name: &str) -> f64 {
        let address = SocketAddr::from((self.ip, INTERNAL_PORT));
        let request = Request::new("GET", "/metrics", b"");
        let answer = call(address, &request, Duration::from_secs(1)).unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text.lines().filter_map(|line| line.rsplit_once(' '));
        let of_name = lines.filter(|(key, _)| key.split('{').next() == Some(name));
        of_name.filter_map(|(_, value)| value.parse::<f64>().ok()).sum()
    }
}

/// Returns the temporary folder of this run.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::var("CASE_TMP").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
    let _ = std::fs::create_dir_all(&folder);
    folder
}

/// Starts this program once more as a stand-in of its own, which can be killed.
pub fn start_own(arguments: &[&str]) -> Child {
    let program = std::env::current_exe().unwrap();
    let child =
        Command::new(program).args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
    let child = child.unwrap_or_else(|e| cannot_run(&e.to_string()));
    STARTED.lock().unwrap().push(child.id());
    child
}

// Clients

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

impl Request {
    pub fn new(method: &'static str, path: &str, body: &[u8]) -> Request {
        let id = format!("q{:06}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
        Request { id, method, path: path.to_string(), body: body.to_vec(), deadline_ms: 10_000 }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nGodwitdeal-Request-Id: {}\r\nGodwitdeal-Deadline-Ms: {}\r\n\
             Authorization: Bearer {KEY}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        if !self.body.is_empty() || self.method != "GET" {
            bytes += &format!("Content-Length: {}\r\n", self.body.len());
        }
        bytes += "\r\n";
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection and reads the answer as far as it comes; none if no head comes.
pub fn call(address: SocketAddr, request: &Request, wait: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_write_timeout(Some(wait)).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let _ = stream.write_all(&request.bytes());
    let mut answer = read_head(&mut reader)?;
    read_answer_body(&mut reader, &mut answer);
    Some(answer)
}

// Links

/// A link of one host to one server, which can be cut: open connections are reset, new ones are refused.
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<Mutex<bool>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    listener: Arc<Mutex<Option<TcpListener>>>,
    server: SocketAddr,
}

impl Link {
    pub fn start(server: SocketAddr) -> Link {
        let listener =
            TcpListener::bind((own_ip(), 0)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let link = Link {
            address,
            is_cut: Arc::default(),
            streams: Arc::default(),
            listener: Arc::default(),
            server,
        };
        link.run(listener);
        link
    }

    fn run(&self, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let (is_cut, streams, server) = (self.is_cut.clone(), self.streams.clone(), self.server);
        std::thread::spawn(move || {
            while !*is_cut.lock().unwrap() {
                let Ok((client, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let Ok(upstream) = TcpStream::connect(server) else { continue };
                let _ = client.set_nonblocking(false);
                let _ = client.set_nodelay(true);
                let _ = upstream.set_nodelay(true);
                let mut open = streams.lock().unwrap();
                open.push(client.try_clone().unwrap());
                open.push(upstream.try_clone().unwrap());
                for (mut from, mut to) in [
                    (client.try_clone().unwrap(), upstream.try_clone().unwrap()),
                    (upstream, client),
                ] {
                    std::thread::spawn(move || {
                        let mut buffer = [0; 16 * 1024];
                        while let Ok(count) = from.read(&mut buffer)
                            && count > 0
                            && to.write_all(&buffer[..count]).is_ok()
                        {}
                        let _ = to.shutdown(std::net::Shutdown::Write);
                    });
                }
            }
        });
    }

    pub fn cut(&self) {
        *self.is_cut.lock().unwrap() = true;
        std::thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            reset_on_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}
