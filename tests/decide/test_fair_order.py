from __future__ import annotations

import collections
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.decide import (
    NS_PER_MS,
    ConcurrencyWindow,
    ConnectionQueue,
    ConnectionRequest,
)
from rosemarysaddle.decide.load._fair_order import (
    MAX_ON_TIME_RUN,
    MAX_PASSES,
)
from rosemarysaddle.decide.load._work_estimates import MIN_OPERATIONS

LIMIT = 4
NOW_NS = 1_000 * NS_PER_MS
LATE = ConnectionRequest(objective_ns=1)
SHORT = ConnectionRequest(service_class="short")
LONG = ConnectionRequest(service_class="long")
ON_TIME = ConnectionRequest(objective_ns=2 * NOW_NS)


def _queue(size: float = 1) -> ConnectionQueue[str]:
    return ConnectionQueue(limit=LIMIT, window=ConcurrencyWindow(size=size))


def _serve(queue: ConnectionQueue[str], count: int) -> list[str]:
    """Serve requests one after the other, each for 1 ms."""
    order = []
    for _ in range(count):
        waiter = queue.pop(now_ns=NOW_NS)
        assert waiter is not None
        request = waiter.connection_request
        queue.record_acquired(request)
        queue.record_released(request, NS_PER_MS, now_ns=NOW_NS)
        order.append(waiter.item)
    return order


def test_team_that_sends_rarely_goes_before_the_rest_of_a_flood() -> None:
    queue = _queue()
    for number in range(20):
        request = ConnectionRequest(team="hot")
        queue.push(request, f"hot{number}", now_ns=NOW_NS)
    queue.push(ConnectionRequest(team="rare"), "rare", now_ns=NOW_NS)

    assert "rare" in _serve(queue, 2)


def test_shares_of_teams_follow_their_weights() -> None:
    queue = _queue()
    for number in range(60):
        for team, weight in (("a", 1.0), ("b", 2.0)):
            request = ConnectionRequest(team=team, weight=weight)
            queue.push(request, f"{team}{number}", now_ns=NOW_NS)

    served = collections.Counter(item[0] for item in _serve(queue, 60))

    assert served["b"] == pytest.approx(40, abs=1)


def test_late_requests_wait_for_a_bounded_number_of_others() -> None:
    queue = _queue()
    queue.push(LATE, "late", now_ns=NOW_NS)
    for number in range(20):
        queue.push(ON_TIME, f"{number}", now_ns=NOW_NS)

    assert _serve(queue, 21).index("late") == MAX_ON_TIME_RUN


def test_late_requests_give_a_team_no_credit() -> None:
    # Passed over as late, a hot team gained credit that it then used up
    # before teams that send rarely.
    queue = _queue()
    for number in range(30):
        late = ConnectionRequest(team="hot", objective_ns=1)
        queue.push(late, f"hot{number}", now_ns=NOW_NS)
        queue.push(ON_TIME, f"other{number}", now_ns=NOW_NS)
    _serve(queue, 20)
    for number in range(30, 50):
        request = ConnectionRequest(team="hot")
        queue.push(request, f"hot{number}", now_ns=NOW_NS)
    queue.push(ConnectionRequest(team="rare"), "rare", now_ns=NOW_NS)

    assert "rare" in _serve(queue, MAX_ON_TIME_RUN)


def test_woken_request_keeps_its_place() -> None:
    queue = _queue()
    queue.push(ConnectionRequest(), "first", now_ns=NOW_NS)
    queue.push(ConnectionRequest(), "second", now_ns=NOW_NS)
    waiter = queue.pop(now_ns=NOW_NS)
    assert waiter is not None
    queue.push(
        waiter.connection_request,
        waiter.item,
        now_ns=NOW_NS,
        number=waiter.number,
    )

    assert _serve(queue, 2) == ["first", "second"]


def test_queue_that_stalls_expects_longer_waits_and_recovers() -> None:
    queue = _queue(size=4)
    request = ConnectionRequest()
    usual_ns = queue.expected_wait_ns(request, now_ns=NOW_NS)
    waiter = queue.push(request, "", now_ns=NOW_NS)
    stalled_ns = NOW_NS + 400 * NS_PER_MS
    assert queue.expected_wait_ns(request, now_ns=stalled_ns) > 4 * usual_ns

    # Nobody waits any more, so that only time can show a recovery.
    queue.remove(waiter, now_ns=stalled_ns)
    later_ns = stalled_ns + 5_000 * NS_PER_MS
    assert queue.expected_wait_ns(request, now_ns=later_ns) < 2 * usual_ns


_REQUESTS = st.builds(
    ConnectionRequest,
    priority=st.integers(0, 2),
    pinned=st.booleans(),
    team=st.sampled_from(["", "a", "b", "c"]),
    objective_ns=st.sampled_from([0, 1, 2 * NOW_NS]),
    weight=st.sampled_from([0.25, 1.0, 4.0]),
)


