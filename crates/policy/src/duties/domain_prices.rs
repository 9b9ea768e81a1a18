/// Least and most of a service's upstreams in one failure domain, as parts of an even division:
/// callers are everywhere, and what is left after the loss of one must do.
const MIN_RELATIVE_SHARE: f64 = 0.8;
const MAX_RELATIVE_SHARE: f64 = 1.2;

/// Times the cheapest price that a price can be without being taken for a mistake.
const MAX_PRICE_RATIO: f64 = 100.0;

/// Prices of a service's upstreams by failure domain, in the order of its pools.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainPrices(Vec<f64>);

impl DomainPrices {
    /// Prices as they were named; `None` if any is missing or absurd: all then count as equal.
    pub fn new(configured: impl Iterator<Item = Option<f64>>) -> Option<Self> {
        let prices: Vec<f64> = configured.collect::<Option<_>>()?;
        let least = prices.iter().copied().fold(f64::INFINITY, f64::min);
        let is_plausible = |price: &f64| price.is_finite() && *price <= least * MAX_PRICE_RATIO;
        (least > 0.0 && prices.iter().all(is_plausible)).then_some(Self(prices))
    }

    /// Equal prices of so many domains.
    pub fn equal(domains: usize) -> Self {
        Self(vec![1.0; domains])
    }

    /// Part of the upstreams that each domain gets.
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
