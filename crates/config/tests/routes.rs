//! Tests of the lookup of the route for a request.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    config::{Route, Routes},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::BTreeMap,
    types::prelude::*,
};

/// Host name and path, drawn from a few values so that routes overlap.
#[derive(Clone, Debug)]
struct RequestTarget {
    hostname: String,
    path: String,
}

impl Arbitrary for RequestTarget {
    fn arbitrary(g: &mut Gen) -> Self {
        let hostname = g.choose(&["a.example", "A.Example", "b.example"]).unwrap();
        let parts = ["/", "shop/", "stock/", "s", "\u{e9}/"];
        let count = usize::arbitrary(g) % 4;
        let rest: String = (0..count).map(|_| *g.choose(&parts).unwrap()).collect();
        Self {
            hostname: (*hostname).to_string(),
            path: format!("/{rest}"),
        }
    }
}

fn routes(targets: &[RequestTarget]) -> BTreeMap<RouteId, Route> {
    let routes = targets.iter().enumerate().map(|(number, target)| {
        let route = Route {
            class: "class".parse().unwrap(),
            hostname: target.hostname.clone(),
            prefix: target.path.clone(),
            // Makes routes with the same host name and prefix distinguishable.
            public: number % 2 == 0,
            services: Vec::new(),
        };
        (format!("route-{number:03}").parse().unwrap(), route)
    });
    routes.collect()
}

/// The lookup finds the same route as a scan of all routes: the longest prefix of the path among
/// the routes of the host name, and of two routes with the same prefix the one with the later id.
#[test]
fn the_longest_prefix_of_the_host_name_is_found() {
    fn finds_longest_prefix(targets: Vec<RequestTarget>, request: RequestTarget) -> bool {
        let all = routes(&targets);
        let expected = all
            .values()
            .filter(|route| route.hostname.eq_ignore_ascii_case(&request.hostname))
            .filter(|route| request.path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
            .cloned();
        let found = Routes::from(all);
        found.find(&request.hostname, &request.path) == expected.as_ref()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 1))
        .tests(2_000)
        .quickcheck(finds_longest_prefix as fn(Vec<RequestTarget>, RequestTarget) -> bool);
}
