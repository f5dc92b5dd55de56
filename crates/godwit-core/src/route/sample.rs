//! Draws of servers by their weight.

use rand::Rng;

use super::fleet::{Pool, ServerIndex};

impl Pool {
    /// A server drawn by its weight; none from an empty pool.
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> Option<ServerIndex> {
        let total = *self.weight_sums.last()?;
        let point = rng.random::<f64>() * total;
        let at = self.weight_sums.partition_point(|sum| *sum <= point);
        self.servers.get(at.min(self.servers.len() - 1)).copied()
    }

    /// Whether the pool has the server; servers are held in ascending order.
    pub(crate) fn contains(&self, server: ServerIndex) -> bool {
        self.servers.binary_search(&server).is_ok()
    }
}
