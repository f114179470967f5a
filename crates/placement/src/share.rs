//! How many copies each model gets of the slots there are.

/// What one model needs, in copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyNeed {
    /// Copies it has now.
    pub now: u32,
    /// Copies below which it should not be; at most `want`.
    pub min: u32,
    /// Copies it should have.
    pub want: u32,
}

/// Shares `slots` out, in the order of `needs`:
///
/// - no model gets more than it wants, and all get it when the slots suffice;
/// - a model above its least number gives copies up to one below its least;
/// - a model gives a copy up to a worse served one only when it's then still no worse served,
///   which keeps two nearly equal models from passing a copy back and forth.
///
/// Otherwise each keeps what it has.
pub fn share_out(needs: &[CopyNeed], slots: u32) -> Vec<u32> {
    let mut shares: Vec<u32> = needs.iter().map(|need| need.now.min(need.want)).collect();
    while shares.iter().sum::<u32>() > slots {
        let Some(giver) = richest(needs, &shares) else { break };
        shares[giver] -= 1;
    }
    while shares.iter().sum::<u32>() < slots {
        let Some(taker) = poorest(needs, &shares) else { break };
        shares[taker] += 1;
    }
    while let Some((giver, taker)) = fair_move(needs, &shares) {
        shares[giver] -= 1;
        shares[taker] += 1;
    }
    shares
}

/// Who takes the next copy: the worst served of those that want one.
fn poorest(needs: &[CopyNeed], shares: &[u32]) -> Option<usize> {
    let wanting = (0..needs.len()).filter(|i| shares[*i] < needs[*i].want);
    wanting.min_by(|a, b| rank(needs[*a], shares[*a]).total_cmp(&rank(needs[*b], shares[*b])))
}

/// Who gives a copy up first: the best served once the copy is gone.
fn richest(needs: &[CopyNeed], shares: &[u32]) -> Option<usize> {
    let having = (0..needs.len()).filter(|i| shares[*i] > 0);
    let left = |i: usize| rank(needs[i], shares[i] - 1);
    having.max_by(|a, b| left(*a).total_cmp(&left(*b)))
}

fn fair_move(needs: &[CopyNeed], shares: &[u32]) -> Option<(usize, usize)> {
    let taker = poorest(needs, shares)?;
    let giver = richest(needs, shares)?;
    let left = rank(needs[giver], shares[giver] - 1);
    let below = shares[taker] < needs[taker].min;
    let gets = rank(needs[taker], shares[taker] + 1);
    let fair = match below {
        // A model below its least number takes from any that stays at its own.
        true => left >= rank_at_min(),
        false => left >= gets,
    };
    (giver != taker && fair).then_some((giver, taker))
}

/// How well a model is served: below 1 while under its least number, then 1 to 2 up to what it
/// wants.
fn rank(need: CopyNeed, copies: u32) -> f64 {
    if copies < need.min {
        return f64::from(copies) / f64::from(need.min);
    }
    let span = f64::from(need.want - need.min).max(1.0);
    rank_at_min() + f64::from(copies - need.min) / span
}

fn rank_at_min() -> f64 {
    1.0
}
