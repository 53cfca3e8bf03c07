//! Decisions on what connections and their bodies may hold, and which are closed.

use cornelpoint::connection_budget::BudgetLimits;
use cornelpoint::connection_budget::ClientClass;
use cornelpoint::connection_budget::CloseReason;
use cornelpoint::connection_budget::ConnectionId;
use cornelpoint::connection_budget::ConnectionTable;
use cornelpoint::connection_budget::Held;
use cornelpoint::connection_budget::ListenerBudget;
use cornelpoint::connection_budget::ListenerLimits;
use cornelpoint::connection_budget::ProcessLimits;

/// What a connection and a body count for beside the body's buffer.
const CONNECTION_BYTES: usize = 40_960;
const BODY_BYTES: usize = 40_960;
/// Largest body of a caller, by the operator's limits.
const BODY: usize = 262_144;

/// Limits of a gateway or a keeper that share the smallest entry instance.
const SMALLEST: ProcessLimits = ProcessLimits {
    memory_bytes: 80_000_000,
    max_descriptors: 4100,
};

fn table(max_connections: usize, max_bytes: usize) -> ConnectionTable {
    ConnectionTable::new(BudgetLimits {
        max_connections,
        max_bytes,
        large_body_bytes: max_bytes,
        connection_bytes: CONNECTION_BYTES,
        body_bytes: BODY_BYTES,
    })
}

/// Opens a connection for which nothing needs to be closed.
fn open(table: &mut ConnectionTable, now_ms: u64) -> ConnectionId {
    let (id, closed) = table.open(now_ms);
    assert!(closed.is_empty(), "{closed:?}");
    id.unwrap()
}

/// Opens a connection on which a body has begun.
fn receive(table: &mut ConnectionTable, now_ms: u64, bytes: usize) -> ConnectionId {
    let id = open(table, now_ms);
    table.begin_request(id);
    assert!(table.begin_body(id, now_ms).granted);
    assert!(table.grow(id, bytes, now_ms).granted);
    table.record_progress(id, bytes, now_ms);
    id
}

/// Guards against stalled clients that lock others out.
#[test]
fn the_body_without_progress_for_the_longest_time_makes_room() {
    let each = CONNECTION_BYTES + BODY_BYTES + BODY;
    let mut table = table(100, 3 * each);
    let steady = receive(&mut table, 0, BODY);
    let stalled = receive(&mut table, 10, BODY);
    table.record_progress(steady, 1, 900);
    let id = open(&mut table, 1000);
    table.begin_request(id);
    assert!(table.begin_body(id, 1000).granted);
    let room = table.grow(id, 2 * BODY, 1000);
    let closed: Vec<_> = room.closed.iter().map(|closed| closed.id).collect();
    assert_eq!((room.granted, closed), (true, vec![stalled]));
}

/// Guards against a crowd that displaces bodies which have just begun.
#[test]
fn a_body_is_refused_while_all_others_make_progress() {
    let mut table = table(100, 2 * (CONNECTION_BYTES + BODY_BYTES) + BODY);
    let first = receive(&mut table, 0, BODY);
    let second = open(&mut table, 100);
    table.begin_request(second);
    let begun = table.begin_body(second, 100);
    let grown = table.grow(second, BODY, 100);
    assert!(begun.granted && !grown.granted, "{grown:?}");
    assert!(begun.closed.is_empty() && grown.closed.is_empty());
    assert!(table.grow(first, BODY, 100).granted);
}

/// Guards against many large bodies at once that lock ordinary jobs out.
#[test]
fn a_small_body_displaces_the_largest_while_all_make_progress() {
    let mut table = table(100, 4 * (CONNECTION_BYTES + BODY_BYTES) + BODY + 100_000);
    receive(&mut table, 0, 100_000);
    let largest = receive(&mut table, 0, BODY);
    receive(&mut table, 0, 4096);
    let small = open(&mut table, 100);
    table.begin_request(small);
    let begun = table.begin_body(small, 100);
    let grown = table.grow(small, 4096, 100);
    assert!(begun.granted && grown.granted);
    let closed: Vec<_> = [begun.closed, grown.closed].concat();
    assert_eq!(
        closed.iter().map(|closed| closed.id).collect::<Vec<_>>(),
        [largest]
    );
}

