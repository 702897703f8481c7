//! Random samples of servers, so that hosts with the same view do not all pick the same ones.

use rand::Rng;
use smallvec::SmallVec;

/// Adds distinct allowed servers of `from` to `drawn`, in random order, until `drawn` has `goal`
/// servers.
pub(super) fn draw_some<R: Rng>(
    from: &[u16],
    goal: usize,
    allowed: impl Fn(&u16) -> bool,
    rng: &mut R,
    drawn: &mut SmallVec<[u16; 8]>,
) {
    if from.is_empty() {
        return;
    }
    let start = rng.random_range(0..from.len());
    let stride = random_coprime_stride(from.len(), rng);
    for step in 0..from.len() {
        if drawn.len() >= goal {
            return;
        }
        let server = from[(start + step * stride) % from.len()];
        if !drawn.contains(&server) && allowed(&server) {
            drawn.push(server);
        }
    }
}

/// Returns a random stride that is coprime to `len`, so that steps of it visit all `len` indices.
fn random_coprime_stride<R: Rng>(len: usize, rng: &mut R) -> usize {
    if len < 3 {
        return 1;
    }
    let is_coprime = |candidate: usize| gcd(candidate, len) == 1;
    let first = rng.random_range(1..len);
    (first..len).find(|candidate| is_coprime(*candidate)).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}
