//! Whole routers over in-memory fakes, in virtual time.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use cadence::{NopMetricSink, StatsdClient};
use compact_str::{CompactString, format_compact};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::batch::BatchSize;
use super::fleet::{loopback, router_settings};
use super::local::{LocalNode, Net, Process};
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

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Zones; each gets a target and a router count.
    pub zones: Vec<ZoneId>,
    /// Routers in each zone.
    pub routers: usize,
    /// Targets in each zone.
    pub targets: usize,
    /// Places in a target's batch.
    pub slots: usize,
    /// Time of one token.
    pub pace: Duration,
    /// Age of load reports.
    pub report_lag: Duration,
    /// What targets serve.
    pub serves: Vec<String>,
    /// Overrides the sizing of grants.
    pub sizing: Option<Sizing>,
    /// Whether routers borrow.
    pub lending: bool,
    /// How targets are chosen.
    pub policy: Policy,
    /// The configuration.
    pub config: String,
}

impl Default for Setup {
    fn default() -> Setup {
        let zones = ["a", "b", "c"].iter().map(|z| z.parse().expect("valid zones"));
        Setup {
            zones: zones.collect(),
            routers: 2,
            targets: 2,
            slots: 64,
            pace: Duration::from_millis(20),
            report_lag: Duration::from_millis(200),
            serves: vec!["m".into()],
            sizing: None,
            lending: true,
            policy: Policy::Sampled,
            config: String::new(),
        }
    }
}

/// A router's place in the fleet.
pub struct Place {
    /// Its place in the net.
    pub at: usize,
    /// Its state.
    pub node: Arc<LocalNode>,
    /// Its zone.
    pub zone: ZoneId,
    tasks: JoinSet<()>,
}

/// Routers, targets and a platform.
pub struct LocalFleet {
    /// Everything between them.
    pub net: Arc<Net>,
    /// The routers, dead ones too.
    pub places: Vec<Place>,
    /// Time.
    pub clock: Clock,
    setup: Setup,
    operator: Arc<tokio::sync::Mutex<ConfigFollower>>,
    operator_cfg: Arc<RwLock<Config>>,
}

/// Time for a caller's attempt at one router.
const ATTEMPT: Duration = Duration::from_secs(120);
/// Silence of a dead router after which a caller goes to the next.
const CALLER_NOTICES: Duration = Duration::from_millis(200);

impl LocalFleet {
    /// Starts a fleet and waits until it can serve.
    ///
    /// # Errors
    /// `BadConfig` for the configuration.
    pub async fn start(setup: Setup) -> Result<LocalFleet> {
        let net = Net::new(setup.pace, setup.report_lag);
        let size = BatchSize { slots: setup.slots, cache_blocks: 2_048 };
        let serves: Vec<&str> = setup.serves.iter().map(String::as_str).collect();
        for zone in &setup.zones {
            for i in 0..setup.targets {
                net.add_target(&format!("t-{zone}-{i}"), zone, &serves, size);
            }
        }
        net.start_engines();
        let mut fleet = LocalFleet {
            net,
            places: Vec::new(),
            clock: Clock::start(),
            setup,
            operator: Arc::default(),
            operator_cfg: Arc::default(),
        };
        let text = fleet.setup.config.clone();
        let edits = Document::default().diff(&Document::parse(&text));
        fleet.submit(edits).await?;
        for zone in fleet.setup.zones.clone() {
            for _ in 0..fleet.setup.routers {
                fleet.add_router(&zone).await;
            }
        }
        fleet.settle().await;
        Ok(fleet)
    }

    /// Waits until every living router is ready, sees all others and has a witness.
    pub async fn settle(&self) {
        let up = || self.places.iter().filter(|p| self.net.process(p.at) == Process::Up);
        let n = up().count();
        while !up().all(|p| p.node.is_ready() && p.node.live().len() >= n) {
            sleep(Duration::from_millis(50)).await;
        }
        sleep(Duration::from_millis(1_000)).await;
    }