/// Guards against large bodies whose answers are awaited and that leave no room.
#[test]
fn large_bodies_leave_a_part_of_the_room_to_small_ones() {
    let mut table = ConnectionTable::new(BudgetLimits {
        max_connections: 100,
        max_bytes: 10_000_000,
        large_body_bytes: 7_500_000,
        connection_bytes: CONNECTION_BYTES,
        body_bytes: BODY_BYTES,
    });
    let mut answered = 0;
    loop {
        let id = open(&mut table, 0);
        table.begin_request(id);
        if !table.begin_body(id, 0).granted || !table.grow(id, 5 * BODY, 0).granted {
            break;
        }
        table.end_body(id);
        answered += 1;
    }
    assert!(answered >= 4, "{answered}");
    assert!(table.held().bytes <= 7_500_000 + CONNECTION_BYTES + BODY_BYTES);
    let small = open(&mut table, 100);
    table.begin_request(small);
    assert!(table.begin_body(small, 100).granted);
}

/// Guards against clients that hold room by a byte now and then.
#[test]
fn a_body_that_trickles_gives_way_to_a_new_one() {
    let mut table = table(100, 2 * (CONNECTION_BYTES + BODY_BYTES) + BODY);
    let trickling = receive(&mut table, 0, 10_000);
    for now_ms in (0..3000).step_by(100) {
        table.record_progress(trickling, 1, now_ms);
    }
    let new = open(&mut table, 3000);
    table.begin_request(new);
    assert!(table.begin_body(new, 3000).granted);
    let room = table.grow(new, BODY, 3000);
    assert!(room.granted);
    assert_eq!(room.closed[0].id, trickling);
}

/// Guards against a request that is carried out and whose caller is told that it was not.
#[test]
fn a_request_that_is_being_answered_is_never_closed() {
    let mut table = table(1, CONNECTION_BYTES + BODY_BYTES + BODY);
    let id = receive(&mut table, 0, BODY);
    table.end_body(id);
    assert_eq!(table.open(60_000), (None, Vec::new()));
    table.end_request(id, 60_000);
    let (next, closed) = table.open(60_001);
    assert_eq!(closed[0].id, id);
    assert!(next.is_some());
}

/// Guards against closing a connection in use while others are idle.
#[test]
fn the_connection_that_is_idle_for_the_longest_time_is_closed_first() {
    let mut table = table(3, usize::MAX);
    let body = receive(&mut table, 0, 1);
    let busy = open(&mut table, 1);
    let idle = open(&mut table, 2);
    table.begin_request(busy);
    table.end_request(busy, 50);
    let (_, closed) = table.open(60_000);
    assert_eq!(closed[0].id, idle);
    let (_, closed) = table.open(60_001);
    assert_eq!(closed[0].id, busy);
    assert!(table.grow(body, 2, 60_002).granted);
}

/// Guards against room that is never given back.
#[test]
fn what_a_connection_held_is_free_once_it_is_closed() {
    let mut table = table(10, usize::MAX);
    let ids: Vec<_> = (0..5)
        .map(|now_ms| receive(&mut table, now_ms, BODY))
        .collect();
    table.end_body(ids[0]);
    table.end_request(ids[0], 10);
    let one = CONNECTION_BYTES + BODY_BYTES + BODY;
    let expected = Held {
        connections: 5,
        bytes: 4 * one + CONNECTION_BYTES,
    };
    assert_eq!(table.held(), expected);
    for id in ids {
        table.close(id);
        table.close(id);
    }
    assert_eq!(table.held(), Held::default());
}

/// Guards against clients that hold room by not reading their answers, and against closing
/// one that reads.
#[test]
fn an_answer_that_nobody_reads_makes_room() {
    let mut table = table(
        100,
        2 * (CONNECTION_BYTES + BODY_BYTES + BODY) + CONNECTION_BYTES,
    );
    let [read, unread] = [0, 1].map(|now_ms| receive(&mut table, now_ms, BODY));
    for id in [read, unread] {
        table.end_body(id);
        table.begin_answer(id, 100);
    }
    table.record_progress(read, 16_384, 900);
    let new = open(&mut table, 1000);
    table.begin_request(new);
    let begun = table.begin_body(new, 1000);
    assert!(begun.granted);
    assert_eq!(begun.closed[0].id, unread);
    assert!(table.grow(new, BODY, 1000).granted);
    assert!(!table.grow(new, 2 * BODY, 1100).granted);
}

/// Guards against peers that lock operators and health checks out, and the other way round.
#[test]
fn each_kind_of_client_keeps_its_room() {
    let mut budget = ListenerBudget::new(&SMALLEST.keeper(256));
    for class in [ClientClass::Peers, ClientClass::Operators] {
        while let Some(id) = budget.open(0).0 {
            if !budget.begin_request(id, class, 0).granted {
                budget.close(id);
                break;
            }
        }
    }
    for class in [ClientClass::Peers, ClientClass::Operators] {
        let (id, _) = budget.open(1);
        let room = budget.begin_request(id.unwrap(), class, 1);
        assert!(!room.granted && room.closed.is_empty(), "{room:?}");
    }
    let (health, _) = budget.open(2);
    let room = budget.begin_request(health.unwrap(), ClientClass::Balancer, 2);
    assert!(room.granted);
}

