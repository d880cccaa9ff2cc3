//! Fleets of whole routers on top of the in-memory fakes, in virtual time.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use cadence::{NopMetricSink, StatsdClient};
use compact_str::{CompactString, format_compact};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::batch::EngineSize;
use super::fleet::{loopback, router_settings};
use super::local::{LocalNetwork, LocalNode, ProcessState};
use crate::api::DEFAULT_PRIORITY;
use crate::api::chat::{admission, choose_budget};
use crate::budget::sizing::Sizing;
use crate::clock::Clock;
use crate::config::revision::{Document, Edit, parse_edits};
use crate::config::store::{ConfigFollower, Submission, submit};
use crate::config::{Config, ServiceKind};
use crate::engine::{RunUsage, ServiceAnswer};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, Millis, OrganisationId, RequestKey, Revision, ServiceId, Tokens, ZoneId};
use crate::membership::selection::routers_for_caller;
use crate::request::runs::{Run, RunEnd};
use crate::request::stage::Repeatable;
use crate::route::picker::Policy;
use crate::router::boot::{BootOptions, BootedNode, boot};
use crate::router::drive::{ModelJob, open_run};
use crate::router::drive_call::{CallJob, open_call};

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// The zones. Each has the same number of routers and targets.
    pub zones: Vec<ZoneId>,
    /// Number of routers in each zone.
    pub routers: usize,
    /// Number of targets in each zone.
    pub targets: usize,
    /// Maximum number of runs in a target's batch.
    pub slots: usize,
    /// Time to generate one token.
    pub step_time: Duration,
    /// Age of the targets' load reports.
    pub report_lag: Duration,
    /// Models and plain services of each target.
    pub serves: Vec<String>,
    /// Overrides the sizing of grants.
    pub sizing: Option<Sizing>,
    /// Whether routers borrow tokens from each other.
    pub lending: bool,
    /// Policy for choosing targets.
    pub policy: Policy,
    /// Text of the configuration.
    pub config: String,
}

impl Default for FleetSetup {
    fn default() -> FleetSetup {
        let zones = ["a", "b", "c"].iter().map(|z| z.parse().expect("valid zones"));
        FleetSetup {
            zones: zones.collect(),
            routers: 2,
            targets: 2,
            slots: 64,
            step_time: Duration::from_millis(20),
            report_lag: Duration::from_millis(200),
            serves: vec!["m".into()],
            sizing: None,
            lending: true,
            policy: Policy::Sampled,
            config: String::new(),
        }
    }
}

/// A router of a fleet.
pub struct FleetMember {
    /// Index of the router in the network.
    pub at: usize,
    /// State of the router.
    pub node: Arc<LocalNode>,
    /// Zone of the router.
    pub zone: ZoneId,
    tasks: JoinSet<()>,
}

/// Routers, targets and a platform.
pub struct LocalFleet {
    /// The network with the targets and the platform.
    pub net: Arc<LocalNetwork>,
    /// All routers, including dead ones.
    pub members: Vec<FleetMember>,
    /// Clock of all routers.
    pub clock: Clock,
    setup: FleetSetup,
    operator: Arc<tokio::sync::Mutex<ConfigFollower>>,
    operator_config: Arc<RwLock<Config>>,
}

