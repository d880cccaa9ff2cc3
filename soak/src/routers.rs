//! Runs routers as separate processes: starts, signals and ends them. Signals are sent only to
//! processes that were started here, by their ids.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use crate::zones::REGIONS;
use compact_str::{CompactString, format_compact};
use eyre::{Result, WrapErr};
use kingcupwall::http1::Conn;
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Seconds between SIGTERM and the forced end of a router.
pub const STOP_GRACE_S: u64 = 8;
/// Maximum number of checks whether a process listens, and the pause between two checks.
const LISTEN_POLLS: u32 = 200;
const LISTEN_POLL_PAUSE: Duration = Duration::from_millis(10);
/// Timeout of a readiness check, and the maximum size of its response head, in bytes.
const READY_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Ports of a router. They are the same for all routers, because each has its own IP address.
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const DIRECTORY_PORT: u16 = 8224;

/// One router: its settings and log, and its process while one runs.
pub struct RouterProcess {
    /// The router's name, as in its settings.
    pub name: CompactString,
    /// The router's IP address.
    pub ip: CompactString,
    /// The router's availability zone.
    pub zone: CompactString,
    settings: PathBuf,
    log: PathBuf,
    daemon: PathBuf,
    child: Option<Child>,
}

impl RouterProcess {
    /// Writes the settings of a router that reaches the store at `store`. Does not start a process.
    ///
    /// # Errors
    /// Fails if the settings file cannot be written.
    pub fn new(
        dir: &Path,
        daemon: &Path,
        ip: &str,
        n: u8,
        zone: &str,
        store: SocketAddr,
    ) -> Result<RouterProcess> {
        let name = format_compact!("router-{n}");
        let settings = dir.join(format!("{name}.yaml"));
        let text = format!(
            "node: {name}\nrole: router\nip: {ip}\nzone: {zone}\nlisten:\n  front: {ip}:{FRONT_PORT}\n  \
             ready: {ip}:{READY_PORT}\n  directory: {ip}:{DIRECTORY_PORT}\ninternal_ports: [7340, 7355]\n\
             limits: {{ memory_mb: 110, max_fds: 4100, cpu_share: 0.25, link_mbps: 1000 }}\n\
             bounds: {{ grace_s: {STOP_GRACE_S}, retry_budget_ratio: 0.2, retry_slack: 52, contact_ms: 3000,\n  \
             cold_over: 1.5, cold_slack: 5 }}\nzones: {REGIONS}\n\
             platform: {{ address: \"{store}\" }}\n"
        );
        std::fs::write(&settings, text).wrap_err("failed to write the router's settings file")?;
        Ok(RouterProcess {
            log: dir.join(format!("{name}.log")),
            name,
            ip: ip.into(),
            zone: zone.into(),
            settings,
            daemon: daemon.into(),
            child: None,
        })
    }

    /// The address that callers connect to.
    pub fn front_addr(&self) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.ip)
            .parse()
            .expect("an IP address and a port form a socket address")
    }

    /// The address of the router's directory, which lists the routers that callers should use.
    pub fn directory_addr(&self) -> SocketAddr {
        format!("{}:{DIRECTORY_PORT}", self.ip)
            .parse()
            .expect("an IP address and a port form a socket address")
    }

    /// Whether a process was started and not ended by this object.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Starts a process that appends its output to the log.
    ///
    /// # Errors
    /// Fails if the log cannot be opened or the daemon cannot be started.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.daemon)
            .env("KINGCUPWALL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| self.daemon.display().to_string())?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if one runs.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // The process may have ended in the meantime.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until the process listens, or until the checks are used up. A listening process
    /// handles every signal; no program can before its own code runs.
    pub async fn wait_until_listening(&self) {
        for _ in 0..LISTEN_POLLS {
            if self.is_listening().await {
                return;
            }
            sleep(LISTEN_POLL_PAUSE).await;
        }
    }

    /// Whether the process accepts connections at its directory address.
    pub async fn is_listening(&self) -> bool {
        TcpStream::connect(self.directory_addr()).await.is_ok()
    }

    /// Whether the process reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let addr = format!("{}:{READY_PORT}", self.ip)
            .parse()
            .expect("an IP address and a port form a socket address");
        let probe = async {
            let mut conn = Conn::dial(addr, READY_TIMEOUT).await.ok()?;
            conn.write(b"GET /readyz HTTP/1.1\r\nHost: router\r\n\r\n").await.ok()?;
            conn.read_response(MAX_HEAD_BYTES).await.ok()
        };
        timeout(READY_TIMEOUT, probe).await.is_ok_and(|head| head.is_some_and(|h| h.status == 200))
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself.
            let _ = child.kill().await;
        }
    }

    /// Sends SIGTERM to the process and kills it after the grace period. Returns whether it ended
    /// by itself in time.
    pub async fn stop(&mut self) -> bool {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return true };
        let ended = timeout(Duration::from_secs(STOP_GRACE_S), child.wait()).await.is_ok();
        if !ended {
            let _ = child.kill().await;
        }
        ended
    }

    /// The exit status of a process that ended without being killed or stopped.
    pub fn unexpected_exit(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }
}