    /// Adds a router in a zone.
    pub async fn add_router(&mut self, zone: &ZoneId) -> usize {
        let n = self.places.len();
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
        self.places.push(Place { at, node, zone: zone.clone(), tasks });
        n
    }

    /// Kills a router: its handles never come back to it.
    pub fn kill(&mut self, n: usize) {
        self.net.set_process(self.places[n].at, Process::Dead);
        self.places[n].tasks.abort_all();
    }

    /// Routers that are up.
    pub fn up(&self) -> Vec<usize> {
        (0..self.places.len())
            .filter(|n| self.net.process(self.places[*n].at) == Process::Up)
            .collect()
    }

    /// The configuration as its operator knows it.
    pub fn config(&self) -> Config {
        self.operator_cfg.read().expect("never poisoned").clone()
    }

    /// Hands in edits as an operator.
    ///
    /// # Errors
    /// As [`submit`].
    pub async fn submit(&self, edits: Vec<Edit>) -> Result<Revision> {
        let mut follower = self.operator.lock().await;
        let base = follower.head().revision;
        let id = CompactString::from(format!("operator-{}", base.0));
        let submission = Submission { id, base, edits, merge: false };
        submit(&self.net.memory, &mut follower, &self.operator_cfg, &submission).await
    }

    /// Hands in the text of edited sections.
    ///
    /// # Errors
    /// As [`submit`].
    pub async fn submit_text(&self, text: &str) -> Result<Revision> {
        self.submit(parse_edits(text)).await
    }

    /// A caller that does not depend on the fleet staying as it is.
    pub fn caller(&self) -> LocalCaller {
        let routers = self.places.iter().map(|p| (p.at, p.node.clone())).collect();
        LocalCaller { net: self.net.clone(), routers, only: None, spread: true }
    }

    /// Ends everything.
    pub fn close(&mut self) {
        (0..self.places.len()).for_each(|n| self.kill(n));
        self.net.close();
    }
}

/// Sends requests to the routers of a fleet, as callers do.
#[derive(Clone)]
pub struct LocalCaller {
    net: Arc<Net>,
    routers: Vec<(usize, Arc<LocalNode>)>,
    /// The caller can reach only this zone's routers.
    pub only: Option<ZoneId>,
    /// The caller starts at any of the routers named to it.
    pub spread: bool,
}

/// A model request.
#[derive(Clone, Debug)]
pub struct LocalRequest {
    /// Who asks.
    pub organisation: OrganisationId,
    /// Under which key.
    pub key: RequestKey,
    /// What.
    pub prompt: String,
    /// Answer tokens at most.
    pub max_tokens: u64,
}

/// A whole answer as a caller got it.
#[derive(Clone, Debug)]
pub struct LocalAnswer {
    /// What it cost.
    pub usage: RunUsage,
    /// Its text.
    pub text: String,
    /// Time to the first token.
    pub first: Duration,
    /// Time of the whole.
    pub total: Duration,
    /// Routers asked.
    pub attempts: usize,
}

impl LocalCaller {
    /// Routers to try, best first, as an entry answer would give them; and all others after.
    pub fn route(&self, organisation: &OrganisationId) -> Vec<usize> {
        let mut out = Vec::new();
        for (at, node) in &self.routers {
            if self.net.process(*at) != Process::Up {
                continue;
            }
            let width = node.cfg.read().expect("never poisoned").fleet.entry_width as usize;
            let named = routers_for_caller(&node.live(), organisation, width, None);
            let place = |peer: &str| {
                self.routers.iter().position(|(_, n)| n.lock_view().local_router().peer == peer)
            };
            out = named.iter().filter_map(|e| place(&e.peer)).collect();
            if self.spread && !out.is_empty() {
                let n = fastrand::usize(..out.len());
                out.rotate_left(n);
            }
            break;
        }
        let rest: Vec<usize> = (0..self.routers.len()).filter(|i| !out.contains(i)).collect();
        out.extend(rest);
        let zone = |i: &usize| self.routers[*i].1.settings.zone.clone();
        out.retain(|i| self.only.as_ref().is_none_or(|z| *z == zone(i)));
        out
    }

