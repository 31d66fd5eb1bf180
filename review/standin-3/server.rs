//! Stand-in of a server of a plain service, and the link of one machine to a server.

use {
    crate::http::{self, Message},
    std::{
        io::{BufReader, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        os::fd::AsRawFd,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Instant,
    },
};

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub service: String,
    pub server: String,
    pub id: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Answers a request that was run: status line, further headers and body.
pub type Behaviour = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Starts a server. `behave` writes the answer, and returns whether the connection stays open.
pub fn start(service: &str, server: &str, runs: Runs, behave: Behaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (service, server) = (service.to_owned(), server.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (service, server) = (service.clone(), server.clone());
            let (runs, behave) = (runs.clone(), behave.clone());
            thread::spawn(move || serve(stream, &service, &server, &runs, &behave));
        }
    });
    address
}

fn serve(stream: TcpStream, service: &str, server: &str, runs: &Runs, behave: &Behaviour) {
    let Ok(mut writer) = stream.try_clone() else { return };
    writer.set_nodelay(true).ok();
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut request)) = http::read_head(&mut reader) {
        http::read_body(&mut reader, &mut request, false);
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request.header("x-expected-instance").is_some_and(|name| name != server) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
                 X-Instance: {server}\r\nContent-Length: 0\r\n\r\n"
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        runs.lock().unwrap().push(Run {
            at: Instant::now(),
            service: service.to_owned(),
            server: server.to_owned(),
            id,
        });
        if !behave(&request, &mut writer) {
            return;
        }
    }
}

/// Returns an answer with the seal and the whole body.
pub fn sealed(request: &Message, status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {}\r\nX-Response-Seal: seal.{}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        request.header("x-attempt-id").unwrap_or(""),
        body.len(),
        body.len()
    )
    .into_bytes()
}

/// Link of one machine to one server. While it is cut, its connections are reset and new ones refused.
pub struct Link {
    pub address: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link = Self { address, target, is_cut: Arc::default(), open: Arc::default() };
        link.accept(listener);
        link
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener that does not block");
        let (target, is_cut, open) = (self.target, self.is_cut.clone(), self.open.clone());
        thread::spawn(move || {
            while !is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((near, _)) => {
                        near.set_nonblocking(false).ok();
                        let Ok(far) = TcpStream::connect(target) else { continue };
                        near.set_nodelay(true).ok();
                        far.set_nodelay(true).ok();
                        let mut open = open.lock().unwrap();
                        for (from, to) in [(&near, &far), (&far, &near)] {
                            if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                                thread::spawn(move || pump(from, to));
                            }
                        }
                        open.push(near);
                        open.push(far);
                    }
                    Err(_) => thread::sleep(std::time::Duration::from_millis(2)),
                }
            }
        });
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(std::time::Duration::from_millis(20));
        for stream in self.open.lock().unwrap().drain(..) {
            abort(&stream);
        }
    }

    pub fn heal(&self) {
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.is_cut.store(false, Ordering::SeqCst);
                return self.accept(listener);
            }
            thread::sleep(std::time::Duration::from_millis(20));
        }
        panic!("the link can't be opened again");
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(0) => {
                to.shutdown(Shutdown::Write).ok();
                return;
            }
            Ok(length) if to.write_all(&buffer[..length]).is_ok() => {}
            // A reset goes through.
            _ => {
                abort(&to);
                return abort(&from);
            }
        }
    }
}

unsafe extern "C" {
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Lets the calling process be killed when its parent ends.
pub fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe { prctl(PR_SET_PDEATHSIG, 9, 0, 0, 0) };
    Ok(())
}

/// Resets a connection at once.
pub fn abort(stream: &TcpStream) {
    // An address without a family ends the connection.
    let nowhere = [0_u8; 16];
    unsafe { connect(stream.as_raw_fd(), nowhere.as_ptr(), 16) };
}

/// Sends a signal to a process that the test started.
pub fn signal(process: u32, number: i32) {
    unsafe { kill(process as i32, number) };
}

/// Lets a listener take no more connections than one.
pub fn no_backlog(socket: i32) {
    unsafe { listen(socket, 0) };
}
