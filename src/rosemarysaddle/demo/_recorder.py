"""Records of the calls that a demonstration's callers made."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarysaddle.demo._deployments import CallKind

__all__ = ("CallRecord", "CallRecorder")


@attrs.frozen(kw_only=True)
class CallRecord:
    """One call with its answer; times are in monotonic seconds.

    :param marks: unique values that the call wrote
    :param outcome: done, not-run, unknown, or lost if no answer came
    :param value: number of rows that a read counted, or -1
    :param own_marks: number of the session's writes to the group that
        had been acknowledged before the call
    :param age_ms: upper bound of the data's age, stated in the answer
    :param echoed: whether the answer belongs to this call, by its nonce
    :param repeated: whether an earlier attempt had run the request
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
    """Collects the call records of a demonstration."""

    records: list[CallRecord] = attrs.field(factory=list)
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def add(self, record: CallRecord) -> None:
        """Add a record; may be called from any thread."""
        with self._lock:
            self.records.append(record)
