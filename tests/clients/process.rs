//! A process of the system under test, and what the kernel knows of it.

use {
    crate::{DESCRIPTORS, MACHINE_MEMORY_BYTES, SPARE_DESCRIPTORS},
    nix::sys::resource::{Resource, getrlimit, setrlimit},
    std::{
        fs,
        io::{BufRead, BufReader},
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicUsize, Ordering},
    },
};

/// Suffix of the next file of settings.
static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

/// A running process, killed when the test ends.
pub struct Process {
    child: Child,
    settings: PathBuf,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Addresses at which the process listens.
    listeners: Vec<SocketAddr>,
    /// Most bytes that waited in its sockets.
    peak_queued: usize,
    peak_descriptors: usize,
}

/// Stream of the process on which it logs that it has started.
#[derive(Clone, Copy, Debug)]
pub enum LogStream {
    Output,
    Error,
}

impl Process {
    /// Starts a subcommand with settings in which it listens at `listeners`.
    pub fn start(
        subcommand: &str,
        settings: &str,
        listeners: &[SocketAddr],
        log: LogStream,
    ) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("clients-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, settings).expect("the settings can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornmount"));
        command.args([subcommand, "--settings"]).arg(&path);
        match log {
            LogStream::Output => command.stdout(Stdio::piped()),
            LogStream::Error => command.stderr(Stdio::piped()),
        };
        // A child inherits the limit; the callers in this process need more.
        let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("the limit can be read");
        setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTORS as u64, hard)
            .expect("the limit can be lowered");
        let child = command.spawn();
        setrlimit(Resource::RLIMIT_NOFILE, hard, hard).expect("the limit can be raised");
        let mut child = child.expect("the program runs");
        let stream: Box<dyn std::io::Read + Send> = match log {
            LogStream::Output => Box::new(child.stdout.take().expect("the output is piped")),
            LogStream::Error => Box::new(child.stderr.take().expect("the errors are piped")),
        };
        let mut lines = BufReader::new(stream).lines();
        let started = lines
            .find_map(|line| Some(line.ok()?.split_once("callers=")?.1.to_owned()))
            .expect("the process logs that it started");
        std::thread::spawn(move || lines.for_each(drop));
        let callers = started.split(' ').next().unwrap_or_default().parse();
        Self {
            child,
            settings: path,
            callers: callers.expect("it is an address"),
            listeners: listeners.to_vec(),
            peak_queued: 0,
            peak_descriptors: 0,
        }
    }

    /// Records what waits in the sockets of the process, and returns it in bytes.
    pub fn observe(&mut self) -> usize {
        let queued = queued_bytes(&self.listeners);
        self.peak_queued = self.peak_queued.max(queued);
        self.peak_descriptors = self.peak_descriptors.max(self.descriptors());
        queued
    }

    /// Checks that the process lives, and has lived within its machine as far as it was observed.
    pub fn check(&mut self) {
        self.observe();
        assert!(self.lives(), "the process has ended");
        let (memory, queued) = (self.peak_memory(), self.peak_queued);
        println!("memory={memory} queued={queued} descriptors={}", self.peak_descriptors);
        assert!(
            memory + queued <= MACHINE_MEMORY_BYTES,
            "{memory} bytes of memory and {queued} in sockets"
        );
        assert!(
            self.peak_descriptors + SPARE_DESCRIPTORS <= DESCRIPTORS,
            "{} descriptors are open",
            self.peak_descriptors
        );
    }

    /// Returns whether the process has not ended.
    fn lives(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the largest resident size so far, in bytes; zero if the process has ended.
    fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|rest| rest.trim().strip_suffix(" kB")?.trim().parse().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Returns the number of open descriptors.
    fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

/// Returns how many bytes wait in the kernel's buffers of the connections to `listeners`.
fn queued_bytes(listeners: &[SocketAddr]) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let is_own = |address: &str| {
        let port = address.split(':').nth(1).and_then(|port| u16::from_str_radix(port, 16).ok());
        port.is_some_and(|port| listeners.iter().any(|own| own.port() == port))
    };
    let queues = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // Of a listener, the queue counts connections.
        let is_listener = *fields.get(3)? == "0A";
        let (sent, received) = fields.get(4)?.split_once(':')?;
        let bytes = |text| usize::from_str_radix(text, 16).ok();
        (is_own(fields[1]) && !is_listener).then_some(bytes(sent)? + bytes(received)?)
    });
    queues.sum()
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns free ports of the loopback interface.
pub fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("the listener is bound"))
}
