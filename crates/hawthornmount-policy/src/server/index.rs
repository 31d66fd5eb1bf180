//! Index of the servers by the versions and services that they provide, built once per snapshot.

use {
    crate::router::Class,
    hawthornmount_core::{
        config::Config,
        id::{DataCentreId, RegionId, ServiceId},
        snapshot::{Backend, Health, Release, Snapshot},
    },
    std::sync::Arc,
};

/// Distance of a server from this instance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The server is in the same data centre.
    Local,
    /// The server is in another data centre of the same region.
    Region,
    /// The server is in another region.
    Remote,
}

/// Version or service that a server provides.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Workload {
    /// A version of a model.
    Release(Release),
    /// A service without a model.
    Service(ServiceId),
}

/// Servers that provide the same workload, by their position in the snapshot.
#[derive(Clone, Debug)]
pub struct Group {
    workload: Workload,
    /// Indexed by [`Distance`].
    by_distance: [Vec<usize>; 3],
}

impl Group {
    /// Returns the servers at the given distance.
    pub fn at_distance(&self, distance: Distance) -> &[usize] {
        &self.by_distance[distance as usize]
    }

    /// Returns all servers, the nearest ones first.
    pub fn all(&self) -> impl Iterator<Item = usize> {
        self.by_distance.iter().flatten().copied()
    }
}

/// Servers of one snapshot that are up, by the workloads that they provide.
#[derive(Clone, Debug)]
pub struct Index {
    backends: Arc<[Backend]>,
    config: Arc<Config>,
    data_centre: DataCentreId,
    /// Sorted by workload.
    groups: Vec<Group>,
    engines: Vec<usize>,
    services: Vec<usize>,
}

impl Index {
    /// Creates the index of a snapshot, with the distances from the given data centre.
    pub fn new(snapshot: &Snapshot, data_centre: &DataCentreId, region: &RegionId) -> Self {
        let mut index = Self {
            backends: snapshot.backends.clone(),
            config: snapshot.config.clone(),
            data_centre: data_centre.clone(),
            groups: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        };
        for (at, backend) in snapshot.backends.iter().enumerate() {
            if backend.health == Health::Up {
                index.add(at, backend, distance(backend, data_centre, region));
            }
        }
        index
    }

    /// Returns whether the index was built for this snapshot and data centre.
    pub fn matches(&self, snapshot: &Snapshot, data_centre: &DataCentreId) -> bool {
        Arc::ptr_eq(&self.backends, &snapshot.backends)
            && Arc::ptr_eq(&self.config, &snapshot.config)
            && self.data_centre == *data_centre
    }

    /// Adopts a snapshot that differs from the indexed one only in the load of the servers, and
    /// returns whether it does; otherwise the index stays as it is.
    pub fn update_load(&mut self, snapshot: &Snapshot, data_centre: &DataCentreId) -> bool {
        let same = Arc::ptr_eq(&self.config, &snapshot.config)
            && self.data_centre == *data_centre
            && self.backends.len() == snapshot.backends.len()
            && self
                .backends
                .iter()
                .zip(snapshot.backends.iter())
                .all(|(a, b)| differs_only_in_load(a, b));
        if same {
            self.backends = snapshot.backends.clone();
        }
        same
    }

    /// Returns the positions of the servers of a class that are up.
    pub fn available(&self, class: Class) -> &[usize] {
        match class {
            Class::Engine => &self.engines,
            Class::Service => &self.services,
        }
    }

    /// Returns the servers that provide `workload`.
    pub fn group(&self, workload: &Workload) -> Option<&Group> {
        let at = self.groups.binary_search_by(|group| group.workload.cmp(workload)).ok()?;
        Some(&self.groups[at])
    }

    fn add(&mut self, at: usize, backend: &Backend, distance: Distance) {
        for release in &backend.loaded {
            self.add_to_group(Workload::Release(release.clone()), at, distance);
        }
        let config = self.config.clone();
        let services = config.servers.get(&backend.id).map_or(&[][..], |server| &server.services);
        let class = if services.is_empty() { &mut self.engines } else { &mut self.services };
        class.push(at);
        for service in services {
            self.add_to_group(Workload::Service(service.clone()), at, distance);
        }
    }

    fn add_to_group(&mut self, workload: Workload, at: usize, distance: Distance) {
        let place = self.groups.binary_search_by(|group| group.workload.cmp(&workload));
        let place = place.unwrap_or_else(|place| {
            self.groups.insert(place, Group { workload, by_distance: Default::default() });
            place
        });
        self.groups[place].by_distance[distance as usize].push(at);
    }
}

/// Returns whether two states of a server differ at most in its load.
fn differs_only_in_load(a: &Backend, b: &Backend) -> bool {
    a.health == b.health
        && is_same_id(&a.id, &b.id)
        && a.data_centre == b.data_centre
        && a.region == b.region
        && a.loaded.len() == b.loaded.len()
        && a.loaded
            .iter()
            .zip(&b.loaded)
            .all(|(a, b)| is_same_id(&a.model, &b.model) && is_same_id(&a.version, &b.version))
}

/// Returns whether two ids are equal. Most equal ids share an allocation, so the pointers are
/// compared first.
fn is_same_id(a: &Arc<str>, b: &Arc<str>) -> bool {
    Arc::ptr_eq(a, b) || a == b
}

fn distance(backend: &Backend, data_centre: &DataCentreId, region: &RegionId) -> Distance {
    if backend.data_centre == *data_centre {
        Distance::Local
    } else if backend.region == *region {
        Distance::Region
    } else {
        Distance::Remote
    }
}
