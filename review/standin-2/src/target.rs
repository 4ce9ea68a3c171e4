//! A target that answers each request at once.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::http::answer;
use crate::http::name;
use crate::http::read_message;
use crate::store::Store;

/// Body of each answer.
const BODY: &[u8] = b"a body of 16 byt";

/// A target.
pub(crate) struct Target {
    id: String,
    address: SocketAddr,
    /// Number of requests that it ran.
    pub(crate) ran: Arc<AtomicU64>,
}

impl Target {
    /// Starts a number of targets of a service, which the store lists.
    pub(crate) fn start_listed(
        service: &str,
        count: usize,
        store: &Store,
    ) -> io::Result<Vec<Target>> {
        let mut targets = Vec::with_capacity(count);
        for number in 0..count {
            let target = Target::start(&format!("i-{service}-{number}"))?;
            let entry = include_str!("../entry.json").trim().replace("SERVICE", service);
            store.put(
                "servers",
                &target.id,
                &entry.replace("ADDRESS", &target.address.to_string()),
            );
            targets.push(target);
        }
        Ok(targets)
    }

    /// Starts a target on a free port.
    fn start(id: &str) -> io::Result<Target> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let ran = Arc::new(AtomicU64::new(0));
        let (own_id, own_ran) = (id.to_owned(), ran.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, ran) = (own_id.clone(), own_ran.clone());
                // A connection that breaks ends its thread.
                std::thread::spawn(move || serve(stream, &id, &ran));
            }
        });
        Ok(Target { id: id.to_owned(), address, ran })
    }
}

fn serve(stream: TcpStream, id: &str, ran: &AtomicU64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let reply = if request.word(1) == "/healthz" {
            answer("200 OK", &[(name("instance"), id)], b"")
        } else if request.header(name("expected")).is_some_and(|expected| expected != id) {
            answer("421 Misdirected Request", &[(name("instance"), id)], b"")
        } else {
            let number = ran.fetch_add(1, Ordering::Relaxed);
            let request_id = request.header(name("request-id")).unwrap_or_default();
            let signature = format!("{id}.{number}");
            let headers = [(name("request-id"), request_id), (name("signature"), &signature)];
            answer("200 OK", &headers, BODY)
        };
        writer.write_all(&reply)?;
    }
    Ok(())
}