/// Maximum time that a caller waits for an answer from one router.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval at which a waiting caller checks whether its router has died, in which case it goes on
/// to the next one. Also the pause between two passes over all routers.
const ROUTER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl LocalFleet {
    /// Starts a fleet and waits until it can serve requests.
    ///
    /// # Errors
    /// `BadConfig` if the configuration is invalid.
    pub async fn start(setup: FleetSetup) -> Result<LocalFleet> {
        let net = LocalNetwork::new(setup.step_time, setup.report_lag);
        let size = EngineSize { slots: setup.slots, cache_blocks: 2_048 };
        let serves: Vec<&str> = setup.serves.iter().map(String::as_str).collect();
        for zone in &setup.zones {
            for i in 0..setup.targets {
                net.add_target(&format!("t-{zone}-{i}"), zone, &serves, size);
            }
        }
        net.start_engines();
        let mut fleet = LocalFleet {
            net,
            members: Vec::new(),
            clock: Clock::start(),
            setup,
            operator: Arc::default(),
            operator_config: Arc::default(),
        };
        let text = fleet.setup.config.clone();
        let edits = Document::default().diff(&Document::parse(&text));
        fleet.submit(edits).await?;
        for zone in fleet.setup.zones.clone() {
            for _ in 0..fleet.setup.routers {
                fleet.add_router(&zone).await;
            }
        }
        fleet.wait_until_settled().await;
        Ok(fleet)
    }

    /// Waits until every running router is ready and sees all others, and one more second, in which
    /// each gets a witness.
    pub async fn wait_until_settled(&self) {
        let up = || self.members.iter().filter(|p| self.net.process(p.at) == ProcessState::Up);
        let n = up().count();
        while !up().all(|p| p.node.is_ready() && p.node.live().len() >= n) {
            sleep(Duration::from_millis(50)).await;
        }
        sleep(Duration::from_millis(1_000)).await;
    }

    /// Adds a router in a zone. Returns its index in `members`.
    pub async fn add_router(&mut self, zone: &ZoneId) -> usize {
        let n = self.members.len();
        let peer = format_compact!("peer-{n}");
        let (at, platform, engine, peer_client) = self.net.add_router(&peer, zone);
        let mut settings = router_settings(loopback(), &format!("r{n}"), zone);
        settings.heartbeat = Millis(200);
        let booted = boot(BootOptions {
            settings,
            platform,
            engine,
            peer_client,
            clock: self.clock,
            api: format_compact!("api-{n}"),
            peer,
            policy: self.setup.policy,
            sizing: self.setup.sizing,
            lending: self.setup.lending,
            metrics: StatsdClient::from_sink("local", NopMetricSink),
        })
        .await;
        let BootedNode { node, peer_handler, tasks } = booted;
        self.net.set_answers(at, peer_handler);
        self.members.push(FleetMember { at, node, zone: zone.clone(), tasks });
        n
    }

    /// Kills a router. Calls through its handles never return.
    pub fn kill(&mut self, n: usize) {
        self.net.set_process(self.members[n].at, ProcessState::Dead);
        self.members[n].tasks.abort_all();
    }

    /// Indexes of the running routers in `members`.
    pub fn up(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|n| self.net.process(self.members[*n].at) == ProcessState::Up)
            .collect()
    }

    /// The operator's copy of the configuration.
    pub fn config(&self) -> Config {
        self.operator_config.read().expect("never poisoned").clone()
    }

    /// Submits edits as the operator.
    ///
    /// # Errors
    /// As [`submit`].
    pub async fn submit(&self, edits: Vec<Edit>) -> Result<Revision> {
        let mut follower = self.operator.lock().await;
        let base = follower.head().revision;
        let id = CompactString::from(format!("operator-{}", base.0));
        let submission = Submission { id, base, edits, merge: false };
        submit(&self.net.memory, &mut follower, &self.operator_config, &submission).await
    }

    /// Submits the text of edited sections as the operator.
    ///
    /// # Errors
    /// As [`submit`].
    pub async fn submit_text(&self, text: &str) -> Result<Revision> {
        self.submit(parse_edits(text)).await
    }

    /// A caller with its own list of the current routers, which stays usable when the fleet
    /// changes.
    pub fn caller(&self) -> LocalCaller {
        let routers = self.members.iter().map(|p| (p.at, p.node.clone())).collect();
        LocalCaller { net: self.net.clone(), routers, reachable_zone: None, random_start: true }
    }

    /// Kills all routers and closes the network.
    pub fn close(&mut self) {
        (0..self.members.len()).for_each(|n| self.kill(n));
        self.net.close();
    }
}

/// Sends requests to the routers of a fleet, as callers do.
#[derive(Clone)]
pub struct LocalCaller {
    net: Arc<LocalNetwork>,
    routers: Vec<(usize, Arc<LocalNode>)>,
    /// The only zone whose routers the caller can reach; all zones if absent.
    pub reachable_zone: Option<ZoneId>,
    /// Whether the caller starts at a random router of an entry answer instead of the first one.
    pub random_start: bool,
}

