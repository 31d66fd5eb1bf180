//! Which server gets the next attempt of a request.

use {
    super::{Course, Forwarder, Job},
    crate::{
        choice::{self, Candidate, Distance},
        home, ladder,
        registry::Server,
        rollout::{Phase, plan, sessions::Side},
        view::View,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

impl Forwarder {
    /// Chooses the server of the next attempt.
    pub(super) fn choose(&self, job: &Job, course: &mut Course) -> Option<Arc<Server>> {
        let view = self.cell.load();
        let servers: Vec<&Arc<Server>> = view
            .servers(&job.service)
            .iter()
            .filter(|server| !course.tried.contains(&server.id))
            .collect();
        let now = Instant::now();
        let (servers, is_trial) = self.exposed(&view, job, course, servers, now);
        let candidates = self.candidates(job, course.rung, &servers, now);
        let trial = if is_trial { choice::concentrate(&candidates) } else { None };
        let at = trial.or_else(|| choice::choose(&candidates, rand::random()))?;
        course.is_trial = is_trial;
        course.expected = Duration::from_secs_f64(candidates[at].wait() / 1_000.0);
        course.unread = candidates[at].unread;
        course.read_ms = f64::from(course.unread) * candidates[at].token_ms;
        Some(servers[at].clone())
    }

    /// Returns what is known of servers as candidates for a request on a rung.
    fn candidates(
        &self,
        job: &Job,
        rung: Option<ladder::Rung>,
        servers: &[&Arc<Server>],
        now: Instant,
    ) -> Vec<Candidate> {
        let model = job.model(rung);
        let token_ms = self.speeds.lock().token_ms(model);
        let mut board = self.board.lock();
        let home = home::server(model, &job.ask.prompt, servers.iter().map(|server| &server.id));
        let candidate = |server: &&Arc<Server>| {
            let tally = board.tally(&server.id);
            let is_home = home == Some(&server.id);
            let cached = home::cached(tally, model, &job.ask.prompt, is_home);
            Candidate {
                distance: self.distance(server),
                load: tally.load(server.slots, now),
                unread: job.ask.prompt_tokens.saturating_sub(cached),
                token_ms,
                backlog_ms: tally.backlog_ms,
                is_avoided: tally.is_avoided(now),
            }
        };
        servers.iter().map(candidate).collect()
    }

    /// Returns the servers of the version that the request's session goes to, and whether that
    /// version is on trial.
    fn exposed<'a>(
        &self,
        view: &'a View,
        job: &Job,
        course: &Course,
        servers: Vec<&'a Arc<Server>>,
        now: Instant,
    ) -> (Vec<&'a Arc<Server>>, bool) {
        let session = job.ask.session.as_ref();
        let Some(split) = view.split(&job.service) else {
            if let Some(session) = session {
                self.exposure.lock().sessions.assign_old(&job.service, session, now);
            }
            return (servers, false);
        };
        let is_first = course.attempts == 0;
        let is_recent = self.fence.is_fresh();
        let session = session.unwrap_or(&job.id);
        let side = self.exposure.lock().assign_side(split, session, is_first, is_recent, now);
        let is_wanted =
            |server: &&&Arc<Server>| (server.version == split.version) == (side == Side::New);
        let wanted: Vec<&Arc<Server>> = servers.iter().filter(is_wanted).copied().collect();
        let may_cross = side == Side::New || split.phase >= Phase::Full || !is_recent;
        if wanted.is_empty() && may_cross {
            return (servers, false);
        }
        let is_trial = side == Side::New && split.phase == Phase::Widening;
        (wanted, is_trial && job.ask.prompt_tokens <= plan::SHORT_PROMPT_TOKENS)
    }

    fn distance(&self, server: &Server) -> Distance {
        if server.data_centre == self.data_centre {
            return Distance::Near;
        }
        let own = self.regions.get(&self.data_centre);
        let other = self.regions.get(&server.data_centre);
        if own.is_some() && own == other { Distance::SameRegion } else { Distance::Far }
    }

    /// Returns the time until the best server would begin an answer of the model on a rung.
    pub(super) fn least_wait(&self, job: &Job, rung: ladder::Rung) -> Duration {
        let view = self.cell.load();
        let servers: Vec<&Arc<Server>> = view.servers(&job.service).iter().collect();
        let candidates = self.candidates(job, Some(rung), &servers, Instant::now());
        let least = candidates.iter().map(Candidate::wait).min_by(f64::total_cmp);
        Duration::from_secs_f64(least.unwrap_or(0.0) / 1_000.0)
    }
}
