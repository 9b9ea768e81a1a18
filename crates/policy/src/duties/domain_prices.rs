/// Smallest and greatest share of a service's upstreams in one failure domain, relative to an even
/// split. Callers are in all failure domains, and the upstreams that remain after the loss of one
/// domain must suffice.
const MIN_RELATIVE_SHARE: f64 = 0.8;
const MAX_RELATIVE_SHARE: f64 = 1.2;

/// Greatest plausible ratio of a price to the lowest price. A higher price is treated as a mistake.
const MAX_PRICE_RATIO: f64 = 100.0;

/// Prices of a service's upstreams by failure domain, in the order of the service's pools.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainPrices(Vec<f64>);

impl DomainPrices {
    /// Creates the prices from the configured ones; `None` if any price is missing or implausible.
    /// All prices then count as equal.
    pub fn new(configured: impl Iterator<Item = Option<f64>>) -> Option<Self> {
        let prices: Vec<f64> = configured.collect::<Option<_>>()?;
        let least = prices.iter().copied().fold(f64::INFINITY, f64::min);
        let is_plausible = |price: &f64| price.is_finite() && *price <= least * MAX_PRICE_RATIO;
        (least > 0.0 && prices.iter().all(is_plausible)).then_some(Self(prices))
    }

    /// Equal prices for the given number of failure domains.
    pub fn equal(domains: usize) -> Self {
        Self(vec![1.0; domains])
    }

    /// Share of the upstreams that each failure domain gets.
    pub fn shares(&self) -> Vec<f64> {
        let even = 1.0 / self.0.len().max(1) as f64;
        let inverse_sum: f64 = self.0.iter().map(|price| 1.0 / price).sum();
        let shares = self.0.iter().map(|price| {
            let share = 1.0 / price / inverse_sum;
            share.clamp(even * MIN_RELATIVE_SHARE, even * MAX_RELATIVE_SHARE)
        });
        let shares: Vec<f64> = shares.collect();
        let sum: f64 = shares.iter().sum();
        shares.into_iter().map(|share| share / sum).collect()
    }
}
