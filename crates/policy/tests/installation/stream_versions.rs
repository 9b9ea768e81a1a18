//! Streams that callers take up at other hosts go on only at the software version that began them.

use {
    crate::{
        stream_versions_simulation::{BegunStream, StreamInstallation, TakeUp, versioned_engines},
        support::{TestRequest, refused, sent},
    },
    policy::{Event, RefusalReason},
    std::{collections::BTreeSet, time::Duration},
    types::{AdvertisedBackoff, prelude::*},
};

/// Hosts and failure domains of the simulated installations.
const SIZES: [(usize, usize); 5] = [(6, 3), (9, 3), (66, 3), (381, 3), (985, 5)];

/// Engines by version: from one engine of a version to half of all.
const VERSIONS: [&[(&str, usize)]; 3] = [
    &[("v1", 8), ("v1.1", 2)],
    &[("v1", 5), ("v1.1", 5)],
    &[("v1", 4), ("v1.1", 3), ("v1.2", 3)],
];

/// Streams of each scenario.
const STREAMS: usize = 60;

/// Share of the taken-up streams that must go on while two engines of their version serve.
const MIN_SHARE: f64 = 0.9;

/// Taken-up streams by what became of them.
#[derive(Debug, Default)]
struct Counts {
    gone_on: usize,
    joined: usize,
    refused: usize,
}

impl Counts {
    fn add(&mut self, begun: &BegunStream, taken_up: &TakeUp) {
        match taken_up {
            TakeUp::Sent(version) if *version == begun.version => self.gone_on += 1,
            TakeUp::Sent(_) => self.joined += 1,
            TakeUp::Refused(_) => self.refused += 1,
        }
    }

    fn check(&self, context: &str) {
        let all = self.gone_on + self.refused;
        assert_eq!(self.joined, 0, "{context}: {self:?}");
        assert!(
            self.gone_on as f64 >= MIN_SHARE * all as f64,
            "{context}: {self:?}"
        );
    }
}

/// Nine hosts that have long listed engines of one version.
fn installation_with_old_version(seed: u64) -> StreamInstallation {
    let mut installation = StreamInstallation::start(9, 3, &[("v1", 4)], seed);
    installation.advance_with_notes(40_000);
    installation
}

/// Lists engines of a new version at hosts that reach the store, and begins streams there.
fn streams_of_new_version(installation: &mut StreamInstallation) -> Vec<BegunStream> {
    installation.list_engines(&versioned_engines(&[("v1", 4), ("v1.1", 4)]));
    installation.advance(500);
    let begun = (0..STREAMS).map(|number| installation.begin(1 + number % 8));
    let begun: Vec<BegunStream> = begun.collect();
    begun
        .into_iter()
        .filter(|begun| begun.version == "v1.1")
        .collect()
}

/// Fails the first attempt of a stream, so that a second one begins it. Returns the stream and
/// whether its version changed; `None` if it was not retried.
fn retry(
    installation: &mut StreamInstallation,
    mut begun: BegunStream,
) -> Option<(BegunStream, bool)> {
    let (cause, verdict) = (FailureCause::Busy, Verdict::NotRun);
    let host = &mut installation.hosts[begun.host];
    let actions = host.fail(&begun.order, begun.request, cause, verdict, false);
    // The retry budget may be used up.
    let order = sent(&actions)?;
    installation.deliver_from(begun.host);
    let first_version = std::mem::replace(&mut begun.version, installation.version_of(&order));
    installation.hosts[begun.host].handle(Event::Progressed {
        attempt: order.attempt,
        longest_pause: Duration::ZERO,
        request: begun.request,
        tokens: Tokens::new(1),
    });
    installation.deliver_from(begun.host);
    let has_changed = first_version != begun.version;
    Some((begun, has_changed))
}

/// Begins and takes up streams in all sizes of installations, with a fault between the two.
fn check_with_fault(loss: f64, fault: impl Fn(&mut StreamInstallation, &BegunStream)) {
    for (size, versions) in SIZES.into_iter().zip(VERSIONS.into_iter().cycle()) {
        let (hosts, domains) = size;
        let mut installation = StreamInstallation::start(hosts, domains, versions, 1);
        installation.loss = loss;
        let mut counts = Counts::default();
        for _ in 0..STREAMS {
            let host = installation.host_in_domain(0);
            let begun = installation.begin(host);
            fault(&mut installation, &begun);
            let to = loop {
                let to = installation.host_in_domain(0);
                if !installation.down.contains(&to) && to != begun.host {
                    break to;
                }
            };
            let taken_up = installation.take_up(to, begun.stream);
            counts.add(&begun, &taken_up);
            installation.down.clear();
        }
        counts.check(&format!("{hosts} hosts"));
    }
}

