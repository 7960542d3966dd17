"""Polls the status of one target over a connection of its own."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final, Protocol

import attrs

from rosemarysaddle import _log as logging
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
# Time-out of a status request, in addition to the wait it asks for.
STATUS_TIMEOUT_MS: Final = 350
CONNECT_TIMEOUT_MS: Final = 350
MIN_STATUS_INTERVAL_S: Final = 0.005
MAX_STATUS_INTERVAL_S: Final = 0.15
RECONNECT_DELAY_S: Final = 0.05


class WatchEvents(Protocol):
    """Receiver of the observations of a :class:`TargetWatch`."""

    def on_status(
        self, name: str, status: InstanceStatus, asked_ns: int
    ) -> None:
        """Handle a status.

        :param asked_ns: monotonic time at which it was requested, in
            nanoseconds
        """

    def on_unreachable(self, name: str, *, refused: bool) -> None:
        """Handle the failure to open a connection.

        :param refused: whether the target's host refused it at once
        """

    def on_silent(self, name: str, since_ns: int) -> None:
        """Handle a time-out on an open connection.

        :param since_ns: monotonic time of the unanswered request, in
            nanoseconds
        """

    def wait_for_status_demand(self, name: str, limit_s: float) -> None:
        """Wait until a newer status is needed.

        :param limit_s: longest wait, in seconds
        """


@attrs.define(kw_only=True, eq=False)
class TargetWatch:
    """Thread that polls the status of a target over one connection."""

    name: str
    address: Address
    connector: TargetConnector
    events: WatchEvents
    _stop: threading.Event = attrs.field(factory=threading.Event, init=False)
    _thread: threading.Thread | None = attrs.field(default=None, init=False)

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{self.name}", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Request the thread to stop."""
        self._stop.set()

    def join(self) -> None:
        """Wait until the thread has stopped."""
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self._watch_once()
            except Exception as error:  # noqa: BLE001  # of this target
                logging.error(
                    "event=defect step=watch target=%s",
                    self.name,
                    exc_info=error,
                )
                self._stop.wait(RECONNECT_DELAY_S)

    def _watch_once(self) -> None:
        deadline_ns = clock_ns() + CONNECT_TIMEOUT_MS * NS_PER_MS
        session = self.connector.connect(
            self.name, self.address, deadline_ns=deadline_ns
        )
        if isinstance(session, TargetFault):
            self._report_unreachable(session)
            self._stop.wait(RECONNECT_DELAY_S)
            return
        try:
            self._poll_status(session)
        finally:
            session.close()

    def _report_unreachable(self, fault: TargetFault) -> None:
        if fault.kind is FaultKind.FULL:
            # The target has answered, so it is reachable.
            return
        refused = fault.kind is FaultKind.REFUSED
        self.events.on_unreachable(self.name, refused=refused)

    def _poll_status(self, session: TargetSession) -> None:
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
