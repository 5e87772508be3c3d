//! A proxy before an engine, which can cut the path as a network that drops everything does.
//!
//! During the cut no byte and no end of a connection passes in either direction, and new connections get no answer. Afterwards what
//! was held up arrives, as with TCP after a partition. A reset by a sender loses what was held up.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Connections that wait at the proxy for a moment; small, so that it can be filled during a cut.
const BACKLOG: i32 = 16;

/// The proxy.
pub struct Proxy {
    /// Address that boxes connect to.
    pub address: SocketAddr,
    is_cut: Mutex<bool>,
    healed: Condvar,
}

impl Proxy {
    /// Starts a proxy at a free port of `ip` before `target`.
    pub fn start(ip: std::net::Ipv4Addr, target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        // SAFETY: the call has no memory effects; the socket is open.
        unsafe { listen(listener.as_raw_fd(), BACKLOG) };
        listener.set_nonblocking(true).expect("the socket is open");
        let address = listener.local_addr().expect("it is bound");
        let proxy = Arc::new(Proxy {
            address,
            is_cut: Mutex::new(false),
            healed: Condvar::new(),
        });
        let serving = proxy.clone();
        thread::spawn(move || {
            loop {
                serving.wait_until_healed();
                match listener.accept() {
                    Ok((stream, _)) => serving.clone().forward(stream, target),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        proxy
    }

    fn wait_until_healed(&self) {
        let mut is_cut = self.is_cut.lock().expect("no thread panics with it");
        while *is_cut {
            is_cut = self.healed.wait(is_cut).expect("no thread panics with it");
        }
    }

    /// Cuts the path. Returns the connections that fill the queue of the listener, so that it answers no others; they are dropped at
    /// the end of the cut.
    pub fn cut(&self) -> Vec<TcpStream> {
        *self.is_cut.lock().expect("no thread panics with it") = true;
        thread::sleep(Duration::from_millis(5));
        let mut held = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(40))
        {
            held.push(stream);
            if held.len() > 4 * BACKLOG as usize {
                break;
            }
        }
        held
    }

    /// Ends the cut.
    pub fn heal(&self, held: Vec<TcpStream>) {
        drop(held);
        *self.is_cut.lock().expect("no thread panics with it") = false;
        self.healed.notify_all();
    }

    fn forward(self: Arc<Self>, from_box: TcpStream, target: SocketAddr) {
        thread::spawn(move || {
            from_box.set_nonblocking(false).expect("the socket is open");
            let Ok(to_engine) = TcpStream::connect(target) else {
                // A dead port resets.
                return reset(&from_box);
            };
            let copies = (from_box.try_clone(), to_engine.try_clone());
            let (Ok(to_box), Ok(from_engine)) = copies else {
                return;
            };
            let back = self.clone();
            thread::spawn(move || back.pump(from_engine, to_box));
            self.pump(from_box, to_engine);
        });
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = to.set_nodelay(true);
        let mut buf = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buf);
            self.wait_until_healed();
            match read {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if to.write_all(&buf[..count]).is_ok() => {}
                Ok(_) => return drop(from.shutdown(Shutdown::Both)),
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(_) => return reset(&to),
            }
        }
    }
}

/// Resets a connection.
fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32)
        -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the value is valid for its length; the socket is open.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            &linger,
            size_of::<Linger>() as u32,
        )
    };
    let _ = stream.shutdown(Shutdown::Both);
}
