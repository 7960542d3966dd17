"""What the callers of a demonstration saw."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.demo._deployments import CallKind

__all__ = ("CallRecord", "CallRecorder")


@attrs.frozen(kw_only=True)
class CallRecord:
    """One call with its answer; times in seconds, monotonic.

    :param marks: marks that the call wrote, each unique
    :param outcome: done, not-run, unknown, or lost where no answer came
    :param value: number that a read returned, or -1
    :param own_marks: writes of the session in the group that were
        acknowledged before the call
    :param age_ms: stated upper bound of the age of the data
    :param echoed: whether the answer was to this call
    """

    session: str
    group: str
    request_class: str
    kind: CallKind
    marks: tuple[str, ...]
    outcome: str
    reason: str
    sent_s: float
    ended_s: float
    role: str = ""
    term: int = 0
    position: int = 0
    value: int = -1
    own_marks: int = 0
    age_ms: int = 0
    echoed: bool = True
    repeated: bool = False


@attrs.define(kw_only=True, eq=False)
class CallRecorder:
    """All records of a demonstration."""

    records: list[CallRecord] = attrs.field(factory=list)
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def add(self, record: CallRecord) -> None:
        """Add a record, from any thread."""
        with self._lock:
            self.records.append(record)