    /// What a request may cost at most.
    ///
    /// # Errors
    /// `NotFound` for a service that is not there.
    pub fn job(
        &self,
        node: &LocalNode,
        service: &str,
        req: &LocalRequest,
    ) -> Result<(ModelJob, crate::ids::BudgetId)> {
        let cfg = node.cfg.read().expect("never poisoned");
        let none = || Error::new(Kind::NotFound, "no such service or organisation");
        let service = cfg.service(&service.parse::<ServiceId>()?).ok_or_else(none)?;
        let org = cfg.organisation(&req.organisation).ok_or_else(none)?;
        let ServiceKind::Model { model, bytes_per_token, .. } = &service.kind else {
            return Err(none());
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
    /// The refusal; `Io` when the router dies.
    pub async fn send_to(
        &self,
        i: usize,
        service: &str,
        req: &LocalRequest,
    ) -> Result<LocalAnswer> {
        let (at, node) = &self.routers[i];
        self.reachable(*at)?;
        let began = Instant::now();
        let (job, budget) = self.job(node, service, req)?;
        let content = Digest::of(req.prompt.as_bytes());
        let new = Run::new(req.organisation.clone(), req.key.clone(), content, budget);
        let run = open_run(node, new, job)?;
        let mut first = None;
        let end = self.wait(*at, &run, || {
            first.get_or_insert_with(|| began.elapsed());
        });
        match end.await? {
            RunEnd::Complete(usage, _) => {
                let total = began.elapsed();
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
            Process::Up => Ok(()),
            _ => Err(Error::new(Kind::Io, "the router does not answer")),
        }
    }

    async fn wait(&self, at: usize, run: &Run, mut progress: impl FnMut()) -> Result<RunEnd> {
        let mut rx = run.follow();
        let until = Instant::now() + ATTEMPT;
        while Instant::now() < until {
            rx.borrow_and_update();
            if !run.is_empty() {
                progress();
            }
            if let Some(end) = run.view(usize::MAX).end {
                return Ok(end);
            }
            self.reachable(at)?;
            // A change, or a look whether the router still lives.
            let _ = timeout(CALLER_NOTICES, rx.changed()).await;
        }
        Err(Error::new(Kind::Timeout, "no end in time"))
    }

    /// Sends a request to the routers in turn, under the same key, until one answers for good.
    ///
    /// # Errors
    /// The last refusal.
    pub async fn send(
        &self,
        service: &str,
        req: &LocalRequest,
        patience: Duration,
    ) -> Result<LocalAnswer> {
        let began = Instant::now();
        let mut last = Error::new(Kind::Io, "no router is up");
        let mut attempts = 0;
        while began.elapsed() < patience {
            for i in self.route(&req.organisation) {
                attempts += 1;
                match self.send_to(i, service, req).await {
                    Ok(a) => return Ok(LocalAnswer { attempts, ..a }),
                    Err(e) if e.kind == Kind::BudgetExhausted => return Err(e),
                    Err(e) if e.kind != Kind::Io && !e.kind.answer().retryable => return Err(e),
                    Err(e) => last = e,
                }
                if attempts >= MAX_TRIES {
                    return Err(last);
                }
            }
            sleep(CALLER_NOTICES).await;
        }
        Err(last)
    }

    /// Calls a plain service at one router.
    ///
    /// # Errors
    /// The refusal; `Io` when the router dies.
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
            let none = || Error::new(Kind::NotFound, "no such service or organisation");
            let service = cfg.service(&service.parse::<ServiceId>()?).ok_or_else(none)?;
            let org = cfg.organisation(organisation).ok_or_else(none)?;
            let ServiceKind::Plain { cost, .. } = &service.kind else { return Err(none()) };
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

/// Routers that one caller tries for one request.
const MAX_TRIES: usize = 6;
