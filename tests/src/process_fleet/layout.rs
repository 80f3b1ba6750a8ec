//! The processes and workers of a fleet, and the failure domains they are in.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

use super::network::Place;

/// A failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainSize {
    /// The number of its entry processes.
    pub processes: usize,
    /// The number of its workers.
    pub workers: usize,
}

/// The processes and workers of a fleet, and the failure domains they are in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetLayout {
    domains: Vec<DomainSize>,
}

impl FleetLayout {
    /// Creates a layout of these domains.
    pub fn new(domains: Vec<DomainSize>) -> Self {
        Self { domains }
    }

    /// Returns the number of domains.
    pub fn domain_count(&self) -> usize {
        self.domains.len()
    }

    /// Returns the number of entry processes.
    pub fn process_count(&self) -> usize {
        self.domains.iter().map(|domain| domain.processes).sum()
    }

    /// Returns the number of workers.
    pub fn worker_count(&self) -> usize {
        self.domains.iter().map(|domain| domain.workers).sum()
    }

    /// Returns the entry processes.
    pub fn processes(&self) -> impl Iterator<Item = Place> + use<> {
        (0..self.process_count()).map(Place::Process)
    }

    /// Returns all processes and workers, and the store.
    pub fn places(&self) -> impl Iterator<Item = Place> + use<> {
        let workers = (0..self.worker_count()).map(Place::Worker);
        self.processes().chain(workers).chain([Place::Store])
    }

    /// Returns the domain of each process, by number.
    pub(super) fn process_domains(&self) -> Vec<usize> {
        self.spread(|domain| domain.processes)
    }

    /// Returns the domain of each worker, by number.
    pub(super) fn worker_domains(&self) -> Vec<usize> {
        self.spread(|domain| domain.workers)
    }

    /// Returns the processes and workers of a domain, and all other places.
    pub fn split(&self, domain: usize) -> (Vec<Place>, Vec<Place>) {
        let process_domains = self.process_domains();
        let worker_domains = self.worker_domains();
        self.places().partition(|place| match place {
            Place::Process(number) => process_domains[*number] == domain,
            Place::Worker(number) => worker_domains[*number] == domain,
            Place::Store => false,
        })
    }

    /// Returns the numbers of the workers of a domain.
    pub(super) fn workers_of(&self, domain: usize) -> Vec<usize> {
        let domains = self.worker_domains();
        (0..domains.len())
            .filter(|worker| domains[*worker] == domain)
            .collect()
    }

    fn spread<Count>(&self, count: Count) -> Vec<usize>
    where
        Count: Fn(&DomainSize) -> usize,
    {
        let domains = self.domains.iter().enumerate();
        domains
            .flat_map(|(number, domain)| std::iter::repeat_n(number, count(domain)))
            .collect()
    }
}

/// The loopback addresses of the processes of one fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Subnet {
    second: u8,
    third: u8,
}

impl Subnet {
    /// Returns a subnet that no other fleet uses; `port` is one that its processes listen on.
    pub(super) fn free(port: u16) -> Self {
        static NEXT_THIRD: AtomicU8 = AtomicU8::new(0);
        let second = u8::try_from(std::process::id() % 200).unwrap() + 16;
        loop {
            let third = NEXT_THIRD.fetch_add(1, Ordering::Relaxed);
            let subnet = Self { second, third };
            if TcpListener::bind(SocketAddr::new(subnet.ip(0), port)).is_ok() {
                return subnet;
            }
        }
    }

    /// Returns the address of a process.
    pub(super) fn ip(&self, process: usize) -> IpAddr {
        let last = u8::try_from(process + 1).unwrap();
        Ipv4Addr::new(127, self.second, self.third, last).into()
    }
}

/// Returns the process whose address is `ip`.
pub(super) fn process_at(ip: IpAddr) -> Place {
    let IpAddr::V4(ip) = ip else {
        unreachable!("all addresses are of version 4");
    };
    Place::Process(usize::from(ip.octets()[3]) - 1)
}