/// A model request.
#[derive(Clone, Debug)]
pub struct LocalRequest {
    /// Organisation that sends the request.
    pub organisation: OrganisationId,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u64,
}

/// A complete answer as a caller receives it.
#[derive(Clone, Debug)]
pub struct LocalAnswer {
    /// Tokens used.
    pub usage: RunUsage,
    /// Text of the answer.
    pub text: String,
    /// Time to the first token.
    pub first: Duration,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Number of attempts, over all routers.
    pub attempts: usize,
}

impl LocalCaller {
    /// Indexes of the routers to try: first those of an entry answer for the organisation, then all
    /// others.
    pub fn routers_to_try(&self, organisation: &OrganisationId) -> Vec<usize> {
        let mut out = Vec::new();
        for (at, node) in &self.routers {
            if self.net.process(*at) != ProcessState::Up {
                continue;
            }
            let width = node.cfg.read().expect("never poisoned").fleet.entry_width as usize;
            let entry_routers = routers_for_caller(&node.live(), organisation, width, None);
            let position_of = |peer: &str| {
                self.routers.iter().position(|(_, n)| n.lock_view().local_router().peer == peer)
            };
            out = entry_routers.iter().filter_map(|e| position_of(&e.peer)).collect();
            if self.random_start && !out.is_empty() {
                let n = fastrand::usize(..out.len());
                out.rotate_left(n);
            }
            break;
        }
        let rest: Vec<usize> = (0..self.routers.len()).filter(|i| !out.contains(i)).collect();
        out.extend(rest);
        let zone = |i: &usize| self.routers[*i].1.settings.zone.clone();
        out.retain(|i| self.reachable_zone.as_ref().is_none_or(|z| *z == zone(i)));
        out
    }

    /// The job for a request, with its maximum cost, and the budget that pays for it.
    ///
    /// # Errors
    /// `NotFound` if the service or the organisation does not exist.
    pub fn job(
        &self,
        node: &LocalNode,
        service: &str,
        req: &LocalRequest,
    ) -> Result<(ModelJob, crate::ids::BudgetId)> {
        let cfg = node.cfg.read().expect("never poisoned");
        let not_found = || Error::new(Kind::NotFound, "no such service or organisation");
        let service = cfg.service(&service.parse::<ServiceId>()?).ok_or_else(not_found)?;
        let org = cfg.organisation(&req.organisation).ok_or_else(not_found)?;
        let ServiceKind::Model { model, bytes_per_token, .. } = &service.kind else {
            return Err(not_found());
        };
        let prompt_tokens = (req.prompt.len() as u64).div_ceil(*bytes_per_token);
        let job = ModelJob {
            admission: admission(org, service, DEFAULT_PRIORITY),
            model: model.clone(),
            prompt: req.prompt.clone(),
            max_tokens: req.max_tokens,
            amount: Tokens(prompt_tokens).plus(Tokens(req.max_tokens)),
            deadline: service.deadline.duration(),
            key_from_caller: true,
        };
        Ok((job, choose_budget(&cfg, org, service, None)?))
    }

    /// Sends a request to one router.
    ///
    /// # Errors
    /// The router's refusal, or `Io` if the router dies.
    pub async fn send_to(
        &self,
        i: usize,
        service: &str,
        req: &LocalRequest,
    ) -> Result<LocalAnswer> {
        let (at, node) = &self.routers[i];
        self.reachable(*at)?;
        let started = Instant::now();
        let (job, budget) = self.job(node, service, req)?;
        let content = Digest::of(req.prompt.as_bytes());
        let new = Run::new(req.organisation.clone(), req.key.clone(), content, budget);
        let run = open_run(node, new, job)?;
        let mut first = None;
        let end = self.wait(*at, &run, || {
            first.get_or_insert_with(|| started.elapsed());
        });
        match end.await? {
            RunEnd::Complete(usage, _) => {
                let total = started.elapsed();
                if let Some((id, target)) = run.execution() {
                    log::info!(
                        "caller=answered key={} run={id} target={target} tokens={}",
                        run.key,
                        usage.tokens
                    );
                }
                let text = run.tokens().concat();
                Ok(LocalAnswer { usage, text, first: first.unwrap_or(total), total, attempts: 1 })
            }
            RunEnd::Failed(e) => Err(e),
            RunEnd::Service(_) => Err(Error::new(Kind::KeyReused, "the key belongs to a call")),
        }
    }

