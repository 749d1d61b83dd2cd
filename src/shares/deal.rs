//! Rendezvous hashing: each key goes to the one of a few candidates that scores highest for it. When a candidate comes
//! or goes, only keys move that come to it or were its own, and all who know the candidates agree without asking.

use std::collections::BTreeMap;

/// A number for a name: FNV-1a, which is the same everywhere and for ever, unlike the standard library's.
pub fn hash(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

/// How well a candidate suits a key: SplitMix64's mixing of both.
pub fn score(key: u64, candidate: u64) -> u64 {
    let mut mixed = key ^ candidate.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

/// The candidate, by position, that a key goes to; none without candidates.
pub fn pick(key: u64, candidates: &[u64]) -> Option<usize> {
    (0..candidates.len()).max_by_key(|at| (score(key, candidates[*at]), candidates[*at]))
}

/// All candidates for a key, by position, best first: the order in which planners stand in for each other.
pub fn order(key: u64, candidates: &[u64]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|at| std::cmp::Reverse((score(key, candidates[*at]), candidates[*at])));
    order
}

/// Keys dealt to candidates that come and go; each key is somebody's as long as there is anybody.
#[derive(Clone, Debug, Default)]
pub struct Assignments {
    /// Who has each key.
    keys: BTreeMap<u64, Option<u64>>,
    /// The keys of each candidate, sorted.
    candidates: BTreeMap<u64, Vec<u64>>,
}

impl Assignments {
    /// The keys of a candidate.
    pub fn keys_of(&self, candidate: u64) -> &[u64] {
        self.candidates.get(&candidate).map_or(&[], Vec::as_slice)
    }

    /// Who has a key.
    pub fn owner(&self, key: u64) -> Option<u64> {
        self.keys.get(&key).copied().flatten()
    }

    /// Adds a key; returns who got it.
    pub fn add_key(&mut self, key: u64) -> Option<u64> {
        if let Some(owner) = self.keys.get(&key) {
            return *owner;
        }
        self.keys.insert(key, None);
        let candidates: Vec<u64> = self.candidates.keys().copied().collect();
        let owner = pick(key, &candidates).map(|at| candidates[at]);
        self.give(key, owner);
        owner
    }

    /// Takes a key away.
    pub fn remove_key(&mut self, key: u64) {
        self.give(key, None);
        self.keys.remove(&key);
    }

    /// Adds a candidate; returns who lost keys to it.
    pub fn add(&mut self, candidate: u64) -> Vec<u64> {
        if self.candidates.contains_key(&candidate) {
            return Vec::new();
        }
        self.candidates.insert(candidate, Vec::new());
        let suits = |key: u64, owner: Option<u64>| {
            owner.is_none_or(|owner| (score(key, candidate), candidate) > (score(key, owner), owner))
        };
        let won: Vec<(u64, Option<u64>)> = self
            .keys
            .iter()
            .filter(|(key, owner)| suits(**key, **owner))
            .map(|(key, owner)| (*key, *owner))
            .collect();
        let mut losers: Vec<u64> = won.iter().filter_map(|(_, owner)| *owner).collect();
        won.into_iter().for_each(|(key, _)| self.give(key, Some(candidate)));
        losers.sort_unstable();
        losers.dedup();
        losers
    }

    /// Takes a candidate away; returns who got its keys.
    pub fn remove(&mut self, candidate: u64) -> Vec<u64> {
        let Some(keys) = self.candidates.remove(&candidate) else { return Vec::new() };
        let candidates: Vec<u64> = self.candidates.keys().copied().collect();
        let mut heirs = Vec::new();
        for key in keys {
            self.keys.insert(key, None);
            let heir = pick(key, &candidates).map(|at| candidates[at]);
            self.give(key, heir);
            heirs.extend(heir);
        }
        heirs.sort_unstable();
        heirs.dedup();
        heirs
    }

    fn give(&mut self, key: u64, to: Option<u64>) {
        let Some(owner) = self.keys.get_mut(&key) else { return };
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