@given(st.lists(st.none() | _REQUESTS, max_size=60))
def test_no_request_waits_while_capacity_is_free(
    steps: list[ConnectionRequest | None],
) -> None:
    # None is the return of the connection that was lent first.
    queue = _queue(size=3)
    used: list[ConnectionRequest] = []
    for number, step in enumerate(steps):
        if step is not None:
            queue.push(step, f"{number}", now_ns=NOW_NS + number)
        elif used:
            queue.record_released(used.pop(0), 1, now_ns=NOW_NS + number)
        while (waiter := queue.pop(now_ns=NOW_NS + number)) is not None:
            queue.record_acquired(waiter.connection_request)
            used.append(waiter.connection_request)
        for waiting in queue.waiters:
            assert not queue.may_acquire(waiting.connection_request)
    while used:
        queue.record_released(used.pop(), 1, now_ns=NOW_NS)
        while (waiter := queue.pop(now_ns=NOW_NS)) is not None:
            queue.record_acquired(waiter.connection_request)
            used.append(waiter.connection_request)
    assert len(queue) == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.sampled_from([0, 1, 2 * NOW_NS]),
            st.booleans(),
        ),
        max_size=80,
    )
)
def test_no_waiting_team_is_passed_over_without_bound(
    steps: list[tuple[str, int, bool]],
) -> None:
    """Between two services of a waiting team, others are bounded.

    Each other team is served at most once more than its weight allows,
    at most ``MAX_ON_TIME_RUN`` times as often if all requests of the
    team are late.
    """
    weights = {"a": 1.0, "b": 2.0, "c": 4.0}
    queue = _queue()
    passed: collections.Counter[str] = collections.Counter()
    for team, objective_ns, serves in steps:
        request = ConnectionRequest(
            team=team, weight=weights[team], objective_ns=objective_ns
        )
        queue.push(request, team, now_ns=NOW_NS)
        if not serves:
            continue
        (served,) = _serve(queue, 1)
        for other in {w.item for w in queue.waiters} - {served}:
            passed[other] += 1
            turn = sum(
                math.ceil(weights[t] / weights[other]) + 1
                for t in weights
                if t != other
            )
            assert passed[other] <= (MAX_ON_TIME_RUN + 1) * (turn + 1)
        passed[served] = 0


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.booleans()),
        max_size=60,
    ),
    st.booleans(),
)
def test_order_of_equal_work_without_teams_is_by_priority_and_arrival(
    steps: list[tuple[int, bool]], pinned: bool
) -> None:
    # Guards against an order by chance where operations are alike.
    queue = _queue()
    expected: list[tuple[int, int]] = []
    for number, (priority, serves) in enumerate(steps):
        request = ConnectionRequest(priority=priority, pinned=pinned)
        queue.push(request, f"{number}", now_ns=NOW_NS)
        expected.append((priority, number))
        if serves:
            first = min(expected)
            expected.remove(first)
            assert _serve(queue, 1) == [str(first[1])]


def _queue_of_short_and_long() -> ConnectionQueue[str]:
    queue = _queue()
    for request, work_ms in ((SHORT, 10), (LONG, 50)):
        for _ in range(MIN_OPERATIONS):
            queue.record_acquired(request)
            queue.record_released(request, work_ms * NS_PER_MS, now_ns=NOW_NS)
    return queue


def test_short_operations_go_before_long_ones() -> None:
    # In order of arrival, the long operations of callers with more time
    # displaced the short ones, which were then refused.
    queue = _queue_of_short_and_long()
    for number in range(3):
        queue.push(LONG, f"long{number}", now_ns=NOW_NS)
        queue.push(SHORT, f"short{number}", now_ns=NOW_NS)

    served = _serve(queue, 6)

    assert served == [
        f"{kind}{n}" for kind in ("short", "long") for n in range(3)
    ]


def test_long_operation_waits_for_a_bounded_number_of_short_ones() -> None:
    queue = _queue_of_short_and_long()
    queue.push(LONG, "long", now_ns=NOW_NS)
    for number in range(2 * MAX_PASSES):
        queue.push(SHORT, f"{number}", now_ns=NOW_NS)

    assert _serve(queue, 2 * MAX_PASSES).index("long") == MAX_PASSES


def test_long_operations_do_not_add_to_the_wait_of_a_short_one() -> None:
    # Guards against refusals of short operations at once, for a wait
    # that they do not have.
    queue = _queue_of_short_and_long()
    for _ in range(MAX_PASSES):
        queue.push(LONG, "long", now_ns=NOW_NS)

    wait_ns = queue.expected_wait_ns(SHORT, now_ns=NOW_NS)

    assert wait_ns < queue.expected_wait_ns(LONG, now_ns=NOW_NS)
    assert wait_ns == _queue_of_short_and_long().expected_wait_ns(
        SHORT, now_ns=NOW_NS
    )


def test_refused_statements_do_not_make_a_kind_look_short() -> None:
    # A replica that is behind refuses reads within a round trip.  Once
    # it was the primary, all kinds looked alike.
    queue = _queue_of_short_and_long()
    for _ in range(10 * MIN_OPERATIONS):
        queue.record_acquired(LONG)
        queue.record_released(LONG, 1, now_ns=NOW_NS, ran_nothing=True)
    queue.push(LONG, "long", now_ns=NOW_NS)
    queue.push(SHORT, "short", now_ns=NOW_NS)

    assert _serve(queue, 2) == ["short", "long"]
