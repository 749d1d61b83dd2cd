//! Rendezvous hashing: each key belongs to the candidate with the highest score for it. When a candidate is added or
//! removed, only the keys that it gains or had change their owner. All processes that know the same candidates
//! compute the same owners without communication.

use std::collections::BTreeMap;

/// Hash of a name with FNV-1a, which does not depend on the build, unlike the standard library's hashes.
pub fn hash(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

/// The score of a candidate for a key: both mixed by SplitMix64's finalizer.
pub fn score(key: u64, candidate: u64) -> u64 {
    let mut mixed = key ^ candidate.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

/// The position of the candidate that a key belongs to; `None` without candidates.
pub fn pick(key: u64, candidates: &[u64]) -> Option<usize> {
    (0..candidates.len()).max_by_key(|at| (score(key, candidates[*at]), candidates[*at]))
}

/// The positions of all candidates for a key, best first: the order in which planners replace each other.
pub fn order(key: u64, candidates: &[u64]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|at| std::cmp::Reverse((score(key, candidates[*at]), candidates[*at])));
    order
}

/// Owners of a changing set of keys among a changing set of candidates. Each key has an owner as long as there is any
/// candidate.
#[derive(Clone, Debug, Default)]
pub struct Assignments {
    /// The owner of each key.
    owners: BTreeMap<u64, Option<u64>>,
    /// The keys of each candidate, sorted.
    candidates: BTreeMap<u64, Vec<u64>>,
}

impl Assignments {
    /// The keys of a candidate.
    pub fn keys_of(&self, candidate: u64) -> &[u64] {
        self.candidates.get(&candidate).map_or(&[], Vec::as_slice)
    }

    /// The owner of a key.
    pub fn owner(&self, key: u64) -> Option<u64> {
        self.owners.get(&key).copied().flatten()
    }

    /// Adds a key. Returns its owner.
    pub fn add_key(&mut self, key: u64) -> Option<u64> {
        if let Some(owner) = self.owners.get(&key) {
            return *owner;
        }
        self.owners.insert(key, None);
        let candidates: Vec<u64> = self.candidates.keys().copied().collect();
        let owner = pick(key, &candidates).map(|at| candidates[at]);
        self.set_owner(key, owner);
        owner
    }

    /// Removes a key.
    pub fn remove_key(&mut self, key: u64) {
        self.set_owner(key, None);
        self.owners.remove(&key);
    }

    /// Adds a candidate. Returns the candidates that lost keys to it.
    pub fn add(&mut self, candidate: u64) -> Vec<u64> {
        if self.candidates.contains_key(&candidate) {
            return Vec::new();
        }
        self.candidates.insert(candidate, Vec::new());
        let scores_higher = |key: u64, owner: Option<u64>| {
            owner.is_none_or(|owner| (score(key, candidate), candidate) > (score(key, owner), owner))
        };
        let gained: Vec<(u64, Option<u64>)> = self
            .owners
            .iter()
            .filter(|(key, owner)| scores_higher(**key, **owner))
            .map(|(key, owner)| (*key, *owner))
            .collect();
        let mut previous_owners: Vec<u64> = gained.iter().filter_map(|(_, owner)| *owner).collect();
        gained.into_iter().for_each(|(key, _)| self.set_owner(key, Some(candidate)));
        previous_owners.sort_unstable();
        previous_owners.dedup();
        previous_owners
    }

    /// Removes a candidate. Returns the candidates that got its keys.
    pub fn remove(&mut self, candidate: u64) -> Vec<u64> {
        let Some(keys) = self.candidates.remove(&candidate) else { return Vec::new() };
        let candidates: Vec<u64> = self.candidates.keys().copied().collect();
        let mut new_owners = Vec::new();
        for key in keys {
            self.owners.insert(key, None);
            let new_owner = pick(key, &candidates).map(|at| candidates[at]);
            self.set_owner(key, new_owner);
            new_owners.extend(new_owner);
        }
        new_owners.sort_unstable();
        new_owners.dedup();
        new_owners
    }

    fn set_owner(&mut self, key: u64, to: Option<u64>) {
        let Some(owner) = self.owners.get_mut(&key) else { return };
        if let Some(keys) = std::mem::replace(owner, to).and_then(|owner| self.candidates.get_mut(&owner)) {
            keys.retain(|other| *other != key);
        }
        if let Some(keys) = to.and_then(|to| self.candidates.get_mut(&to)) {
            let at = keys.partition_point(|other| *other < key);
            keys.insert(at, key);
        }
    }
}

#[cfg(test)]
mod tests;
