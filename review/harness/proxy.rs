//! A proxy on the loopback interface that a case can cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// What a cut does.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Open connections end, and new ones are refused.
    Refuse,
    /// Open connections and new ones hang.
    Silent,
}

#[derive(Default)]
struct State {
    cut: Option<Cut>,
    connections: Vec<TcpStream>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let proxy = Self {
            address,
            state: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let is_closed = accepting.state.lock().unwrap().cut == Some(Cut::Refuse);
                if is_closed {
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                let accepted = listener.as_ref().and_then(|listener| {
                    listener.set_nonblocking(true).ok()?;
                    listener.accept().ok()
                });
                match accepted {
                    Some((stream, _)) => accepting.relay(stream, to),
                    None => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        proxy
    }

    /// Cuts the link, or restores it.
    pub fn set(&self, cut: Option<Cut>) {
        let mut state = self.state.lock().unwrap();
        let was_cut = state.cut.is_some();
        state.cut = cut;
        if cut == Some(Cut::Refuse) || (cut.is_none() && was_cut) {
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }

    fn relay(&self, stream: TcpStream, to: SocketAddr) {
        let cut = self.state.lock().unwrap().cut;
        if cut == Some(Cut::Refuse) || stream.set_nonblocking(false).is_err() {
            return;
        }
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        self.state.lock().unwrap().connections.push(clone);
        if cut == Some(Cut::Silent) {
            // The connection is kept in the list, and nobody reads it.
            return;
        }
        let Ok(server) = TcpStream::connect(to) else {
            return;
        };
        let _ = server.set_nodelay(true);
        if let Ok(clone) = server.try_clone() {
            self.state.lock().unwrap().connections.push(clone);
        }
        for (from, to) in [(&stream, &server), (&server, &stream)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let proxy = self.clone();
            thread::spawn(move || proxy.copy(from, to));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buf).unwrap_or(0);
            while self.state.lock().unwrap().cut == Some(Cut::Silent) {
                thread::sleep(Duration::from_millis(20));
            }
            if read == 0 || to.write_all(&buf[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
