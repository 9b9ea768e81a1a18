use {
    policy::{CapacityOrder, CapacityPlan, PoolCapacity},
    std::time::Duration,
    types::Time,
};

/// Simulated platform, in virtual time. Ordered upstreams are ready after [`BOOT_TIME`].
struct Platform {
    /// Starting upstreams: when each is ready, and whether it is reclaimable.
    booting: Vec<(Time, bool)>,
    now: Time,
    orders: Vec<String>,
    plan: CapacityPlan,
    reclaimable: u32,
    regular: u32,
    /// Whether orders of reclaimable upstreams are accepted.
    offers_reclaimable: bool,
}

const BOOT_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(400);

impl Platform {
    fn with_regular(regular: u32) -> Self {
        Self {
            booting: Vec::new(),
            now: Time::from_ms(1_000),
            orders: Vec::new(),
            plan: CapacityPlan::default(),
            reclaimable: 0,
            regular,
            offers_reclaimable: true,
        }
    }

    fn capacity(&self) -> PoolCapacity {
        PoolCapacity {
            domain: "a".parse().unwrap(),
            max: self.regular.max(20) * 2,
            min: 1,
            model: None,
            price: None,
            reclaimable_price: Some(0.22),
            reclaimable_ready: self.reclaimable,
            regular_ready: self.regular,
            service: "pool".parse().unwrap(),
            slots: 64,
            start_time: None,
        }
    }

    /// The simulated pool in domain `a`, and the same pool in two other domains.
    fn pools(&self) -> Vec<PoolCapacity> {
        let names = ["a", "b", "c"];
        let pools = names.map(|domain| PoolCapacity {
            domain: domain.parse().unwrap(),
            ..self.capacity()
        });
        pools.into()
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let now = self.now;
            let booted = self.booting.extract_if(.., |(ready, _)| *ready <= now);
            for (_, is_reclaimable) in booted {
                match is_reclaimable {
                    true => self.reclaimable += 1,
                    false => self.regular += 1,
                }
            }
            let orders = self.plan.orders(now, &self.pools());
            let is_in_first_domain = |order: &CapacityOrder| order.domain == self.capacity().domain;
            let orders: Vec<CapacityOrder> =
                orders.into_iter().filter(is_in_first_domain).collect();
            for order in orders {
                self.handle_order(&order);
            }
        }
    }

    fn handle_order(&mut self, order: &CapacityOrder) {
        let kind = if order.is_reclaimable {
            "reclaimable"
        } else {
            "regular"
        };
        if order.is_reclaimable && !self.offers_reclaimable {
            self.plan.note_refused(self.now, order);
            return;
        }
        self.orders.push(format!("{kind} {}", order.count));
        self.plan.note_accepted(self.now, order);
        let booting = self
            .booting
            .iter()
            .filter(|(_, of)| *of == order.is_reclaimable);
        let booting = booting.count() as u32;
        let present = match order.is_reclaimable {
            true => &mut self.reclaimable,
            false => &mut self.regular,
        };
        if *present > order.count {
            *present = order.count;
        }
        let missing = order.count.saturating_sub(*present + booting);
        for _ in 0..missing {
            self.booting
                .push((self.now + BOOT_TIME, order.is_reclaimable));
        }
    }

    fn orders(&mut self) -> String {
        std::mem::take(&mut self.orders).join(", ")
    }
}

#[test]
fn reclaimable_upstreams_replace_regular_ones_once_ready() {
    let mut platform = Platform::with_regular(20);
    platform.advance(Duration::from_secs(5));
    assert_eq!(platform.orders(), "reclaimable 20");
    assert_eq!(
        platform.regular, 20,
        "no regular upstream is released before"
    );
    platform.advance(Duration::from_secs(10));
    assert_eq!(platform.orders(), "regular 2, reclaimable 38");
    platform.advance(Duration::from_secs(60));
    assert_eq!(platform.orders(), "", "the orders are not repeated");
    assert_eq!((platform.reclaimable, platform.regular), (38, 2));
}

