//! Services between which a new configuration moves streams.

use base::Name;
use route::{
    CallKind, CallerLimits, RouteSpec, RouteTable, RouteTableBuilder, StreamMoves, WeightedService,
};

const LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16_384,
    body_bytes: 1 << 20,
    head_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// Prefix, whether its streams may be taken up, and the services with their weights.
type TestRoute<'a> = (&'a str, bool, &'a [(&'a str, u32)]);

fn table(routes: &[TestRoute<'_>]) -> RouteTable {
    let specs = routes.iter().map(|(prefix, resumable, split)| RouteSpec {
        name: (*prefix).into(),
        host: "a.example".into(),
        path_prefix: (*prefix).into(),
        kind: CallKind::Stream { resumable: *resumable },
        timeout_ms: 1_000,
        target_latency_ms: 100,
        max_attempts: 1,
        public: false,
        has_prompt: false,
        split: split
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
    });
    specs.fold(RouteTableBuilder::new(1, LIMITS), RouteTableBuilder::route).build()
}

fn moves(former: &[TestRoute<'_>], routes: &[TestRoute<'_>]) -> (String, String, bool) {
    let StreamMoves { changed, gained, is_any_lost } =
        StreamMoves::between(&table(former), &table(routes));
    let join = |names: std::collections::BTreeSet<Name>| {
        names.iter().map(|name| &**name).collect::<Vec<_>>().join(" ")
    };
    (join(changed), join(gained), is_any_lost)
}

/// Guards against a stream that goes on at another service, as a change of its route was not
/// noticed (ORDER).
#[test]
fn services_between_which_streams_move_are_found() {
    let app: TestRoute<'_> = ("/", true, &[("app", 1)]);
    let slow: TestRoute<'_> = ("/slow/", true, &[("other", 1)]);
    let (even, uneven) = ([("app", 1), ("other", 1)], [("app", 3), ("other", 1)]);
    let cases: [(&str, Vec<TestRoute<'_>>, Vec<TestRoute<'_>>); 6] = [
        ("another service", vec![app], vec![("/", true, &[("other", 1)])]),
        ("a longer prefix is new", vec![app], vec![app, slow]),
        ("a longer prefix is removed", vec![app, slow], vec![app]),
        ("a split begins", vec![app], vec![("/", true, &even)]),
        ("weights change", vec![("/", true, &even)], vec![("/", true, &uneven)]),
        (
            "the order of a split changes",
            vec![("/", true, &even)],
            vec![("/", true, &[("other", 1), ("app", 1)])],
        ),
    ];
    for (case, former, routes) in cases {
        let expected = ("app other".to_owned(), String::new(), false);
        assert_eq!(moves(&former, &routes), expected, "{case}");
    }
}

/// Guards against messages and refusals after changes that move no stream (LOST).
#[test]
fn changes_that_move_no_stream_are_ignored() {
    let app: TestRoute<'_> = ("/", true, &[("app", 1)]);
    let none = (String::new(), String::new(), false);
    for (case, former, routes) in [
        ("the weight of the only service", vec![app], vec![("/", true, &[("app", 7)][..])]),
        ("a service with weight 0", vec![app], vec![("/", true, &[("app", 1), ("other", 0)])]),
        ("a longer prefix of the same service", vec![app], vec![app, ("/slow/", true, app.2)]),
        (
            "a route whose streams can't be taken up",
            vec![("/", false, &[("app", 1)])],
            vec![("/", false, &[("other", 1)])],
        ),
    ] {
        assert_eq!(moves(&former, &routes), none, "{case}");
        assert_eq!(moves(&routes, &former), none, "{case}, reversed");
    }
}

/// Guards against a stream whose path had no route for a while and then another service.
#[test]
fn paths_that_are_lost_and_gained_are_told_apart() {
    let app: TestRoute<'_> = ("/", true, &[("app", 1)]);
    let gained = (String::new(), "app".to_owned(), false);
    let lost = (String::new(), String::new(), true);
    assert_eq!(moves(&[], &[app]), gained);
    assert_eq!(moves(&[app], &[]), lost);
    let closed: TestRoute<'_> = ("/slow/", false, &[("app", 1)]);
    assert_eq!(moves(&[app], &[app, closed]), lost, "a longer prefix takes the path");
    assert_eq!(moves(&[app, closed], &[app]), gained);
}
