"""Watch on one target: its status, and whether it takes connections."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final, Protocol

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS
from rosemarysaddle.target._protocol import (
    FaultKind,
    InstanceStatus,
    TargetConnector,
    TargetFault,
    TargetSession,
)

if TYPE_CHECKING:
    from rosemarysaddle.link import Address

__all__ = ("TargetWatch", "WatchEvents")

STATUS_WAIT_MS: Final = 300
STATUS_TIMEOUT_MS: Final = 350
CONNECT_TIMEOUT_MS: Final = 350
MIN_STATUS_INTERVAL_S: Final = 0.005
MAX_STATUS_INTERVAL_S: Final = 0.15
RECONNECT_DELAY_S: Final = 0.05


class WatchEvents(Protocol):
    """Whoever is told of what a watch sees."""

    def on_status(
        self, name: str, status: InstanceStatus, asked_ns: int
    ) -> None:
        """Take a status.

        :param asked_ns: monotonic time at which it was asked for
        """

    def on_unreachable(self, name: str, *, refused: bool) -> None:
        """Take note that a new connection failed.

        :param refused: whether the target refused it at once
        """

    def on_silent(self, name: str, since_ns: int) -> None:
        """Take note that an open connection went silent.

        :param since_ns: monotonic time of the last question
        """

    def wait_for_status_demand(self, name: str, limit_s: float) -> None:
        """Wait until somebody needs a newer status.

        :param limit_s: greatest wait in seconds
        """


@attrs.define(kw_only=True, eq=False)
class TargetWatch:
    """Task that keeps one connection to a target to read its status."""

    name: str
    address: Address
    connector: TargetConnector
    events: WatchEvents
    _stop: threading.Event = attrs.field(factory=threading.Event, init=False)
    _thread: threading.Thread | None = attrs.field(default=None, init=False)

    def start(self) -> None:
        """Start the task."""
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{self.name}", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Ask the task to end."""
        self._stop.set()

    def join(self) -> None:
        """Wait for the end of the task."""
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            deadline_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
            session = self.connector.connect(
                self.name, self.address, deadline_ns=deadline_ns
            )
            if isinstance(session, TargetFault):
                self._report_unreachable(session)
                self._stop.wait(RECONNECT_DELAY_S)
            else:
                self._follow(session)
                session.close()

    def _report_unreachable(self, fault: TargetFault) -> None:
        if fault.kind is FaultKind.FULL:
            return
        refused = fault.kind is FaultKind.REFUSED
        self.events.on_unreachable(self.name, refused=refused)

    def _follow(self, session: TargetSession) -> None:
        after = 0
        wait_ms = 0
        while not self._stop.is_set():
            asked_ns = clock_ns()
            session.set_deadline(
                asked_ns + (wait_ms + STATUS_TIMEOUT_MS) * NS_PER_MS
            )
            status = session.status(after=after, wait_ms=wait_ms)
            if isinstance(status, TargetFault):
                if status.kind is FaultKind.TIMEOUT:
                    self.events.on_silent(self.name, asked_ns)
                return
            self.events.on_status(self.name, status, asked_ns)
            after = status.point.position
            wait_ms = STATUS_WAIT_MS
            self._stop.wait(MIN_STATUS_INTERVAL_S)
            self.events.wait_for_status_demand(
                self.name, MAX_STATUS_INTERVAL_S
            )
