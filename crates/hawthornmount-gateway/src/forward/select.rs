//! Choice of the server for the next attempt of a request.

use {
    super::{Forwarder, Job, Progress, RETRY_AFTER, attempt::Attempt, job::Marker},
    crate::{
        affinity,
        balancing::{self, Candidate, Locality},
        cascade,
        registry::Server,
        rollout::{Phase, sessions::Side},
        view::View,
    },
    hawthornmount_core::id::{DataCentreId, ServerId},
    hawthornmount_policy::residency::Regions,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

impl Forwarder {
    /// Chooses the server for the next attempt, or the instance to which the request is passed; returns
    /// `None` if there is none left to try. A server that was silent is tried again if no other one is
    /// left.
    pub(super) fn choose(&self, job: &Job, progress: &Progress) -> Option<Attempt> {
        let may_add = progress.attempts < job.attempts;
        if self.path.is_cut_off(&job.service) {
            let neighbour =
                if may_add { self.choose_neighbour(job, progress, |_| true) } else { None };
            if neighbour.is_none() && !job.is_passed {
                self.log_no_neighbour(job, progress);
            }
            return neighbour;
        }
        let server = self.choose_server(job, progress, may_add);
        if server.is_none() && may_add { self.choose_holder(job, progress) } else { server }
    }

    /// Chooses a server over an own connection; `may_add` is whether it may be one that was not tried.
    fn choose_server(&self, job: &Job, progress: &Progress, may_add: bool) -> Option<Attempt> {
        let (route, now) = (&job.route.config, Instant::now());
        let other = if may_add && progress.may_ask_others(route) {
            self.choose_among(job, progress, |server| !progress.tried.contains(server))
        } else {
            None
        };
        if other.is_none() && progress.can_go_back(route, now) {
            return self
                .choose_among(job, progress, |server| progress.may_return(server, route, now));
        }
        other
    }

    /// Chooses one of the servers for which `may_take` is true.
    fn choose_among(
        &self,
        job: &Job,
        progress: &Progress,
        may_take: impl Fn(&ServerId) -> bool,
    ) -> Option<Attempt> {
        let view = self.cell.load();
        let mut servers = self.allowed_servers(&view, job);
        servers.retain(|server| may_take(&server.id));
        let now = Instant::now();
        let servers = self.open_servers(servers, now);
        let (servers, is_trial) = self.servers_for_session(&view, job, progress, servers, now);
        let candidates = self.candidates(job, progress.level, &servers, now);
        let trial = if is_trial { balancing::first_unfilled(&candidates) } else { None };
        let look = servers.iter().position(|server| self.limits.needs_look(server, now));
        let chosen = trial.or(look).or_else(|| balancing::choose(&candidates, rand::random()));
        let at = chosen?;
        let candidate = &candidates[at];
        Some(Attempt {
            server: servers[at].clone(),
            neighbour: None,
            servers: 1,
            level: progress.level,
            is_trial,
            uncached_tokens: candidate.uncached_tokens,
            prefill_ms: f64::from(candidate.uncached_tokens) * candidate.token_prefill_ms,
            expected_wait: Duration::from_secs_f64(candidate.wait() / 1_000.0),
            usual_wait_ms: candidate.usual_wait(),
            reported_load: None,
            cause: progress.retry_reason,
            is_return: progress.tried.contains(&servers[at].id),
            needs_connection: progress.contacted.contains(&servers[at].id),
            chosen_at: now,
            marker: Marker::default(),
        })
    }

    /// Returns the regions in which a request may be served.
    pub(super) fn allowed_regions(&self, view: &View, job: &Job) -> Regions {
        let account = job.principal.as_ref().map(|principal| &principal.account);
        view.rules.regions(&job.route, account)
    }

    /// Returns the servers of a view that accept requests of the service, in the regions in which the
    /// request may be served. Every choice of a server is made among them.
    pub(super) fn allowed_servers<'a>(&self, view: &'a View, job: &Job) -> Vec<&'a Arc<Server>> {
        let regions = self.allowed_regions(view, job);
        let servers = view.servers(&job.service).iter();
        servers.filter(|server| self.is_in(&server.data_centre, &regions)).collect()
    }

    /// Returns whether a data centre lies in one of the allowed regions.
    pub(super) fn is_in(&self, data_centre: &DataCentreId, allowed: &Regions) -> bool {
        allowed.allows(self.regions.get(data_centre))
    }

    /// Returns the servers that want requests of this instance: they are not leaving, have not turned
    /// requests away for a time that still lasts, and have room in their rate limits.
    fn open_servers<'a>(
        &self,
        servers: Vec<&'a Arc<Server>>,
        now: Instant,
    ) -> Vec<&'a Arc<Server>> {
        let mut loads = self.loads.lock();
        let mut is_open = |server: &&Arc<Server>| {
            !loads.is_leaving(&server.id, server.start_ms)
                && loads.stats(&server.id).closed_for(now).is_zero()
                && self.limits.wait(server, now).is_zero()
                && self.limits.has_room(server, &loads.stats(&server.id).seen(now), now)
        };
        servers.into_iter().filter(|server| is_open(server)).collect()
    }

    /// Returns the time after which the first server of a service wants requests again, if all of
    /// them have turned requests away for a time that still lasts or have no room in their rate
    /// limits.
    pub(super) fn closed_for(&self, job: &Job) -> Option<Duration> {
        let (view, now) = (self.cell.load(), Instant::now());
        let mut loads = self.loads.lock();
        let servers = self.allowed_servers(&view, job);
        let staying: Vec<_> = servers
            .into_iter()
            .filter(|server| !loads.is_leaving(&server.id, server.start_ms))
            .collect();
        let is_brittle = self.limits.is_brittle(&job.service);
        let room = if is_brittle { RETRY_AFTER } else { Duration::ZERO };
        let times = staying.iter().map(|server| {
            let closed_for = loads.stats(&server.id).closed_for(now);
            closed_for.max(self.limits.wait(server, now)).max(room)
        });
        times.min().filter(|time| !time.is_zero())
    }

    /// Returns the servers as candidates for load balancing, for a request at a level of the
    /// cascade.
    fn candidates(
        &self,
        job: &Job,
        level: Option<cascade::Level>,
        servers: &[&Arc<Server>],
        now: Instant,
    ) -> Vec<Candidate> {
        let model = job.model(level);
        let token_prefill_ms = self.prefill_times.lock().token_prefill_ms(model);
        let mut loads = self.loads.lock();
        let preferred = affinity::preferred_server(
            model,
            &job.request.prompt,
            servers.iter().map(|server| &server.id),
        );
        let adapts = self.adaptation.is_on();
        let candidate = |server: &&Arc<Server>| {
            let stats = loads.stats_of_start(&server.id, server.start_ms);
            let is_preferred = preferred == Some(&server.id);
            let cached = affinity::cached_tokens(stats, model, &job.request.prompt, is_preferred);
            Candidate {
                locality: self.locality(server),
                load: stats.load(server.slots, now),
                uncached_tokens: job.request.prompt_tokens.saturating_sub(cached),
                token_prefill_ms,
                prefill_backlog_ms: stats.prefill_backlog_ms
                    + if adapts { stats.peers_backlog_ms(now) } else { 0.0 },
                slowness: if adapts { stats.expected_slowness(now) } else { 1.0 },
                is_avoided: stats.is_avoided(now) || (adapts && stats.fails_at_peers(now)),
            }
        };
        servers.iter().map(candidate).collect()
    }

    /// Returns the servers of the version to which the roll-out assigns the session of the request,
    /// and whether the request is part of that version's trial. All servers are returned if there
    /// is no roll-out, or if the version has no server and the request may go to the other one.
    fn servers_for_session<'a>(
        &self,
        view: &'a View,
        job: &Job,
        progress: &Progress,
        servers: Vec<&'a Arc<Server>>,
        now: Instant,
    ) -> (Vec<&'a Arc<Server>>, bool) {
        let Some(split) = view.split(&job.service) else { return (servers, false) };
        let is_first = progress.attempts == 0;
        let is_recent = self.freshness.is_within_propagation_bound();
        let session = job.request.session.as_ref();
        let side =
            self.exposure.lock().assign_side(split, &job.id, session, is_first, is_recent, now);
        let is_of_side =
            |server: &&&Arc<Server>| (server.version == split.version) == (side == Side::New);
        let assigned: Vec<&Arc<Server>> = servers.iter().filter(is_of_side).copied().collect();
        let may_use_other_version = side == Side::New || split.phase >= Phase::Full || !is_recent;
        if assigned.is_empty() && may_use_other_version {
            return (servers, false);
        }
        let is_trial = side == Side::New && split.is_trial(job.request.prompt_tokens == 0);
        (assigned, is_trial && job.is_trial_sized(self.adaptation.is_on()))
    }

    /// Returns the location of a server relative to this instance.
    fn locality(&self, server: &Server) -> Locality {
        if server.data_centre == self.data_centre {
            return Locality::SameDataCentre;
        }
        let own = self.regions.get(&self.data_centre);
        let other = self.regions.get(&server.data_centre);
        if own.is_some() && own == other { Locality::SameRegion } else { Locality::OtherRegion }
    }

    /// Returns the least expected wait among the servers for the model at a level of the cascade.
    pub(super) fn least_wait(&self, job: &Job, level: cascade::Level) -> Duration {
        let view = self.cell.load();
        let now = Instant::now();
        let servers = self.open_servers(self.allowed_servers(&view, job), now);
        let candidates = self.candidates(job, Some(level), &servers, now);
        let least = candidates.iter().map(Candidate::wait).min_by(f64::total_cmp);
        Duration::from_secs_f64(least.unwrap_or(0.0) / 1_000.0)
    }
}
