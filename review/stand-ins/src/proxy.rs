//! A proxy that can be cut: it then refuses connections and resets those that are open.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    cut: bool,
    open: Vec<TcpStream>,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Forwards connections to an address.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let proxy = Self {
            address,
            state: Arc::default(),
        };
        let serving = proxy.clone();
        std::thread::spawn(move || serving.run(listener, to));
        proxy
    }

    /// Cuts the path, or heals it.
    pub fn set_cut(&self, cut: bool) {
        let mut state = self.state.lock().unwrap();
        state.cut = cut;
        if cut {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn run(&self, listener: TcpListener, to: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.state.lock().unwrap().cut {
                // Without a listener, the system refuses connections.
                listener = None;
                std::thread::sleep(Duration::from_millis(10));
                continue;
            }
            let bound = listener
                .take()
                .or_else(|| TcpListener::bind(self.address).ok());
            let Some(bound) = bound else {
                std::thread::sleep(Duration::from_millis(10));
                continue;
            };
            let _ = bound.set_nonblocking(true);
            match bound.accept() {
                Ok((stream, _)) => self.forward(stream, to),
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
            listener = Some(bound);
        }
    }

    fn forward(&self, from: TcpStream, to: SocketAddr) {
        let _ = from.set_nonblocking(false);
        let Ok(target) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            return;
        };
        let (Ok(from_too), Ok(target_too)) = (from.try_clone(), target.try_clone()) else {
            return;
        };
        let mut state = self.state.lock().unwrap();
        if state.cut {
            return;
        }
        state.open.extend(from.try_clone().ok());
        state.open.extend(target.try_clone().ok());
        drop(state);
        std::thread::spawn(move || pump(from, target));
        std::thread::spawn(move || pump(target_too, from_too));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream) {
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16 * 1024];
    while let Ok(n) = from.read(&mut chunk) {
        if n == 0 || to.write_all(&chunk[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