#[test]
fn a_stream_goes_on_after_its_host_is_killed() {
    check_with_fault(0.0, |installation, begun| {
        installation.down.insert(begun.host);
    });
}

#[test]
fn a_stream_goes_on_where_messages_are_lost() {
    check_with_fault(0.03, |installation, begun| {
        installation.down.insert(begun.host);
    });
}

/// Guards against keepers of a stream that are all in the failure domain of its host.
#[test]
fn a_stream_goes_on_in_another_domain_when_its_own_is_lost() {
    for (hosts, domains) in SIZES.into_iter().filter(|(hosts, _)| *hosts < 384) {
        let mut installation = StreamInstallation::start(hosts, domains, VERSIONS[1], 2);
        let mut counts = Counts::default();
        for _ in 0..STREAMS {
            let begun_at = installation.host_in_domain(0);
            let begun = installation.begin(begun_at);
            installation.down = installation.hosts_of_domain(0).collect();
            let to = installation.host_in_domain(1);
            let taken_up = installation.take_up(to, begun.stream);
            counts.add(&begun, &taken_up);
            installation.down.clear();
        }
        counts.check(&format!("{hosts} hosts"));
    }
}

/// Guards against a version that is assumed after all hosts that knew it were restarted.
#[test]
fn no_stream_is_joined_after_hosts_were_restarted() {
    for share in [2, 1] {
        let mut installation = StreamInstallation::start(9, 3, VERSIONS[1], 3);
        let mut counts = Counts::default();
        for _ in 0..STREAMS {
            let begun_at = installation.random_host();
            let begun = installation.begin(begun_at);
            let restarted: BTreeSet<usize> = (0..9).filter(|host| host % share == 0).collect();
            restarted
                .iter()
                .for_each(|host| installation.restart(*host));
            let to = installation.random_host();
            let taken_up = installation.take_up(to, begun.stream);
            counts.add(&begun, &taken_up);
        }
        assert_eq!(counts.joined, 0, "{counts:?}");
        let all_restarted = share == 1;
        assert_eq!(counts.gone_on == 0, all_restarted, "{counts:?}");
    }
}

/// Guards against the version of an attempt that failed before the first event.
#[test]
fn the_version_of_the_last_attempt_counts() {
    let mut installation = StreamInstallation::start(9, 3, VERSIONS[1], 4);
    installation.loss = 0.03;
    let mut counts = Counts::default();
    let mut changed = 0;
    for _ in 0..STREAMS {
        let host = installation.random_host();
        let begun = installation.begin(host);
        let Some((begun, has_changed)) = retry(&mut installation, begun) else {
            continue;
        };
        changed += usize::from(has_changed);
        installation.down.insert(host);
        let taken_up = installation.take_up((host + 1) % 9, begun.stream);
        counts.add(&begun, &taken_up);
        installation.down.clear();
    }
    assert!(changed > 5, "only {changed} streams changed their version");
    counts.check("retried");
}

/// Guards against a keeper that missed the report of a later attempt.
#[test]
fn an_outdated_report_joins_no_stream() {
    for still_cut_off in [false, true] {
        let mut installation = StreamInstallation::start(9, 3, VERSIONS[1], 13);
        let mut counts = Counts::default();
        for number in 0..4 * STREAMS {
            let host = number % 9;
            let keeper = (host + 1 + number % 8) % 9;
            let begun = installation.begin(host);
            installation.cut_off.insert(keeper);
            let retried = retry(&mut installation, begun);
            if !still_cut_off {
                installation.cut_off.clear();
            }
            if let Some((begun, true)) = retried {
                let taken_up = installation.take_up(keeper, begun.stream);
                counts.add(&begun, &taken_up);
            }
            installation.cut_off.clear();
            installation.advance(1_000);
        }
        assert_eq!(counts.joined, 0, "{still_cut_off}: {counts:?}");
        assert_eq!(counts.gone_on == 0, still_cut_off, "{counts:?}");
    }
}

