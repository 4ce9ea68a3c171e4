//! Links that can be cut silently: connections stay open, and nothing passes.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http;

/// Whether the links are cut; clones share it.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::Relaxed);
    }

    /// Waits until the links are not cut; returns whether they were.
    fn wait(&self) -> bool {
        let mut was_cut = false;
        while self.0.load(Ordering::Relaxed) {
            was_cut = true;
            std::thread::sleep(Duration::from_millis(5));
        }
        was_cut
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let mut bytes = [0; 4_096];
    while let Ok(length) = from.read(&mut bytes) {
        // What was held up by the cut is lost.
        if cut.wait() || length == 0 || to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Opens a link to an address; returns the address through which it leads.
pub fn open(target: SocketAddr, cut: &Cut) -> SocketAddr {
    let cut = cut.clone();
    http::listen(move |caller| {
        if cut.wait() {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else { return };
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let (Ok(back_from), Ok(back_to)) = (server.try_clone(), caller.try_clone()) else { return };
        let own = cut.clone();
        std::thread::spawn(move || copy(back_from, back_to, &own));
        copy(caller, server, &cut);
    })
}
