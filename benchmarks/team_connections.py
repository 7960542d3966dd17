"""Openings at one target under a load of many teams.

Plays Poisson arrivals of teams sized 1/rank^1.2 against the decisions
of each lender of one target, in simulated time and without a network:

    python -m benchmarks.team_connections

It prints, for each fleet and number of teams, which part of the
requests opened a connection and which part of the target's slot time
the openings took: with a lender in each data centre, with one for all,
and with one for all that closes the least recently used connection.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide import (
    NS_PER_MS,
    ConnectionRequest,
    TeamConnections,
    TeamScope,
    max_concurrent_opens,
    share_connections,
)

if TYPE_CHECKING:
    from collections.abc import Callable

OPENING_MS: Final = 12.0
ROUND_TRIP_MS: Final = 2.0
EXPONENT: Final = 1.2
SEED: Final = 7
WARM_UP_S: Final = 120
MEASURED_S: Final = 600
# A transaction holds its connection for this long.
TRANSACTION_MS: Final = 100.0
TRANSACTION_FRACTION: Final = 0.2


@attrs.frozen(kw_only=True)
class Fleet:
    """Entry hosts and the load of one target.

    :param hosts: number of entry hosts
    :param centers: number of data centres
    :param limit: connections that the target accepts
    :param rate_per_s: operations that reach the target
    :param work_ms: slot time of an operation
    """

    hosts: int
    centers: int
    limit: int
    slots: int
    rate_per_s: float
    work_ms: float


FLEETS: Final = (
    Fleet(hosts=7, centers=3, limit=56, slots=4, rate_per_s=33.5, work_ms=22),
    Fleet(hosts=81, centers=6, limit=56, slots=4, rate_per_s=33.5, work_ms=22),
    Fleet(
        hosts=2_600,
        centers=13,
        limit=500,
        slots=4,
        rate_per_s=87.5,
        work_ms=22,
    ),
)


class _LeastRecentlyUsed(TeamConnections[int]):
    """Closes the connection that has been idle for longest."""

    def expected_loss(self, team: str, now_ns: int) -> float:
        del team, now_ns
        return 0.0


@attrs.define(kw_only=True)
class Lender:
    """One lender of the target, with its share of the load."""

    connections: TeamConnections[int]
    waiting: list[tuple[float, ConnectionRequest]] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Simulation:
    """Lenders of one target in simulated time."""

    fleet: Fleet
    lenders: list[Lender]
    teams: int
    requests: int = 0
    opens: int = 0
    waits_ms: list[float] = attrs.field(factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _now_ms: float = 0.0

    def run(self) -> None:
        """Play the warm-up and the measured time."""
        numbers = random.Random(SEED)
        sizes = [1 / rank**EXPONENT for rank in range(1, self.teams + 1)]
        totals = list(itertools.accumulate(sizes))
        end_ms = (WARM_UP_S + MEASURED_S) * 1_000
        at_ms = 0.0
        while at_ms < end_ms:
            at_ms += numbers.expovariate(self.fleet.rate_per_s / 1_000)
            team = numbers.choices(range(self.teams), cum_weights=totals)[0]
            request = ConnectionRequest(
                team=f"t{team}",
                pinned=numbers.random() < TRANSACTION_FRACTION,
            )
            lender = numbers.choice(self.lenders)
            arrive = functools.partial(self._arrive, lender, request)
            self._at(at_ms, arrive)
        while self._events:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()

    @property
    def _is_measured(self) -> bool:
        return self._now_ms >= WARM_UP_S * 1_000

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def _arrive(self, lender: Lender, request: ConnectionRequest) -> None:
        self.requests += self._is_measured
        lender.waiting.append((self._now_ms, request))
        self._serve(lender)

    def _serve(self, lender: Lender) -> None:
        for arrived_ms, request in list(lender.waiting):
            now_ns = int(self._now_ms * NS_PER_MS)
            found = lender.connections.choose(request, now_ns, lambda _: True)
            if found is None:
                continue
            lender.waiting.remove((arrived_ms, request))
            if found.connection is not None:
                self._start(lender, request, found.connection, arrived_ms)
                continue
            self.opens += self._is_measured
            if found.replaced is not None:
                lender.connections.record_closed(found.replaced)
            lender.connections.opening += 1
            self._at(
                self._now_ms + OPENING_MS + ROUND_TRIP_MS,
                functools.partial(self._opened, lender, request, arrived_ms),
            )

    def _opened(
        self, lender: Lender, request: ConnectionRequest, arrived_ms: float
    ) -> None:
        connection = next(self._numbers)
        lender.connections.opening -= 1
        lender.connections.record_opened(connection, request.team)
        self._start(lender, request, connection, arrived_ms)
        self._serve(lender)

    def _start(
        self,
        lender: Lender,
        request: ConnectionRequest,
        connection: int,
        arrived_ms: float,
    ) -> None:
        if self._is_measured:
            self.waits_ms.append(self._now_ms - arrived_ms)
        now_ns = int(self._now_ms * NS_PER_MS)
        lender.connections.record_taken(connection, request, now_ns)
        hold_ms = TRANSACTION_MS if request.pinned else self.fleet.work_ms
        self._at(
            self._now_ms + hold_ms + ROUND_TRIP_MS,
            functools.partial(self._return, lender, connection),
        )

    def _return(self, lender: Lender, connection: int) -> None:
        now_ns = int(self._now_ms * NS_PER_MS)
        lender.connections.record_returned(connection, now_ns)
        lender.connections.record_idle(connection, now_ns)
        self._serve(lender)


def build_lenders(
    fleet: Fleet, teams: int, *, is_shared: bool, kind: type
) -> list[Lender]:
    """Build the lenders of the target, with their limits.

    :param is_shared: whether the decision about the scope applies;
        otherwise, lending stays within each data centre
    """
    here = fleet.hosts // fleet.centers
    scope = TeamScope(
        teams=teams,
        target_center="0",
        own_center="0",
        remote={str(n): ("h",) for n in range(1, fleet.centers)},
        is_first_lender=True,
    )
    share = share_connections(
        limit=fleet.limit,
        hosts=fleet.hosts,
        neighbours=here,
        team_scope=scope if is_shared else None,
    )
    if share.lending_center:
        count = 1
    else:
        count = fleet.centers if share.uses_lender else fleet.hosts
    openings = max_concurrent_opens(slots=fleet.slots, uses_teams=True)
    return [
        Lender(
            connections=kind(
                limit=share.limit, max_openings=openings, uses_teams=True
            )
        )
        for _ in range(count)
    ]


def measure(
    fleet: Fleet, teams: int, *, is_shared: bool, kind: type = TeamConnections
) -> tuple[int, int, float, float, float]:
    """Play one load.

    :return: number of lenders, their limit, the fraction of requests
        that opened, that of slot time, and the 99th percentile of the
        wait for a connection in milliseconds
    """
    lenders = build_lenders(fleet, teams, is_shared=is_shared, kind=kind)
    played = Simulation(fleet=fleet, lenders=lenders, teams=teams)
    played.run()
    slot_ms = MEASURED_S * 1_000 * fleet.slots
    waits = sorted(played.waits_ms)
    return (
        len(lenders),
        lenders[0].connections.limit,
        played.opens / played.requests,
        played.opens * OPENING_MS / slot_ms,
        waits[len(waits) * 99 // 100],
    )


def main() -> None:
    """Print the table."""
    for fleet in FLEETS:
        for teams in (1, 83, 10_000):
            for name, is_shared, kind in (
                ("each data centre", False, TeamConnections),
                ("decided", True, TeamConnections),
                ("decided, oldest closed", True, _LeastRecentlyUsed),
            ):
                count, limit, opened, slots, wait_ms = measure(
                    fleet, teams, is_shared=is_shared, kind=kind
                )
                print(
                    f"{fleet.hosts:>5} hosts {teams:>6} teams"
                    f" {name:<22} {count:>3} x {limit:>3}"
                    f"  opened {opened:6.2%}  slot time {slots:6.2%}"
                    f"  p99 wait {wait_ms:5.1f} ms"
                )


if __name__ == "__main__":
    main()
