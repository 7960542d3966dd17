"""Measures how long writes fail around a fault."""

from __future__ import annotations

import itertools
import threading
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.demo._clients import CallerSession
from rosemarysaddle.demo._cluster import CREDENTIAL
from rosemarysaddle.demo._deployments import CallKind, ClassSpec

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.demo._cluster import Cluster
    from rosemarysaddle.demo._recorder import CallRecorder

__all__ = ("GapProbe",)

WRITER_COUNT: Final = 3
WRITE_INTERVAL_S: Final = 0.03
RECOVERY_TIMEOUT_S: Final = 20.0
STABLE_PERIOD_S: Final = 0.5
_WRITE: Final = ClassSpec(
    name="gap-probe", kind=CallKind.WRITE, weight=1, priority=0
)


@attrs.define(kw_only=True, eq=False)
class GapProbe:
    """Writes to one group continuously, from several sessions.

    The gap is the longest time between two consecutive successful
    writes, the second of which comes after the start of the fault.
    """

    group: str
    sessions: list[CallerSession]
    _success_times_s: list[float] = attrs.field(factory=list, init=False)
    _stop: threading.Event = attrs.field(factory=threading.Event, init=False)
    _threads: list[threading.Thread] = attrs.field(factory=list, init=False)
    _fault_start_s: float = attrs.field(default=0.0, init=False)
    _on_gap: Callable[[float], None] = attrs.field(init=False)

    @classmethod
    def for_group(
        cls,
        cluster: Cluster,
        *,
        group: str,
        name: str,
        home_center: str,
        seed: int,
        recorder: CallRecorder,
    ) -> GapProbe:
        """Build a probe.

        :param name: prefix of the sessions' names
        :param home_center: data centre of the probing sessions
        """
        sessions = [
            CallerSession(
                name=f"{name}-{number}",
                home_center=home_center,
                deployment=cluster.deployment,
                credential=CREDENTIAL,
                balancer=cluster.balancer,
                recorder=recorder,
                seed=seed,
                think_time_s=WRITE_INTERVAL_S,
            )
            for number in range(WRITER_COUNT)
        ]
        return cls(group=group, sessions=sessions)

    def start(self, *, on_gap: Callable[[float], None]) -> None:
        """Start writing, and return when the fault may begin.

        :param on_gap: called with the gap in milliseconds
        """
        self._on_gap = on_gap
        for session in self.sessions:
            thread = threading.Thread(
                target=self._write, args=(session,), daemon=True
            )
            thread.start()
            self._threads.append(thread)
        time.sleep(STABLE_PERIOD_S)
        self._fault_start_s = time.monotonic()

    def wait(self) -> None:
        """Wait until writes succeed again, then report the gap."""
        deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
        while time.monotonic() < deadline_s and not self._has_recovered():
            time.sleep(WRITE_INTERVAL_S)
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._on_gap(self._longest_gap_s() * 1_000)

    def _write(self, session: CallerSession) -> None:
        while not self._stop.is_set():
            record = session.call(_WRITE, self.group)
            if record.outcome == "done":
                self._success_times_s.append(record.ended_s)
            self._stop.wait(WRITE_INTERVAL_S)

    def _has_recovered(self) -> bool:
        now_s = time.monotonic()
        if now_s < self._fault_start_s + STABLE_PERIOD_S:
            return False
        longest_s = self._longest_gap_s()
        recent = [
            d for d in self._success_times_s if d > now_s - STABLE_PERIOD_S
        ]
        return (
            len(recent) > WRITER_COUNT
            and longest_s < now_s - self._fault_start_s
        )

    def _longest_gap_s(self) -> float:
        times = sorted(self._success_times_s)
        before = [t for t in times if t <= self._fault_start_s][-1:]
        after = [t for t in times if t > self._fault_start_s]
        successes = [*(before or [self._fault_start_s]), *after]
        if not after:
            return RECOVERY_TIMEOUT_S
        return max(b - a for a, b in itertools.pairwise(successes))
