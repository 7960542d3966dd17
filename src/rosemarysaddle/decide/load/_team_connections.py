"""Connections to one target by the team that each of them serves.

A connection serves one team for its whole life, and a target accepts
fewer connections than there are teams.  A request uses an idle
connection of its team, opens one while there is capacity, or replaces
an idle connection of the team that is expected to lose least by it.
Opening occupies a slot of the target, so the number of openings at once
is bounded as well.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, Generic, TypeVar

import attrs

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.load._queueing import CONNECTIONS_PER_RESERVED

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from rosemarysaddle.decide.load._queueing import ConnectionRequest

__all__ = (
    "FULL_BACKOFF_MS",
    "Assignment",
    "TeamConnections",
    "max_concurrent_opens",
)

# One opening at once for this many slots of the target, so that
# openings leave half of the slots to statements.
SLOTS_PER_OPENING: Final = 2
# One team may keep this fraction of the connections that transactions
# may keep.
TEAMS_PER_PINNED: Final = 2
# One connection in this many is left to transactions of teams that have
# none open at the target.
CONNECTIONS_PER_RARE: Final = 8
# Long enough to see a team that sends a request every ten seconds, and
# short enough to follow a burst.
USE_HALF_LIFE_MS: Final = 30_000
INITIAL_HOLD_MS: Final = 30
# A transaction that its caller left idle says little about the next.
MAX_HOLD_MS: Final = 1_000
# A target that is full still counts the connections of a host that lost
# power, for up to 3 s, or those of a host with an older list.
FULL_BACKOFF_MS: Final = 1_000
_HOLD_EWMA_WEIGHT: Final = 1 / 8
# Use counters of teams without a connection are kept up to this many
# for each connection, so that 10,000 teams do not take memory at each
# target.
MAX_COUNTED_PER_CONNECTION: Final = 4
MIN_COUNTED: Final = 64
_T = TypeVar("_T")


def max_concurrent_opens(*, slots: int, uses_teams: bool) -> int:
    """Return how many connections a pool may open at once.

    :param slots: statements that the target runs at once; 0 if unknown
    :param uses_teams: whether connections are opened by team
    """
    return max(1, slots // SLOTS_PER_OPENING) if uses_teams else 1


@attrs.frozen(kw_only=True, eq=False)
class Assignment(Generic[_T]):
    """How a request gets its connection.

    :param connection: idle connection to use, or None to open one
    :param replaced: idle connection of another team to close before
        opening one, or None
    """

    connection: _T | None = None
    replaced: _T | None = None


@attrs.define(kw_only=True)
class _Use:
    """Decayed count of the requests of one team.

    :param count: number of requests, halved each ``USE_HALF_LIFE_MS``
    :param updated_ns: time up to which the count has decayed
    """

    count: float = 0.0
    updated_ns: int = 0
    mean_hold_ms: float = INITIAL_HOLD_MS

    def decayed(self, now_ns: int) -> float:
        """Return the count, decayed to the present."""
        age_ms = max(0, now_ns - self.updated_ns) / NS_PER_MS
        return self.count * math.exp2(-age_ms / USE_HALF_LIFE_MS)

    def add(self, now_ns: int) -> None:
        """Count one request."""
        self.count = self.decayed(now_ns) + 1
        self.updated_ns = now_ns


@attrs.define(kw_only=True)
class TeamConnections(Generic[_T]):
    """Connections of one pool to one target.

    Connections are any hashable objects of the owner.

    :param limit: greatest number of connections
    :param max_openings: greatest number of openings at once
    :param uses_teams: whether the plan in force has teams; limits by
        team apply only then
    :param opening: number of openings in progress
    """

    limit: int
    max_openings: int = 1
    uses_teams: bool = False
    opening: int = attrs.field(default=0, init=False)
    _teams: dict[_T, str] = attrs.field(factory=dict, init=False)
    _idle: dict[str, list[_T]] = attrs.field(factory=dict, init=False)
    _idle_since: dict[_T, int] = attrs.field(factory=dict, init=False)
    _held: dict[str, int] = attrs.field(factory=dict, init=False)
    _taken: dict[_T, tuple[ConnectionRequest, int]] = attrs.field(
        factory=dict, init=False
    )
    _pinned: dict[str, int] = attrs.field(factory=dict, init=False)
    _uses: dict[str, _Use] = attrs.field(factory=dict, init=False)
    _full_limit: int = attrs.field(default=0, init=False)
    _full_until_ns: int = attrs.field(default=0, init=False)

    @property
    def opened(self) -> int:
        """Number of open connections."""
        return len(self._teams)

    @property
    def idle(self) -> list[_T]:
        """Idle connections, the one that is idle for longest first."""
        return list(self._idle_since)

    def idle_since(self, before_ns: int) -> list[_T]:
        """Return the connections that are idle since then or before."""
        held = self._idle_since.items()
        return [c for c, since_ns in held if since_ns <= before_ns]

    def team_of(self, connection: _T) -> str:
        """Return the team that an open connection serves."""
        return self._teams[connection]

    def has_idle_for(self, request: ConnectionRequest) -> bool:
        """Tell whether an idle connection may serve a request."""
        if request.any_team and self._idle_since:
            return True
        return bool(self._idle.get(request.team))

    def choose(
        self,
        request: ConnectionRequest,
        now_ns: int,
        prefers: Callable[[_T], bool],
    ) -> Assignment[_T] | None:
        """Decide how a request gets a connection.

        :param now_ns: monotonic time, in nanoseconds
        :param prefers: whether an idle connection suits the request
            better than others of its team
        :return: the connection to use or to open, or None if the
            request has to wait
        """
        if not self.may_take(request):
            return None
        connection = self._choose_idle(request, prefers)
        if connection is not None:
            return Assignment(connection=connection)
        limit = self._limit_at(now_ns)
        if self.opening >= self.max_openings or limit <= 0:
            return None
        if self.opened + self.opening < limit:
            return Assignment()
        if self.opened + self.opening > limit:
            return None
        replaced = self._choose_replaced(now_ns)
        return None if replaced is None else Assignment(replaced=replaced)

    def may_get(self, request: ConnectionRequest, now_ns: int) -> bool:
        """Tell whether :meth:`choose` would not let a request wait."""
        if not self.may_take(request):
            return False
        if self.has_idle_for(request):
            return True
        total = self.opened + self.opening
        limit = self._limit_at(now_ns)
        has_room = total < limit
        may_replace = total == limit > 0 and bool(self._idle_since)
        return self.opening < self.max_openings and (has_room or may_replace)

    def may_take(self, request: ConnectionRequest) -> bool:
        """Tell whether the limits on transactions admit a request."""
        if not self.uses_teams or not request.pinned:
            return True
        pinned = self._pinned.get(request.team, 0)
        if pinned == 0:
            return True
        most = self.limit - self.limit // CONNECTIONS_PER_RESERVED
        if pinned >= max(1, most // TEAMS_PER_PINNED):
            return False
        rare = self.limit // CONNECTIONS_PER_RARE
        return sum(self._pinned.values()) < most - rare

    def record_full(self, now_ns: int) -> bool:
        """Record that the target has no connection left.

        For ``FULL_BACKOFF_MS``, no more than those that are open or
        being opened are used; requests wait for them or replace them.

        :return: whether there are any
        """
        if not self.uses_teams or not self.opened + self.opening:
            return False
        self._full_limit = self.opened + self.opening
        self._full_until_ns = now_ns + FULL_BACKOFF_MS * NS_PER_MS
        return True

    def record_opened(self, connection: _T, team: str) -> None:
        """Add a connection that was opened for a team."""
        self._teams[connection] = team
        self._held[team] = self._held.get(team, 0) + 1

    def record_taken(
        self, connection: _T, request: ConnectionRequest, now_ns: int
    ) -> None:
        """Record that a request uses a connection."""
        self._remove_idle(connection)
        self._taken[connection] = (request, now_ns)
        if request.pinned:
            self._pinned[request.team] = self._pinned.get(request.team, 0) + 1
        if self.uses_teams and not request.any_team:
            use = self._uses.get(request.team)
            if use is None:
                self._prune_uses(now_ns)
                use = self._uses[request.team] = _Use()
            use.add(now_ns)

    def use_of(self, connection: _T) -> ConnectionRequest | None:
        """Return the request that uses a connection, or None."""
        taken = self._taken.get(connection)
        return taken[0] if taken is not None else None

    def record_returned(
        self, connection: _T, now_ns: int
    ) -> tuple[ConnectionRequest, int] | None:
        """Record that a connection is no longer used.

        :return: the request that used it and the time for which it did,
            in nanoseconds, or None if it was not in use
        """
        taken = self._taken.pop(connection, None)
        if taken is None:
            return None
        request, taken_ns = taken
        held_ns = now_ns - taken_ns
        if request.pinned:
            self._pinned[request.team] -= 1
            if not self._pinned[request.team]:
                del self._pinned[request.team]
        use = self._uses.get(request.team)
        if use is not None and not request.any_team:
            held_ms = min(MAX_HOLD_MS, held_ns / NS_PER_MS)
            use.mean_hold_ms += _HOLD_EWMA_WEIGHT * (
                held_ms - use.mean_hold_ms
            )
        return request, held_ns

    def record_idle(self, connection: _T, now_ns: int) -> None:
        """Keep a connection idle for its team."""
        self._idle.setdefault(self._teams[connection], []).append(connection)
        self._idle_since[connection] = now_ns

    def record_closed(self, connection: _T) -> None:
        """Remove a connection that is closed."""
        self._remove_idle(connection)
        team = self._teams.pop(connection, None)
        if team is None:
            return
        self._held[team] -= 1
        if not self._held[team]:
            del self._held[team]

    def expected_loss(self, team: str, now_ns: int) -> float:
        """Estimate the requests/s that would open a connection again.

        The requests of a team are taken as independent, so the number
        that run at once has a Poisson distribution.  A connection is
        missed whenever the others of its team are all in use.
        """
        use = self._uses.get(team)
        if use is None:
            return 0.0
        rate_per_s = (
            use.decayed(now_ns) * math.log(2) / (USE_HALF_LIFE_MS / 1_000)
        )
        mean_running = rate_per_s * use.mean_hold_ms / 1_000
        term = math.exp(-mean_running)
        fewer = 0.0
        for running in range(self._held.get(team, 1) - 1):
            fewer += term
            term *= mean_running / (running + 1)
        return rate_per_s * max(0.0, 1 - fewer)

    def _limit_at(self, now_ns: int) -> int:
        if now_ns < self._full_until_ns:
            return min(self.limit, self._full_limit)
        return self.limit

    def _choose_idle(
        self, request: ConnectionRequest, prefers: Callable[[_T], bool]
    ) -> _T | None:
        idle = self._idle.get(request.team)
        if idle:
            return next((c for c in reversed(idle) if prefers(c)), idle[-1])
        if request.any_team and self._idle_since:
            # Its setup is lost, so one whose team is away for longest.
            return next(iter(self._idle_since))
        return None

    def _choose_replaced(self, now_ns: int) -> _T | None:
        losses = [
            (self.expected_loss(team, now_ns), self._idle_since[idle[0]], team)
            for team, idle in self._idle.items()
        ]
        if not losses:
            return None
        return self._idle[min(losses)[2]][0]

    def _remove_idle(self, connection: _T) -> None:
        if self._idle_since.pop(connection, None) is None:
            return
        team = self._teams[connection]
        self._idle[team].remove(connection)
        if not self._idle[team]:
            del self._idle[team]

    def _prune_uses(self, now_ns: int) -> None:
        most = max(MIN_COUNTED, self.limit * MAX_COUNTED_PER_CONNECTION)
        if len(self._uses) < most:
            return
        droppable: Collection[str] = sorted(
            (team for team in self._uses if team not in self._held),
            key=lambda team: self._uses[team].decayed(now_ns),
        )
        for team in list(droppable)[: most // 4]:
            del self._uses[team]
