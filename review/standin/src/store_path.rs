//! The path from one of the system's processes to the store, which can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::world::CantRun;

/// A proxy between a process and the store. While it is cut, it resets the open connections and
/// each new one.
pub struct StorePath {
    pub address: String,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl StorePath {
    pub fn open(store: &str) -> Result<Self, CantRun> {
        let failed = |error: std::io::Error| CantRun(error.to_string());
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?.to_string();
        let is_cut = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let path = Self {
            address,
            is_cut: is_cut.clone(),
            open: open.clone(),
        };
        let store = store.to_owned();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(&store) else {
                    continue;
                };
                let copies = (
                    client.try_clone(),
                    server.try_clone(),
                    client.try_clone(),
                    server.try_clone(),
                );
                let (Ok(client_in), Ok(server_in), Ok(client_kept), Ok(server_kept)) = copies
                else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                open.lock().unwrap().extend([client_kept, server_kept]);
                thread::spawn(move || copy(client_in, server));
                thread::spawn(move || copy(server_in, client));
            }
        });
        Ok(path)
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 65_536];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