/// Guards against a domain that stays short of upstreams after all its reclaimable ones were taken
/// away and new ones are refused.
#[test]
fn regular_upstreams_are_ordered_at_once_after_a_reclaim() {
    let mut platform = Platform::with_regular(20);
    platform.advance(Duration::from_secs(20));
    platform.orders();
    platform.reclaimable = 0;
    platform.offers_reclaimable = false;
    platform.advance(Duration::from_millis(800));
    assert_eq!(
        platform.orders(),
        "regular 20",
        "all domains lose their reclaimable upstreams"
    );
    platform.advance(Duration::from_secs(10));
    assert_eq!(platform.regular, 20);
    platform.offers_reclaimable = true;
    platform.advance(Duration::from_secs(30));
    assert_eq!(
        platform.orders(),
        "reclaimable 20, regular 2, reclaimable 38"
    );
}

/// Guards against unnecessary orders of regular upstreams, which cost more, in a domain that lost
/// its reclaimable ones while the upstreams of the other domains suffice for all.
#[test]
fn no_regular_upstreams_are_ordered_while_other_domains_have_enough() {
    let mut plan = CapacityPlan::default();
    let domains = ["a", "b", "c"].map(|domain| (domain.parse().unwrap(), 20));
    let service = || "pool".parse().unwrap();
    plan.restore_baselines(
        domains
            .clone()
            .map(|(domain, count)| (service(), domain, count))
            .into(),
    );
    let platform = Platform::with_regular(2);
    let pools_with_reclaimable = |reclaimable: [u32; 3]| {
        let pools = platform.pools().into_iter().zip(reclaimable);
        let pools = pools.map(|(pool, reclaimable_ready)| PoolCapacity {
            reclaimable_ready,
            ..pool
        });
        pools.collect::<Vec<_>>()
    };
    let regular = |orders: Vec<CapacityOrder>| {
        let orders = orders.into_iter().filter(|order| !order.is_reclaimable);
        let orders = orders.map(|order| format!("{} {}", order.domain, order.count));
        orders.collect::<Vec<_>>().join(", ")
    };
    let now = Time::from_ms(60_000);
    assert_eq!(
        regular(plan.orders(now, &pools_with_reclaimable([38, 38, 38]))),
        ""
    );
    assert_eq!(
        regular(plan.orders(now, &pools_with_reclaimable([0, 38, 38]))),
        ""
    );
    assert_eq!(
        regular(plan.orders(now, &pools_with_reclaimable([0, 0, 38]))),
        "a 10, b 10"
    );
}

/// Guards against a new lease holder that takes over during a reclaim and adopts the reduced number
/// of upstreams as the baseline.
#[test]
fn a_new_lease_holder_keeps_the_stored_baselines() {
    let mut platform = Platform::with_regular(20);
    platform.advance(Duration::from_secs(20));
    let baselines = platform.plan.baselines();
    platform.reclaimable = 3;
    platform.plan = CapacityPlan::default();
    platform.plan.restore_baselines(baselines);
    platform.orders();
    platform.advance(Duration::from_secs(15));
    assert_eq!((platform.reclaimable, platform.regular), (38, 2));
}

/// Guards against thousands of upstreams that start and stop at once. Their announcements would
/// delay other updates that the hosts need in time.
#[test]
fn large_pools_keep_their_regular_upstreams() {
    let mut platform = Platform::with_regular(100);
    platform.advance(Duration::from_secs(30));
    assert_eq!(platform.orders(), "");
}

#[test]
fn nothing_is_ordered_without_reclaimable_upstreams() {
    let mut plan = CapacityPlan::default();
    let platform = Platform::with_regular(20);
    let pool = PoolCapacity {
        reclaimable_price: None,
        ..platform.capacity()
    };
    for second in 0..30 {
        assert!(
            plan.orders(Time::from_ms(second * 1_000), std::slice::from_ref(&pool))
                .is_empty()
        );
    }
}
