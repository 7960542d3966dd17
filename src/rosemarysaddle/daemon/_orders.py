"""Status probes and commands of the control leader to MySQL targets."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Final, TypeVar

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS, TargetReport, eligible_reports
from rosemarysaddle.link import Address
from rosemarysaddle.target import FaultKind, TargetFault

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from rosemarysaddle.decide import (
        FollowPrimary,
        ProbeGroup,
        PromoteTarget,
    )
    from rosemarysaddle.schema import Instance
    from rosemarysaddle.target import TargetConnector, TargetSession

__all__ = ("TargetOrders",)

FOLLOW_TIMEOUT_MS: Final = 1_000
# Time limit of one command; the deadline of the call applies too.
COMMAND_TIMEOUT_MS: Final = 300
SESSION_CACHE_MS: Final = 5_000

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class _CachedSession:
    session: TargetSession
    deadline_ns: int


@attrs.define(kw_only=True, eq=False)
class TargetOrders:
    """Reads the status of targets and sends them commands.

    A session is cached for a few seconds after its use, so that the
    steps of a change of primary do not each open a new connection.
    """

    connector: TargetConnector
    _cached_sessions: dict[str, _CachedSession] = attrs.field(
        factory=dict, init=False
    )
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    async def probe(
        self, probe: ProbeGroup, instances: Sequence[Instance]
    ) -> list[TargetReport]:
        """Read the status of the instances of a group.

        Returns as soon as a quorum of eligible instances has answered,
        at the latest when the deadline has passed.

        :param probe: quorum, deadline and the identities that count
        :param instances: instances of the group

        :return: one report for each instance; those that have not
            answered yet are reported as unreachable
        """
        self._close_expired()
        tasks = [
            asyncio.create_task(
                asyncio.to_thread(
                    self._read_status,
                    instance,
                    probe.deadline_ns,
                    fresh=probe.fresh,
                )
            )
            for instance in instances
        ]
        reports: list[TargetReport] = []
        for done in asyncio.as_completed(tasks):
            reports.append(await done)
            if (
                len(eligible_reports(reports, probe.identities))
                >= probe.quorum
            ):
                break
        reported = {r.target for r in reports}
        missing = [i.name for i in instances if i.name not in reported]
        reports.extend(
            TargetReport(target=n, reachable=False) for n in missing
        )
        return reports

    async def promote(
        self, order: PromoteTarget, instance: Instance | None
    ) -> bool:
        """Promote an instance to primary.

        :return: whether it is the primary now
        """
        return await self._send_order(
            instance,
            order.deadline_ns,
            lambda session: session.promote(order.term, start=order.start),
        )

    async def follow(
        self, order: FollowPrimary, instance: Instance | None
    ) -> bool:
        """Make an instance replicate from a primary.

        :return: whether it accepted the command
        """
        return await self._send_order(
            instance,
            clock_ns() + FOLLOW_TIMEOUT_MS * NS_PER_MS,
            lambda session: session.follow(
                primary=order.primary, term=order.term, start=order.start
            ),
        )

    def close(self) -> None:
        """Close the cached sessions."""
        with self._lock:
            cached = list(self._cached_sessions.values())
            self._cached_sessions.clear()
        for entry in cached:
            entry.session.close()

    async def _send_order(
        self,
        instance: Instance | None,
        deadline_ns: int,
        command: Callable[[TargetSession], TargetFault | None],
    ) -> bool:
        if instance is None:
            return False
        result = await asyncio.to_thread(
            self._run_command, instance, deadline_ns, command, fresh=False
        )
        return result is None

    def _read_status(
        self, instance: Instance, deadline_ns: int, *, fresh: bool
    ) -> TargetReport:
        status = self._run_command(
            instance,
            deadline_ns,
            lambda session: session.status(after=0, wait_ms=0),
            fresh=fresh,
        )
        if isinstance(status, TargetFault):
            refused = status.kind is FaultKind.REFUSED
            return TargetReport(
                target=instance.name, reachable=False, refused=refused
            )
        return TargetReport(
            target=instance.name,
            reachable=True,
            role=status.role,
            term=status.point.term,
            position=status.point.position,
            identity=status.identity,
        )

    def _run_command(
        self,
        instance: Instance,
        deadline_ns: int,
        command: Callable[[TargetSession], T | TargetFault],
        *,
        fresh: bool,
    ) -> T | TargetFault:
        cached = None if fresh else self._take_cached(instance.name)
        if cached is not None:
            # The target may have closed a cached session. If it fails
            # without an answer, the command is sent on a new one.
            result = self._run_on_session(
                instance, cached, deadline_ns, command
            )
            if not isinstance(result, TargetFault) or result.is_answer:
                return result
        address = Address.parse(instance.address)
        session = self.connector.connect(
            instance.name, address, deadline_ns=deadline_ns
        )
        if isinstance(session, TargetFault):
            return session
        return self._run_on_session(instance, session, deadline_ns, command)

    def _run_on_session(
        self,
        instance: Instance,
        session: TargetSession,
        deadline_ns: int,
        command: Callable[[TargetSession], T | TargetFault],
    ) -> T | TargetFault:
        latest_ns = clock_ns() + COMMAND_TIMEOUT_MS * NS_PER_MS
        session.set_deadline(min(deadline_ns, latest_ns))
        result = command(session)
        if isinstance(result, TargetFault) and not result.is_answer:
            session.close()
        else:
            self._cache_session(instance.name, session)
        return result

    def _take_cached(self, name: str) -> TargetSession | None:
        with self._lock:
            cached = self._cached_sessions.pop(name, None)
        if cached is None:
            return None
        if clock_ns() >= cached.deadline_ns:
            cached.session.close()
            return None
        return cached.session

    def _cache_session(self, name: str, session: TargetSession) -> None:
        deadline_ns = clock_ns() + SESSION_CACHE_MS * NS_PER_MS
        with self._lock:
            if name not in self._cached_sessions:
                self._cached_sessions[name] = _CachedSession(
                    session=session, deadline_ns=deadline_ns
                )
                return
        session.close()

    def _close_expired(self) -> None:
        now_ns = clock_ns()
        with self._lock:
            expired_names = [
                n
                for n, k in self._cached_sessions.items()
                if now_ns >= k.deadline_ns
            ]
            expired = [
                self._cached_sessions.pop(name) for name in expired_names
            ]
        for cached in expired:
            cached.session.close()