#[test]
fn a_stream_may_be_taken_up_several_times() {
    let mut installation = StreamInstallation::start(66, 3, VERSIONS[2], 5);
    for _ in 0..STREAMS {
        let host = installation.random_host();
        let begun = installation.begin(host);
        installation.down.insert(host);
        for _ in 0..4 {
            let to = loop {
                let to = installation.random_host();
                if !installation.down.contains(&to) {
                    break to;
                }
            };
            let expected = TakeUp::Sent(begun.version.clone());
            assert_eq!(installation.take_up(to, begun.stream), expected);
            installation.down.insert(to);
        }
        installation.down.clear();
    }
}

/// Guards against a release during which the versions that hosts assume change.
#[test]
fn no_stream_is_joined_while_a_release_passes_through() {
    let mut installation = StreamInstallation::start(9, 3, &[("v1", 6)], 6);
    installation.advance(30_000);
    let mut begun = Vec::new();
    let mut counts = Counts::default();
    for replaced in 0..=6 {
        let versions = [("v1", 6 - replaced), ("v1.1", replaced)];
        installation.list_engines(&versioned_engines(&versions));
        for stream in std::mem::take(&mut begun) {
            let stream: BegunStream = stream;
            installation.down.insert(stream.host);
            let to = (stream.host + 1) % 9;
            let taken_up = installation.take_up(to, stream.stream);
            let is_served = versions
                .iter()
                .any(|(version, count)| *version == stream.version && *count > 0);
            if is_served {
                counts.add(&stream, &taken_up);
            } else {
                let gone = TakeUp::Refused(RefusalReason::StreamVersionGone);
                assert_eq!(taken_up, gone);
            }
            installation.down.clear();
        }
        for host in 0..9 {
            begun.push(installation.begin(host));
        }
        installation.advance(500);
    }
    counts.check("release");
}

#[test]
fn a_stream_of_unknown_version_is_refused_unless_there_is_only_one_version() {
    let mut installation = StreamInstallation::start(9, 3, &[("v1", 4)], 7);
    let mut streams = 0;
    let mut take_up = |installation: &mut StreamInstallation| {
        streams += 1;
        let unknown = StreamId::of_attempt(&format!("begun by nobody, {streams}"));
        installation.take_up(streams % 9, unknown)
    };
    let refusal = TakeUp::Refused(RefusalReason::StreamVersionUnknown);
    let only_version = TakeUp::Sent("v1".to_string());
    assert_eq!(take_up(&mut installation), refusal, "just started");
    installation.advance(30_000);
    assert_eq!(take_up(&mut installation), only_version);
    installation.list_engines(&versioned_engines(&[("v1", 4), ("v1.1", 1)]));
    assert_eq!(take_up(&mut installation), refusal, "two versions");
    installation.list_engines(&versioned_engines(&[("v1", 4)]));
    assert_eq!(take_up(&mut installation), refusal, "v1.1 just left");
    installation.advance(30_000);
    assert_eq!(
        take_up(&mut installation),
        refusal,
        "a host may still list v1.1"
    );
    installation.advance_coarsely(600_000);
    assert_eq!(take_up(&mut installation), only_version);
    installation.down = (0..9).collect();
    assert_eq!(take_up(&mut installation), refusal, "cut off");
    installation.down.clear();
    let listed = versioned_engines(&[("v1", 4)]);
    for host in &mut installation.hosts {
        host.handle(Event::DirectoryRead {
            common: Some(listed.keys().take(2).cloned().collect()),
            leaving: BTreeSet::new(),
            upstreams: listed.clone(),
        });
    }
    assert_eq!(take_up(&mut installation), refusal, "others may exist");
}

/// Guards against a version that is assumed from a list of before a host was cut off.
#[test]
fn no_stream_is_joined_at_a_host_that_missed_a_new_version() {
    let mut installation = installation_with_old_version(11);
    installation.cut_off.insert(0);
    let mut counts = Counts::default();
    for begun in streams_of_new_version(&mut installation) {
        let taken_up = installation.take_up(0, begun.stream);
        counts.add(&begun, &taken_up);
    }
    assert_eq!(counts.joined, 0, "{counts:?}");
}

/// Guards against a version that is assumed although a host that is cut off still sends to another.
#[test]
fn no_stream_of_a_host_with_an_old_list_is_joined() {
    let mut installation = installation_with_old_version(14);
    installation.cut_off.insert(0);
    installation.list_engines(&versioned_engines(&[("v1.1", 4)]));
    installation.advance_with_notes(40_000);
    let refusal = TakeUp::Refused(RefusalReason::StreamVersionUnknown);
    for number in 0..STREAMS {
        let stream = installation.begin_unreported(0);
        assert_eq!(installation.take_up(1 + number % 8, stream), refusal);
    }
}

