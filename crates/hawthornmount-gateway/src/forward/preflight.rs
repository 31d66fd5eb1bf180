//! Check right before a request is handed to a server, or to another instance.
//!
//! A request can wait between the choice of its server and the hand-over: for a connection, for a
//! silent server, or in a retry. What has changed in the meantime is judged here again, by the view
//! that is current at that moment, for every attempt of every request, also of those that another
//! instance passed to this one.

use {
    crate::{
        freshness::Freshness,
        registry::Server,
        route::Entry,
        view::{Principal, View},
    },
    derive_more::Display,
    hawthornmount_core::{
        id::{DataCentreId, RegionId},
        table::Table,
    },
};

/// Why a request is not handed over.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Denial {
    /// Its key was revoked, or can't be confirmed.
    #[display("key")]
    Key,
    /// It may not be served in the region of the destination.
    #[display("region")]
    Region,
    /// The data centre of the server is evacuated.
    #[display("evacuated")]
    Evacuated,
    /// The server is draining, gone, restarted or replaced.
    #[display("withdrawn")]
    Withdrawn,
}

/// A request as the check sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Key of the caller.
    pub key: Option<&'a str>,
    /// Account to which the key belonged when the request arrived.
    pub principal: Option<&'a Principal>,
    /// Route that was found for the request.
    pub route: &'a Entry,
}

/// Where a request is sent.
#[derive(Clone, Copy, Debug)]
pub enum Destination<'a> {
    /// A server.
    Server(&'a Server),
    /// Another instance, in a data centre.
    Instance(&'a DataCentreId),
}

/// What the instance knows at the moment of the hand-over.
#[derive(Clone, Copy)]
pub struct Knowledge<'a> {
    /// Configuration and servers.
    pub view: &'a View,
    /// Age of the configuration.
    pub freshness: &'a Freshness,
    /// Region of each data centre.
    pub regions: &'a Table<RegionId>,
}

impl Knowledge<'_> {
    /// Checks that a request may be handed to a destination now.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not; nothing of the request may be sent then.
    pub fn check(&self, request: &Request<'_>, destination: Destination<'_>) -> Result<(), Denial> {
        if !self.has_valid_key(request) {
            return Err(Denial::Key);
        }
        let data_centre = match destination {
            Destination::Server(server) => &server.data_centre,
            Destination::Instance(data_centre) => data_centre,
        };
        let account = request.principal.map(|principal| &principal.account);
        let allowed = self.view.rules.regions(request.route, account);
        if !allowed.allows(self.regions.get(data_centre)) {
            return Err(Denial::Region);
        }
        match destination {
            Destination::Instance(_) => Ok(()),
            Destination::Server(_) if self.view.evacuated.binary_search(data_centre).is_ok() => {
                Err(Denial::Evacuated)
            }
            Destination::Server(server) if !self.view.accepts(server) => Err(Denial::Withdrawn),
            Destination::Server(_) => Ok(()),
        }
    }

    /// Returns whether the key of a request that needs one still belongs to the same account under a
    /// configuration that is recent enough.
    fn has_valid_key(&self, request: &Request<'_>) -> bool {
        let Some(principal) = request.principal.filter(|_| !request.route.config.anonymous) else {
            return true;
        };
        let current = request.key.and_then(|key| self.view.rules.principal(key));
        self.freshness.is_within_revocation_bound()
            && current.is_some_and(|current| current.account == principal.account)
    }
}
