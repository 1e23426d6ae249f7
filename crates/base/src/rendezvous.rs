//! Rendezvous (highest random weight) hashing.
//!
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
//! rates", IEEE/ACM Transactions on Networking, 1998.

/// Returns a hash that is the same in every process and every build (FNV-1a
/// with a finalizer that spreads the low bits).
pub fn stable_hash(parts: &[&str]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// Returns a hash of bytes that is the same in every process and every build. Takes eight
/// bytes at a time, as bodies may be long.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hash = bytes.len() as u64;
    for chunk in bytes.chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash = mix_hashes(u64::from_le_bytes(word), hash);
    }
    hash
}

/// Combines two hashes into the weight of a candidate for a key in rendezvous
/// hashing. The result is the same in every process and every build.
pub fn mix_hashes(candidate: u64, key: u64) -> u64 {
    finalize_hash(candidate ^ finalize_hash(key))
}

/// Spreads every bit over all bits, as successive hashes may differ in only a
/// few.
fn finalize_hash(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns the candidates ordered by their weight for `key`, the preferred one
/// first. Equal weights are ordered by name.
pub fn rank_candidates<'a, T: AsRef<str> + 'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut weighted: Vec<(u64, &T)> = candidates
        .into_iter()
        .map(|candidate| (stable_hash(&[key, candidate.as_ref()]), candidate))
        .collect();
    weighted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    weighted.into_iter().map(|(_, candidate)| candidate).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn removing_one_candidate_keeps_the_order_of_the_others() {
        let names: Vec<String> = (0..20).map(|n| format!("r{n}")).collect();
        let full = rank_candidates("svc", &names);
        let rest: Vec<String> = names.iter().filter(|name| *name != full[0]).cloned().collect();
        assert_eq!(full[1..], rank_candidates("svc", &rest)[..]);
    }
}