    fn reachable(&self, at: usize) -> Result<()> {
        match self.net.process(at) {
            ProcessState::Up => Ok(()),
            _ => Err(Error::new(Kind::Io, "the router is not running")),
        }
    }

    async fn wait(&self, at: usize, run: &Run, mut progress: impl FnMut()) -> Result<RunEnd> {
        let mut rx = run.follow();
        let until = Instant::now() + ATTEMPT_TIMEOUT;
        while Instant::now() < until {
            rx.borrow_and_update();
            if !run.is_empty() {
                progress();
            }
            if let Some(end) = run.view(usize::MAX).end {
                return Ok(end);
            }
            self.reachable(at)?;
            // Wakes up on a change of the run, or after the timeout to check the router.
            let _ = timeout(ROUTER_CHECK_INTERVAL, rx.changed()).await;
        }
        Err(Error::new(Kind::Timeout, "the request did not end in time"))
    }

    /// Sends a request with the same key to one router after the other, until one answers or
    /// refuses in a way that must not be retried.
    ///
    /// # Errors
    /// The last error.
    pub async fn send(
        &self,
        service: &str,
        req: &LocalRequest,
        max_wait: Duration,
    ) -> Result<LocalAnswer> {
        let started = Instant::now();
        let mut last = Error::new(Kind::Io, "no router is up");
        let mut attempts = 0;
        while started.elapsed() < max_wait {
            for i in self.routers_to_try(&req.organisation) {
                attempts += 1;
                match self.send_to(i, service, req).await {
                    Ok(a) => return Ok(LocalAnswer { attempts, ..a }),
                    Err(e) if e.kind == Kind::BudgetExhausted => return Err(e),
                    Err(e) if e.kind != Kind::Io && !e.kind.attrs().retryable => return Err(e),
                    Err(e) => last = e,
                }
                if attempts >= MAX_ATTEMPTS {
                    return Err(last);
                }
            }
            sleep(ROUTER_CHECK_INTERVAL).await;
        }
        Err(last)
    }

    /// Calls a plain service at one router.
    ///
    /// # Errors
    /// The router's refusal, or `Io` if the router dies.
    pub async fn call_at(
        &self,
        i: usize,
        service: &str,
        organisation: &OrganisationId,
        key: &RequestKey,
        repeatable: Repeatable,
    ) -> Result<ServiceAnswer> {
        let (at, node) = &self.routers[i];
        self.reachable(*at)?;
        let (job, budget) = {
            let cfg = node.cfg.read().expect("never poisoned");
            let not_found = || Error::new(Kind::NotFound, "no such service or organisation");
            let service = cfg.service(&service.parse::<ServiceId>()?).ok_or_else(not_found)?;
            let org = cfg.organisation(organisation).ok_or_else(not_found)?;
            let ServiceKind::Plain { cost, .. } = &service.kind else { return Err(not_found()) };
            let job = CallJob {
                admission: admission(org, service, DEFAULT_PRIORITY),
                path: "file".into(),
                body: "body".into(),
                cost: *cost,
                repeatable,
                deadline: service.deadline.duration(),
            };
            (job, choose_budget(&cfg, org, service, None)?)
        };
        let new = Run::new(organisation.clone(), key.clone(), Digest::of(b"body"), budget);
        let run = open_call(node, new, job)?;
        match self.wait(*at, &run, || {}).await? {
            RunEnd::Service(a) => Ok(a),
            RunEnd::Failed(e) => Err(e),
            RunEnd::Complete(..) => {
                Err(Error::new(Kind::KeyReused, "the key belongs to a request"))
            }
        }
    }
}

/// Maximum number of attempts of a caller for one request.
const MAX_ATTEMPTS: usize = 6;
