"""Compares the callers' records of a run with the targets' logs.

No other state of the hosts is read.
"""

from __future__ import annotations

import bisect
import collections
import re
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.demo._deployments import CallKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from rosemarysaddle.demo._recorder import CallRecord
    from rosemarysaddle.standin import LogRecord

__all__ = ("Checker", "Violation")

_INSERT: Final = re.compile(
    r"INSERT INTO marks \(mark, session\) VALUES \('([^']+)', '([^']+)'\)"
)
_MS_PER_S: Final = 1_000


@attrs.frozen(kw_only=True)
class Violation:
    """One violation of a consistency rule.

    :param rule: name of the rule
    :param detail: what was seen
    """

    rule: str
    detail: str


@attrs.frozen(kw_only=True)
class _StoredMark:
    mark: str
    session: str
    record: LogRecord


@attrs.frozen(kw_only=True)
class _GroupLog:
    """Marks in the surviving log of one group, in log order.

    :param term_starts_s: commit time of the first record of each term,
        in monotonic seconds
    """

    stored_marks: tuple[_StoredMark, ...]
    term_starts_s: Mapping[int, float]

    @classmethod
    def read(cls, log: Sequence[LogRecord]) -> _GroupLog:
        """Extract the marks from a log."""
        stored_marks = []
        starts_s: dict[int, float] = {}
        for record in log:
            starts_s.setdefault(record.term, record.committed_at_s)
            for statement in record.statements:
                match = _INSERT.fullmatch(statement.strip())
                if match:
                    stored_mark = _StoredMark(
                        mark=match[1], session=match[2], record=record
                    )
                    stored_marks.append(stored_mark)
        return cls(stored_marks=tuple(stored_marks), term_starts_s=starts_s)


@attrs.define(kw_only=True)
class Checker:
    """Compares the callers' records with the targets' logs.

    :param logs: surviving log by group
    """

    logs: Mapping[str, Sequence[LogRecord]]

    def check(self, records: Sequence[CallRecord]) -> list[Violation]:
        """Return every violation.

        :param records: calls and answers as the callers saw them
        """
        violations: list[Violation] = []
        for group, log in self.logs.items():
            group_records = [r for r in records if r.group == group]
            group_log = _GroupLog.read(log)
            violations.extend(_check_writes(group_records, group_log))
            violations.extend(
                _check_replaced_primary(group_records, group_log)
            )
            violations.extend(_check_reads(group_records, group_log))
        violations.extend(_check_answers(records))
        return violations


def _check_writes(
    records: Iterable[CallRecord], log: _GroupLog
) -> Iterable[Violation]:
    """Compare the outcomes of writes with the stored marks."""
    counts = collections.Counter(p.mark for p in log.stored_marks)
    for mark, count in counts.items():
        if count > 1:
            yield Violation(
                rule="doubled", detail=f"{mark} stored {count} times"
            )
    positions = {p.mark: p.record.position for p in log.stored_marks}
    for record in records:
        stored = [m for m in record.marks if m in counts]
        if record.outcome == "done" and len(stored) != len(record.marks):
            yield Violation(
                rule="lost", detail=f"not all stored: {record.marks}"
            )
        if record.outcome == "not-run" and stored:
            yield Violation(rule="falsely-refused", detail=f"stored: {record}")
        if len({positions[m] for m in stored}) > 1:
            yield Violation(
                rule="mixed", detail=f"stored separately: {record.marks}"
            )
        if stored and len(stored) != len(record.marks):
            yield Violation(
                rule="mixed", detail=f"stored only in part: {record.marks}"
            )


def _check_replaced_primary(
    records: Iterable[CallRecord], log: _GroupLog
) -> Iterable[Violation]:
    """Find writes acknowledged by an already replaced primary."""
    terms = sorted(log.term_starts_s)
    for record in records:
        if record.outcome != "done" or record.repeated or not record.marks:
            continue
        later = [t for t in terms if t > record.term]
        if later and record.sent_s > log.term_starts_s[later[0]]:
            detail = f"{record.marks} acknowledged in ended term {record.term}"
            yield Violation(rule="replaced-primary", detail=detail)


def _check_reads(
    records: Iterable[CallRecord], log: _GroupLog
) -> Iterable[Violation]:
    """Find reads whose data were older than the read allows."""
    commits_s = [p.record.committed_at_s for p in log.stored_marks]
    for record in records:
        if record.outcome != "done" or record.value < 0:
            continue
        if record.kind is CallKind.OWN_READ:
            if record.value < record.own_marks:
                detail = f"{record.session}: {record}"
                yield Violation(rule="read-your-writes", detail=detail)
            continue
        oldest_s = record.sent_s - record.age_ms / _MS_PER_S
        expected = bisect.bisect_left(commits_s, oldest_s)
        if record.value < expected:
            detail = f"read {record.value} of {expected} rows: {record}"
            yield Violation(rule="stale", detail=detail)


def _check_answers(records: Iterable[CallRecord]) -> Iterable[Violation]:
    """Find answers that belong to another request."""
    for record in records:
        if record.outcome == "done" and not record.echoed:
            yield Violation(rule="wrong-answer", detail=f"{record}")