/// Guards against a version that is assumed although another one came and went unseen.
#[test]
fn no_version_is_assumed_after_changes_of_the_list_were_missed() {
    let mut installation = installation_with_old_version(15);
    let refusal = TakeUp::Refused(RefusalReason::StreamVersionUnknown);
    for host in &mut installation.hosts {
        host.handle(Event::DirectoryChangesMissed);
    }
    let unknown = |number: u32| StreamId::of_attempt(&format!("begun by nobody, {number}"));
    assert_eq!(installation.take_up(0, unknown(1)), refusal);
    installation.advance(40_000);
    let only_version = TakeUp::Sent("v1".to_string());
    assert_eq!(installation.take_up(0, unknown(2)), only_version);
}

/// Guards against a version that is assumed because a host that does not know it answered.
#[test]
fn no_stream_is_joined_at_a_host_that_was_paused() {
    const PAUSE_MS: u64 = 6_000;
    let mut counts = Counts::default();
    for first_heard in 1..9 {
        let mut installation = installation_with_old_version(12);
        installation.cut_off.insert(0);
        let begun = streams_of_new_version(&mut installation);
        installation.cut_off.clear();
        installation.resume_after_pause(0, PAUSE_MS);
        installation.deliver_load_note(first_heard, 0);
        for begun in begun {
            let taken_up = installation.take_up(0, begun.stream);
            counts.add(&begun, &taken_up);
        }
    }
    assert_eq!(counts.joined, 0, "{counts:?}");
}

/// Guards against refusals beside hosts of the previous release, which answer no questions.
#[test]
fn the_only_version_is_assumed_beside_hosts_that_do_not_answer() {
    let mut installation = StreamInstallation::start(9, 3, &[("v1", 4)], 10);
    installation.advance_with_notes(30_000);
    installation.down = (1..9).collect();
    let unknown = StreamId::of_attempt("begun by nobody");
    let only_version = TakeUp::Sent("v1".to_string());
    assert_eq!(installation.take_up(0, unknown), only_version);
}

/// Guards against requests that wait behind a stream whose engines are full or gone.
#[test]
fn a_stream_whose_engines_are_full_holds_up_no_other_request() {
    let mut installation = StreamInstallation::start(9, 3, &[("v1", 1), ("v1.1", 3)], 8);
    let begun = loop {
        let begun = installation.begin(0);
        if begun.version == "v1" {
            break begun;
        }
    };
    let asked_at = installation.hosts[0].now;
    installation.hosts[0].handle(Event::NoticeAnswered {
        notice: UpstreamNotice {
            backoff: AdvertisedBackoff::Valid(Duration::from_secs(2)),
            ..UpstreamNotice::default()
        },
        sent: asked_at,
        upstream: begun.order.upstream.clone(),
    });
    let prompt = TestRequest {
        resumed_stream: Some(begun.stream),
        ..TestRequest::prompt("draft", "first-key", &[(1, 500), (2, 100)])
    };
    let (_, actions) = installation.hosts[0].ask(prompt);
    assert!(sent(&actions).is_none() && refused(&actions).is_none());
    assert_eq!(installation.begin(0).version, "v1.1");
    installation.list_engines(&versioned_engines(&[("v1.1", 4)]));
    installation.hosts[0].advance(50);
    let actions = std::mem::take(&mut installation.hosts[0].actions);
    let refusal = refused(&actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::StreamVersionGone);
    assert!(refusal.retry_after.is_some());
}

/// Guards against messages about streams whose number grows with the installation.
#[test]
fn the_cost_of_a_stream_does_not_depend_on_the_size() {
    let costs = [(66, 3), (985, 5)].map(|(hosts, domains)| {
        let mut installation = StreamInstallation::start(hosts, domains, VERSIONS[1], 9);
        for _ in 0..STREAMS {
            let host = installation.random_host();
            installation.begin(host);
        }
        assert_eq!(installation.messages, 2 * STREAMS);
        installation.message_bytes / installation.messages
    });
    assert!(costs.iter().all(|bytes| *bytes <= 40), "{costs:?}");
    assert_eq!(costs[0], costs[1]);
}
