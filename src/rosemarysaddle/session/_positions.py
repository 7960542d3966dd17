"""Log positions of groups, which replicas must have reached for a read.

Each answer of a leased primary shows its position.  A group whose reads
accept some age needs a recent one, so it is requested if no answer has
shown it lately.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, Protocol

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._tasks import spawn
from rosemarysaddle.connection import OpenFault
from rosemarysaddle.decide import (
    NS_PER_MS,
    ConnectionRequest,
    Freshness,
    LogPoint,
    PositionHistory,
    SessionVariables,
    newer_point,
)
from rosemarysaddle.schema import PointReply

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemarysaddle.connection import LoanClient, SharedPool
    from rosemarysaddle.decide import Answer, EntryNode, TargetState
    from rosemarysaddle.schema import Route

__all__ = ("PositionTracker", "Targets")

# Request the position of a group whose reads accept bounded staleness
# if its primary has not sent one for this long.
POINT_REFRESH_MS: Final = 400
# A younger position is sent to other entry hosts of the data centre
# without asking the primary again.
MAX_SHARED_POINT_AGE_MS: Final = 200
# Until then a busy primary is not asked again and its connection is not
# closed.
POINT_TIMEOUT_MS: Final = 1_000
# After a start, reads wait this long for the first position, so that
# they need not all go to the primary.  A request that waits longer has
# found a full primary.
FIRST_POINT_TIMEOUT_MS: Final = 250
# The position of a group is refreshed for this long after a read needed
# it.
POINT_INTEREST_MS: Final = 5_000
_UNKNOWN_POINT: Final = PointReply(known=False, age_ns=0, term=0, position=0)


class Targets(Protocol):
    """Targets of an entry host and the connections to them."""

    node: EntryNode
    loan_client: LoanClient

    @property
    def targets(self) -> Mapping[str, TargetState]:
        """State of each target, by name."""

    @property
    def pools(self) -> Mapping[str, SharedPool]:
        """Connections to each target, by name."""

    def is_leased_primary(self, target: str) -> bool:
        """Return whether a target is a primary covered by the lease."""

    def record_answer(
        self,
        target: str,
        answer: Answer,
        *,
        asked_ns: int,
        was_leased_primary: bool,
    ) -> None:
        """Update the state of a target from an answer."""


@attrs.define(kw_only=True, eq=False)
class PositionTracker:
    """Newest log positions of the groups that reads need.

    :param owner: targets from which positions are requested
    """

    owner: Targets
    _histories: dict[str, PositionHistory] = attrs.field(
        factory=dict, init=False
    )
    _needed_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _first_until_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _requests: dict[str, asyncio.Task[None]] = attrs.field(
        factory=dict, init=False
    )
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    def required_point(
        self, route: Route, session_point: LogPoint | None, now_ns: int
    ) -> LogPoint | None:
        """Find the position that a replica needs for a read.

        :param session_point: log position of the session's newest write
        :return: the position, or None if only the primary may serve it
        """
        if route.freshness == Freshness.PRIMARY:
            return None
        self._needed_ns[route.group] = now_ns
        point = self._history(route.group).required_point(
            now_ns=now_ns, staleness_ms=route.max_staleness_ms
        )
        if point is None or route.freshness != Freshness.SESSION:
            return point
        return newer_point(point, session_point)

    async def wait_for_first(self, route: Route) -> bool:
        """Wait for the first position of a group since the start.

        All reads of the group share one request and its time-out.

        :return: whether it waited
        """
        group, now_ns = route.group, clock_ns()
        if route.freshness == Freshness.PRIMARY or self.newest_ns(group):
            return False
        term = self.owner.node.primary_of(group, now_ns)
        if term is None or term.primary not in self.owner.pools:
            return False
        until_ns = self._first_until_ns.setdefault(
            group, now_ns + FIRST_POINT_TIMEOUT_MS * NS_PER_MS
        )
        if now_ns >= until_ns:
            return False
        request = self._start_request(group, term.primary)
        await asyncio.wait([request], timeout=(until_ns - now_ns) / NS_PER_S)
        return True

    def newest_ns(self, group: str) -> int:
        """Return the time of the newest position, or 0."""
        history = self._histories.get(group)
        return history.newest_ns() if history is not None else 0

    def newest(self, group: str) -> LogPoint | None:
        """Return the newest position of a group, or None."""
        return self._history(group).newest()

    def record(self, group: str, asked_ns: int, point: LogPoint) -> None:
        """Record the position of a leased primary.

        :param asked_ns: :func:`clock_ns` time at which the request was
            sent
        """
        term = self.owner.node.state.terms.get(group)
        recorded = term.target_term if term is not None else 0
        history = self._history(group)
        if not history.add_sample(asked_ns, point, recorded_term=recorded):
            log_event(
                "position-ignored",
                f"group={group} observed={point} newest={history.newest()}"
                f" primary={term.primary if term is not None else '-'}"
                f" recorded={recorded}"
                f" control_term={term.term if term is not None else 0}",
            )

    def refresh(self) -> None:
        """Request the positions that reads need if they are old."""
        now_ns = clock_ns()
        for group, needed_ns in list(self._needed_ns.items()):
            if now_ns > needed_ns + POINT_INTEREST_MS * NS_PER_MS:
                del self._needed_ns[group]
                continue
            if now_ns < self.newest_ns(group) + POINT_REFRESH_MS * NS_PER_MS:
                continue
            term = self.owner.node.primary_of(group, now_ns)
            if term is not None and term.primary in self.owner.pools:
                self._start_request(group, term.primary)

    async def find(self, target: str) -> PointReply:
        """Find the newest log position of a primary for a borrower.

        :return: the position; ``known`` is False if there is none
        """
        target_state = self.owner.targets.get(target)
        if target_state is None:
            return _UNKNOWN_POINT
        group = target_state.group
        history = self._history(group)
        oldest_ns = clock_ns() - MAX_SHARED_POINT_AGE_MS * NS_PER_MS
        if history.newest_ns() < oldest_ns:
            # A lender that asked another one in turn could wait for
            # itself.
            await self._start_request(group, target, is_lender=True)
        point = history.newest()
        if point is None:
            return _UNKNOWN_POINT
        return PointReply(
            known=True,
            age_ns=clock_ns() - history.newest_ns(),
            term=point.term,
            position=point.position,
        )

    def _history(self, group: str) -> PositionHistory:
        return self._histories.setdefault(group, PositionHistory())

    def _start_request(
        self, group: str, target: str, *, is_lender: bool = False
    ) -> asyncio.Task[None]:
        # One request at a time: a primary that answers late is busy.
        request = self._requests.get(group)
        if request is None or request.done():
            request = spawn(
                self._request(group, target, is_lender=is_lender),
                self._tasks,
            )
            self._requests[group] = request
        return request

    async def _request(
        self, group: str, target: str, *, is_lender: bool
    ) -> None:
        deadline_ns = clock_ns() + POINT_TIMEOUT_MS * NS_PER_MS
        pool = self.owner.pools[target]
        if not pool.has_share:
            return
        if is_lender or pool.opens_own_connections:
            await self._ask_primary(pool, deadline_ns)
            return
        asked_ns = clock_ns()
        reply = await self.owner.loan_client.ask_point(
            target, pool.lender, deadline_ns=deadline_ns
        )
        if reply is not None:
            point = LogPoint(term=reply.term, position=reply.position)
            self.record(group, asked_ns - reply.age_ns, point)

    async def _ask_primary(self, pool: SharedPool, deadline_ns: int) -> None:
        found = await pool.own.acquire(
            SessionVariables(),
            deadline_ns=deadline_ns,
            connection_request=ConnectionRequest(any_team=True),
        )
        if isinstance(found, OpenFault):
            return
        target = pool.own.target
        asked_ns = clock_ns()
        was_leased_primary = self.owner.is_leased_primary(target)
        answer = await found.ask(
            found.codec.encode_reset(), deadline_ns=deadline_ns
        )
        found.setup.clear()
        pool.own.release(found)
        self.owner.record_answer(
            target,
            answer,
            asked_ns=asked_ns,
            was_leased_primary=was_leased_primary,
        )
