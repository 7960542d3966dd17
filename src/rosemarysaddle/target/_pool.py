"""Connections of one host to one target, kept open for statements."""

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
    """Bounded set of connections to one target.

    :param limit: greatest count of connections
    """

    name: str
    address: Address
    connector: TargetConnector
    limit: int
    opened: int = 0
    _open: int = attrs.field(default=0, init=False)
    _generation: int = attrs.field(default=0, init=False)
    _borrowed: dict[int, _Borrowed] = attrs.field(factory=dict, init=False)
    _idle: list[_Idle] = attrs.field(factory=list, init=False)
    _free: threading.Condition = attrs.field(
        factory=threading.Condition, init=False
    )

    def borrow(self, *, deadline_ns: int) -> TargetSession | Refusal:
        """Take a connection, opening one where the limit allows.

        :param deadline_ns: monotonic time, in nanoseconds
        :return: the connection, or why there is none
        """
        with self._free:
            while True:
                self._close_outdated()
                if self._idle:
                    return self._lend(self._idle.pop().session)
                if self._open < self.limit:
                    self._open += 1
                    break
                left_s = (deadline_ns - clock_ns()) / NS_PER_S
                if left_s <= 0 or not self._free.wait(left_s):
                    return self._refuse("all connections are in use")
        return self._connect(deadline_ns)

    def give_back(self, session: TargetSession, *, usable: bool) -> None:
        """Return a connection.

        :param usable: whether it may serve another statement
        """
        with self._free:
            self._borrowed.pop(id(session), None)
            if usable and self._open <= self.limit:
                idle = _Idle(session=session, generation=self._generation)
                self._idle.append(idle)
            else:
                self._open -= 1
                session.close()
            self._free.notify()

    def renew(self) -> None:
        """Replace the idle connections as they are needed."""
        with self._free:
            self._generation += 1
            self._close_outdated()

    def interrupt(self, before_ns: int) -> None:
        """End the exchanges on connections lent before a time.

        :param before_ns: monotonic time, in nanoseconds
        """
        with self._free:
            for borrowed in self._borrowed.values():
                if borrowed.since_ns < before_ns:
                    borrowed.session.interrupt()

    def close(self) -> None:
        """Close the idle connections and accept no more back."""
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
                self._open -= 1
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
            self._open -= 1
            self._free.notify()
        if session.kind is FaultKind.FULL:
            return self._refuse("the target has no connection left")
        return self._refuse(session.detail)

    def _refuse(self, detail: str) -> Refusal:
        return Refusal(
            reason=Reason.NO_CONNECTION,
            step=Step.CONNECT,
            peer=self.name,
            detail=detail,
        )
