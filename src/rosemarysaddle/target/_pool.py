"""Blocking pool of the connections of one host to one target."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.decide import NS_PER_MS, Reason, Refusal, Step
from rosemarysaddle.target._protocol import (
    FaultKind,
    TargetConnector,
    TargetFault,
    TargetSession,
)

if TYPE_CHECKING:
    from rosemarysaddle.link import Address

__all__ = ("TargetPool",)

CONNECT_TIMEOUT_MS: Final = 700


@attrs.frozen(kw_only=True)
class _Idle:
    session: TargetSession
    generation: int


@attrs.frozen(kw_only=True)
class _Borrowed:
    session: TargetSession
    since_ns: int


@attrs.define(kw_only=True, eq=False)
class TargetPool:
    """Bounded pool of connections to one target.

    :param limit: greatest number of connections
    :param opened: number of connections opened so far
    """

    name: str
    address: Address
    connector: TargetConnector
    limit: int
    opened: int = 0
    _open_count: int = attrs.field(default=0, init=False)
    _generation: int = attrs.field(default=0, init=False)
    _borrowed: dict[int, _Borrowed] = attrs.field(factory=dict, init=False)
    _idle: list[_Idle] = attrs.field(factory=list, init=False)
    _free: threading.Condition = attrs.field(
        factory=threading.Condition, init=False
    )

    def acquire(self, *, deadline_ns: int) -> TargetSession | Refusal:
        """Take an idle connection, or open one if the limit allows.

        :param deadline_ns: monotonic time until which to wait, in
            nanoseconds
        :return: the connection, or a refusal with the reason
        """
        with self._free:
            while True:
                self._close_outdated()
                if self._idle:
                    return self._lend(self._idle.pop().session)
                if self._open_count < self.limit:
                    self._open_count += 1
                    break
                left_s = (deadline_ns - clock_ns()) / NS_PER_S
                if left_s <= 0 or not self._free.wait(left_s):
                    return self._refuse("all connections are in use")
        return self._connect(deadline_ns)

    def release(self, session: TargetSession, *, usable: bool) -> None:
        """Return a connection.

        :param usable: whether another statement may use it
        """
        with self._free:
            self._borrowed.pop(id(session), None)
            if usable and self._open_count <= self.limit:
                idle = _Idle(session=session, generation=self._generation)
                self._idle.append(idle)
            else:
                self._open_count -= 1
                session.close()
            self._free.notify()

    def close_idle(self) -> None:
        """Close the idle connections, so that new ones are opened."""
        with self._free:
            self._generation += 1
            self._close_outdated()

    def interrupt(self, before_ns: int) -> None:
        """Interrupt the statements on connections taken before a time.

        :param before_ns: monotonic time, in nanoseconds
        """
        with self._free:
            for borrowed in self._borrowed.values():
                if borrowed.since_ns < before_ns:
                    borrowed.session.interrupt()

    def close(self) -> None:
        """Close idle connections now, and the others when returned."""
        with self._free:
            self.limit = 0
            self._generation += 1
            self._close_outdated()

    def _lend(self, session: TargetSession) -> TargetSession:
        now_ns = clock_ns()
        borrowed = _Borrowed(session=session, since_ns=now_ns)
        self._borrowed[id(session)] = borrowed
        return session

    def _close_outdated(self) -> None:
        for idle in list(self._idle):
            if idle.generation < self._generation:
                self._idle.remove(idle)
                self._open_count -= 1
                idle.session.close()

    def _connect(self, deadline_ns: int) -> TargetSession | Refusal:
        latest_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
        session = self.connector.connect(
            self.name, self.address, deadline_ns=min(deadline_ns, latest_ns)
        )
        if not isinstance(session, TargetFault):
            self.opened += 1
            with self._free:
                return self._lend(session)
        with self._free:
            self._open_count -= 1
            self._free.notify()
        if session.kind is FaultKind.FULL:
            return self._refuse(
                "the target has reached its limit of connections"
            )
        return self._refuse(session.detail)

    def _refuse(self, detail: str) -> Refusal:
        return Refusal(
            reason=Reason.NO_CONNECTION,
            step=Step.CONNECT,
            peer=self.name,
            detail=detail,
        )