/// Guards against newcomers that find no connection to take while all kinds of clients have
/// as many requests as they may.
#[test]
fn newcomers_take_the_connections_without_a_request() {
    let mut budget = ListenerBudget::new(&SMALLEST.gateway_callers(100));
    let requests = (0..1000).filter(|_| {
        let (id, _) = budget.open(0);
        id.is_some_and(|id| budget.begin_request(id, ClientClass::Callers, 0).granted)
    });
    assert_eq!(requests.count(), 75);
    assert_eq!(budget.connections(), 100);
    let (id, closed) = budget.open(1);
    assert!(id.is_some());
    assert_eq!(closed[0].reason, CloseReason::Idle);
}

/// Guards against a connection that stays counted after its request has made room.
#[test]
fn a_request_that_makes_room_gives_up_its_connection() {
    let limits = SMALLEST.gateway_callers(100);
    let mut budget = ListenerBudget::new(&limits);
    let half = limits.class(ClientClass::Callers).budget.large_body_bytes / 2;
    let receive = |budget: &mut ListenerBudget, now_ms: u64| {
        let id = budget.open(now_ms).0.unwrap();
        assert!(
            budget
                .begin_request(id, ClientClass::Callers, now_ms)
                .granted
        );
        assert!(budget.begin_body(id, now_ms).granted);
        (id, budget.hold(id, half, now_ms))
    };
    let (stalled, room) = receive(&mut budget, 0);
    assert!(room.granted);
    let (id, room) = receive(&mut budget, 1000);
    assert!(room.granted);
    assert_eq!(room.closed[0].id, stalled);
    assert_eq!(budget.connections(), 1);
    assert!(!budget.hold(stalled, 1, 1001).granted);
    budget.close(stalled);
    budget.close(id);
    assert_eq!(budget.held(ClientClass::Callers), Held::default());
    assert_eq!(budget.connections(), 0);
}

/// Guards against defaults that promise more than the smallest entry instance has.
#[test]
fn a_gateway_and_a_keeper_fit_on_the_smallest_instance() {
    let bytes = |limits: &ListenerLimits| {
        let classes = ClientClass::ALL.map(|class| limits.class(class).budget.max_bytes);
        limits.connections.max_bytes + classes.iter().sum::<usize>()
    };
    let callers = SMALLEST.gateway_callers(512);
    let control = SMALLEST.gateway_control();
    let keeper = SMALLEST.keeper(256);
    assert_eq!(callers.connections.max_connections, 512);
    assert_eq!(keeper.connections.max_connections, 256);
    let gateway_bytes = bytes(&callers) + bytes(&control);
    let keeper_bytes = bytes(&keeper);
    assert!(gateway_bytes <= 48_000_000, "{gateway_bytes}");
    assert!(keeper_bytes <= 48_000_000, "{keeper_bytes}");
    let largest = keeper.class(ClientClass::Peers).largest_body_bytes();
    assert!(largest >= 1_835_008, "{largest}");
    let requests = callers.class(ClientClass::Callers).budget;
    assert!(requests.max_connections * requests.connection_bytes <= requests.max_bytes);
    let endpoint_connections = requests.max_connections;
    let descriptors = callers.connections.max_connections + endpoint_connections;
    assert!(descriptors < 4100 / 2, "{descriptors}");
}

/// Guards against a request that is carried out after its connection made room, which tells
/// its client that it may send it again.
#[test]
fn a_connection_that_was_closed_gets_no_request() {
    let mut budget = ListenerBudget::new(&SMALLEST.gateway_callers(1));
    let (first, _) = budget.open(0);
    let (_, closed) = budget.open(1);
    assert_eq!(Some(closed[0].id), first);
    let room = budget.begin_request(first.unwrap(), ClientClass::Callers, 2);
    assert!(!room.granted);
}

/// The same once a body is complete.
#[test]
fn a_request_with_a_complete_body_is_never_closed() {
    let limits = SMALLEST.gateway_callers(100);
    let mut budget = ListenerBudget::new(&limits);
    let most = limits.class(ClientClass::Callers).budget.large_body_bytes - 100_000;
    let mut begin = |now_ms: u64| {
        let id = budget.open(now_ms).0.unwrap();
        assert!(
            budget
                .begin_request(id, ClientClass::Callers, now_ms)
                .granted
        );
        assert!(budget.begin_body(id, now_ms).granted);
        (id, budget.complete_body(id, most, now_ms))
    };
    let (_, room) = begin(0);
    assert!(room.granted);
    let (_, room) = begin(60_000);
    assert!(!room.granted && room.closed.is_empty(), "{room:?}");
}
