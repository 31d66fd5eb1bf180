//! The project's own program, started as the deploy file says, with settings like those of a small
//! deployment.

use {
    crate::{
        server::{self, Link},
        store::Store,
    },
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        os::unix::process::CommandExt,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Command of the deploy file.
const PROGRAM: &str = "target/release/hawthornmount";
const ROLE: &str = "gateway";

/// Zones and regions of the small deployments.
pub const ZONES: [&str; 3] = ["attica-a", "macedonia-a", "crete-a"];

/// A machine with its process.
pub struct Machine {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub links: Vec<Link>,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Returns an address that is free, below the ports that the system gives to connections.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 97;
        let port = 10_000 + (number % 22_000) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl Machine {
    /// Starts a machine of a zone; `servers` are the addresses of the servers, to which it has links of
    /// its own.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: &Store,
        servers: &[SocketAddr],
    ) -> Self {
        let links: Vec<Link> = servers.iter().map(|address| Link::start(*address)).collect();
        let shown = servers.iter().zip(&links).map(|(real, link)| (*real, link.address)).collect();
        let store = store.listen(shown);
        let (callers, readiness, peers, neighbours) =
            (free_port(), free_port(), free_port(), free_port());
        let settings = folder.join(format!("{name}.jsonc"));
        let text = format!(
            r#"{{
  "instance": "{name}", "data_centre": "{zone}",
  "regions": {{"attica-a":"attica","macedonia-a":"macedonia","crete-a":"crete"}},
  "callers": "{callers}", "readiness": "{readiness}", "peers": "{peers}",
  "neighbours": "{neighbours}", "store": "{store}",
  "revocation_ms": 5000, "propagation_ms": 2500,
  "requirements": ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"],
  "registration_interval_ms": 1200,
  "allowed_exposure": 0.15, "exposure_slack": 30,
  "retries": {{ "ratio": 0.9, "slack": 58, "window_ms": 10000 }},
  "grace_ms": 8000, "memory_mb": 260, "file_descriptors": 4100, "log": "info"
}}
"#
        );
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("{name}.log"));
        let name = name.to_owned();
        let mut machine = Self { name, callers, readiness, links, settings, log, process: None };
        machine.run();
        machine
    }

    /// Starts the process.
    pub fn run(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("the log can be written");
        let mut command = Command::new(PROGRAM);
        // It ends with this process, however that ends.
        unsafe { command.pre_exec(server::end_with_parent) };
        let process = command
            .arg(ROLE)
            .env("HAWTHORNMOUNT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.process = Some(process.unwrap_or_else(|error| panic!("{PROGRAM}: {error}")));
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            server::signal(process.id(), 18);
            process.kill().ok();
            process.wait().ok();
        }
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = crate::http::call(self.readiness, head, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            assert!(Instant::now() < until, "{} does not get ready", self.name);
            thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
