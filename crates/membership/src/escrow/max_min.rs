//! Integer max-min division of tokens.

/// Divides `total` among `demands` by max-min fairness: no part exceeds its demand, and what one
/// demand leaves is divided equally among the others. Remainders go to the first entries.
pub fn max_min(total: u32, demands: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| demands[*index]);
    let mut parts = vec![0; demands.len()];
    let mut remaining = total;
    for (assigned, index) in order.iter().enumerate() {
        let unserved = (demands.len() - assigned) as u32;
        let part = demands[*index].min(remaining / unserved);
        parts[*index] = part;
        remaining -= part;
    }
    for (part, demand) in parts.iter_mut().zip(demands) {
        if remaining > 0 && *part < *demand {
            *part += 1;
            remaining -= 1;
        }
    }
    parts
}
