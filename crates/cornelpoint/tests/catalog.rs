//! Check of a catalog: faults in, findings out.

use std::collections::BTreeMap;

use cornelpoint::catalog;
use cornelpoint::catalog::Advice;
use cornelpoint::catalog::Catalog;
use cornelpoint::catalog::HttpLimits;
use cornelpoint::catalog::PoolInfo;
use cornelpoint::catalog::Queue;
use cornelpoint::job::Resources;
use cornelpoint::tenant::ApiKey;
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::Tenants;
use expect_test::expect;

fn queue(name: &str, path_prefix: &str, pool: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "api.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        pool: pool.to_owned(),
        priority: 0,
        max_attempts: 1,
        stretch_permille: 1000,
        objective_ms: 0,
        timeout_ms: 1000,
        advice: None,
        public: false,
    }
}

fn pool(name: &str, spare: bool) -> (String, PoolInfo) {
    let info = PoolInfo {
        name: name.to_owned(),
        worker_admission_control: false,
        spare,
    };
    (name.to_owned(), info)
}

fn tenant(name: &str, keys: &[&str], weight_milli: u64) -> RawTenant {
    RawTenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        weight_milli,
        limit: Resources::default(),
    }
}

fn faultless() -> Catalog {
    Catalog {
        version: 7,
        queues: vec![queue("orders", "/orders/", "cpu")],
        pools: BTreeMap::from([pool("cpu", false), pool("idle", true)]),
        limits: HttpLimits {
            max_body_bytes: 1024,
            header_timeout_ms: 1000,
            idle_timeout_ms: 1000,
        },
        tenants: None,
    }
}

fn report(catalog: &Catalog) -> String {
    let findings = catalog::check(catalog);
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against a fault that the check misses, or reports at another entry.
#[test]
fn each_fault_is_found_once() {
    assert_eq!(report(&faultless()), "");

    let mut faulty = faultless();
    faulty.queues = vec![
        queue("hidden", "/a/", "cpu"),
        queue("hiding", "/a/", "cpu"),
        queue("longer", "/a/b/", "cpu"),
        Queue {
            host: String::new(),
            ..queue("hostless", "b", "none")
        },
        Queue {
            host: "api.example:80".to_owned(),
            ..queue("spare", "/c/", "idle")
        },
        queue("open", "", "cpu"),
        Queue {
            max_attempts: 0,
            timeout_ms: 0,
            advice: Some(Advice {
                decide_ms: 40,
                each_ms: 2,
                valid_ms: 41,
            }),
            ..queue("zeros", "/d/", "cpu")
        },
    ];
    faulty.limits = HttpLimits {
        max_body_bytes: 0,
        header_timeout_ms: 1,
        idle_timeout_ms: 0,
    };
    faulty.tenants = Some(Tenants::check(vec![
        Some(tenant("north", &["k1", "k1", ""], 0)),
        Some(tenant("south", &["k2"], 1)),
        Some(tenant("east", &["k2"], 1)),
        Some(tenant("north", &["k3"], 1)),
        None,
    ]));
    expect![[r#"
        error: queue "hidden": never matches: queue "hiding" below has the same host and prefix (remove one of them, or change a prefix)
        error: queue "hostless": never matches: its host is empty (give the host that callers name)
        error: queue "hostless": never matches: its prefix "b" doesn't begin with a slash (begin the prefix with a slash)
        error: queue "hostless": its pool "none" isn't defined (define the pool, or name another one)
        error: queue "spare": never matches: its host has a port, and the port of a request is ignored (give the host without a port)
        error: queue "spare": its pool "idle" is the spare pool (name a pool whose machines are switched on)
        warning: queue "open": its prefix is empty, so that it matches all paths (give the prefix "/" if that is meant)
        warning: queue "zeros": its number of attempts is 0, which counts as 1 (give 1 or more)
        error: queue "zeros": its timeout is 0, so that calls end after 1 ms (give the time within which a call is to be answered)
        error: queue "zeros": advice is valid for 41 ms, and a response for one worker takes 42 ms (raise the validity above the response time)
        error: limits: the body limit is 0, so that no job can be submitted (give the size of the largest body)
        error: limits: the idle timeout is 0 (give a time above 0)
        error: limits: the header timeout, 1 ms, is above the idle timeout, 0 ms (lower the header timeout, or raise the idle timeout)
        warning: tenant "north": tenant north lists a key twice (remove the second one)
        warning: tenant "north": tenant north has an empty key (remove the key, which is ignored)
        error: tenant "south": tenants south and east have the same key (give each its own key; the shared one authenticates neither)
        error: tenant "north": expected one tenant north, found two (merge the entries; only the first one counts)
        error: tenant 4: tenant 4 can't be parsed (mend the entry (counted from 0); its keys authenticate nobody)
        warning: tenant "east": has no valid key (give it a key of its own, or remove it)
        warning: tenant "north": its weight is 0, which counts as a thousandth (give a weight above 0)
        warning: tenant "south": has no valid key (give it a key of its own, or remove it)
    "#]]
    .assert_eq(&(report(&faulty) + "\n"));
}

/// Guards against advice on what `queue_of` would return: the last of equal queues.
#[test]
fn the_hidden_queue_is_the_one_that_never_matches() {
    let mut catalog = faultless();
    catalog.queues.push(queue("again", "/orders/", "cpu"));
    let matching = catalog.queue_of("api.example", "/orders/1").unwrap();
    assert_eq!(matching.name, "again");
    assert_eq!(catalog::check(&catalog)[0].place, r#"queue "orders""#);
}

/// Guards against a change of access or of a limit that is listed without a mark.
#[test]
fn a_first_limit_and_unchecked_keys_need_attention() {
    let with_limit = |memory_mb| {
        let mut north = tenant("north", &["k1"], 1);
        north.limit.memory_mb = memory_mb;
        Catalog {
            version: 8 + memory_mb,
            tenants: Some(Tenants::check(vec![Some(north)])),
            ..faultless()
        }
    };
    let limited = catalog::changes(&with_limit(0), &with_limit(5));
    let unchecked = catalog::changes(&with_limit(5), &faultless());
    let lines = limited.iter().chain(&unchecked).map(ToString::to_string);
    expect![[r#"
        change: version: 8 before, 13 now
        change, warning: tenant "north": limit of memory in MB none before, 5 now
        change, error: version: 7 isn't higher than 13, the one in force
        change, warning: tenants: removed: keys are no longer checked unless the settings name the contract `tenants`
    "#]]
    .assert_eq(&(lines.collect::<Vec<_>>().join("\n") + "\n"));
}
