"""Detection of targets that fail more often than others of their group.

Each host judges the targets of a group by the statements that it ran
there, see docs/design/outliers.md.  The result is an added cost for
reads; it never makes a target ineligible, and writes ignore it.
"""

from __future__ import annotations

import enum
import math
from typing import Final

import attrs

from rosemarysaddle.decide._statements import FaultCode
from rosemarysaddle.decide._times import NS_PER_MS

__all__ = (
    "OutlierChange",
    "OutlierDetector",
    "OutlierLevel",
    "StatementSample",
)

# A host of 70 runs about two reads a second on each group, so shorter
# counts would rarely contain enough of them.
HALF_LIFE_NS: Final = 10_000 * NS_PER_MS
MIN_SAMPLES: Final = 6
MIN_REFERENCE_SAMPLES: Final = 3
# Standard errors by which the shares have to differ.  Without this, a
# group where all targets fail 20 % of their statements had outliers.
MIN_STANDARD_ERRORS: Final = 2.5
MIN_FAILURES: Final = 2
# Excess of the share of failures over that of the other targets.
ENTER_FAILURE_EXCESS: Final = 0.2
LEAVE_FAILURE_EXCESS: Final = 0.1
# Decayed number of times a target went down: two within 7 s.
ENTER_DOWNS: Final = 1.6
LEAVE_DOWNS: Final = 0.5
# Of three targets at most one is avoided at once.
MAX_AVOIDED_DIVISOR: Final = 3
# Makes the nearest other target cheaper by this much.  A higher cost
# leaves working slots unused under load: see docs/design/outliers.md.
PENALTY_NS: Final = 20 * NS_PER_MS
# A target that gets fewer reads keeps one of this number.
REDUCED_DIVISOR: Final = 4
MIN_BAD_TO_EJECT: Final = 2
STEP_NS: Final = 3_000 * NS_PER_MS
# Probes are ordinary reads, so they are also bounded by their share.
PROBE_INTERVAL_NS: Final = 500 * NS_PER_MS
# One in 48 reads of the hosts near one target of three is below 1 %
# of all, so that probes hardly affect the 99th percentile.
READS_PER_PROBE: Final = 48
MIN_GOOD_PROBES: Final = 3
# Time without a fault before reinstatement.  It doubles for a target
# that stands out again soon, so that a flapping target stays out.
HOLD_NS: Final = 5_000 * NS_PER_MS
MAX_HOLD_NS: Final = 40_000 * NS_PER_MS
RELAPSE_NS: Final = 60_000 * NS_PER_MS
_FAILURES: Final = frozenset(
    {FaultCode.FAILED, FaultCode.LOST, FaultCode.TIMEOUT}
)


class OutlierLevel(enum.IntEnum):
    """Degree to which reads avoid a target."""

    NORMAL = 0
    REDUCED = 1
    EJECTED = 2


@attrs.frozen(kw_only=True)
class StatementSample:
    """Outcome of one statement at a target."""

    target: str
    fault: FaultCode | None


@attrs.frozen(kw_only=True)
class OutlierChange:
    """Change of level of a target, with the figures that caused it.

    :param samples: decayed number of statements
    :param failure_share: share of them that failed
    :param downs: decayed number of times that it went down
    """

    target: str
    before: OutlierLevel
    level: OutlierLevel
    samples: float
    failure_share: float
    downs: float


@attrs.define(kw_only=True)
class _TargetRecord:
    """Decayed counts and level of one target.

    :param transfer_cost_ns: cost of a transfer between this host's data
        centre and the target's
    :param hold_ns: time without a fault that reinstatement requires
    :param changed_ns: time of the last change of level
    :param clean_since_ns: time of the last fault
    :param reinstated_ns: time at which it last left EJECTED; 0 if never
    :param bad: faults since the last change
    :param good: other statements since the last fault or change
    :param reads: reads that were routed while it was at REDUCED
    """

    target: str
    transfer_cost_ns: int
    updated_ns: int = 0
    samples: float = 0.0
    failures: float = 0.0
    downs: float = 0.0
    level: OutlierLevel = OutlierLevel.NORMAL
    changed_ns: int = 0
    clean_since_ns: int = 0
    reinstated_ns: int = 0
    hold_ns: int = HOLD_NS
    bad: int = 0
    good: int = 0
    reads: int = 0

    def decay(self, now_ns: int) -> None:
        """Reduce the counts by the time since the last call."""
        elapsed_ns = now_ns - self.updated_ns
        if elapsed_ns <= 0:
            return
        factor = 0.5 ** (elapsed_ns / HALF_LIFE_NS)
        self.samples *= factor
        self.failures *= factor
        self.downs *= factor
        self.updated_ns = now_ns

    def failure_share(self) -> float:
        """Return the share of statements that failed."""
        return self.failures / self.samples if self.samples else 0.0

    def add_bad(self, now_ns: int) -> None:
        """Count a fault."""
        self.bad += 1
        self.good = 0
        self.clean_since_ns = now_ns


@attrs.define(kw_only=True)
class OutlierDetector:
    """Judges the targets of one group as one host sees them."""

    _records: dict[str, _TargetRecord] = attrs.field(factory=dict, init=False)
    _probe_credit: float = attrs.field(default=1.0, init=False)
    _next_probe_ns: int = attrs.field(default=0, init=False)

    def add_target(self, target: str, transfer_cost_ns: int) -> None:
        """Add a target, or start anew with one that has moved."""
        self._records[target] = _TargetRecord(
            target=target, transfer_cost_ns=transfer_cost_ns
        )

    def remove_target(self, target: str) -> None:
        """Remove a target that left the group."""
        self._records.pop(target, None)

    def level(self, target: str) -> OutlierLevel:
        """Return the level of a target."""
        record = self._records.get(target)
        return record.level if record is not None else OutlierLevel.NORMAL

    def record(
        self, sample: StatementSample, now_ns: int
    ) -> list[OutlierChange]:
        """Record a statement.

        Refusals that leave the statement to another target, for want of
        room or of a log position, say nothing about the target.

        :return: the changes of level that result
        """
        record = self._records.get(sample.target)
        if record is None:
            return []
        is_failure = sample.fault in _FAILURES
        if sample.fault is not None and not is_failure:
            return []
        record.decay(now_ns)
        record.samples += 1
        record.failures += is_failure
        if is_failure:
            record.add_bad(now_ns)
        else:
            record.good += 1
        return self.update(now_ns)

    def record_down(self, target: str, now_ns: int) -> list[OutlierChange]:
        """Record that a target went down.

        :return: the changes of level that result
        """
        record = self._records.get(target)
        if record is None:
            return []
        record.decay(now_ns)
        record.downs += 1
        record.add_bad(now_ns)
        return self.update(now_ns)

    def update(self, now_ns: int) -> list[OutlierChange]:
        """Change the levels that the counts or the time require."""
        changes = []
        for record in self._records.values():
            record.decay(now_ns)
        for record in self._records.values():
            level = self._next_level(record, now_ns)
            if level is not record.level:
                changes.append(self._change(record, level, now_ns))
        return changes

    def penalties_ns(self) -> dict[str, int]:
        """Count one read and return the added cost of the targets.

        :return: the added costs other than 0, by target
        """
        penalties = {}
        for record in self._records.values():
            if record.level is OutlierLevel.NORMAL:
                continue
            if record.level is OutlierLevel.REDUCED:
                record.reads += 1
                if record.reads % REDUCED_DIVISOR == 0:
                    continue
            penalties[record.target] = self._penalty_ns(record)
        return penalties

    def probe_candidate(self, now_ns: int) -> str:
        """Count one read and return the target that it may probe.

        :return: the target, or an empty string
        """
        avoided = [
            record
            for record in self._records.values()
            if record.level is not OutlierLevel.NORMAL
        ]
        if not avoided:
            return ""
        self._probe_credit = min(1.0, self._probe_credit + 1 / READS_PER_PROBE)
        if self._probe_credit < 1 or now_ns < self._next_probe_ns:
            return ""
        # With several, the one with the fewest good probes so far.
        return min(avoided, key=lambda r: (r.good, r.target)).target

    def take_probe(self, now_ns: int) -> None:
        """Record that a read was sent as a probe."""
        self._probe_credit = 0.0
        self._next_probe_ns = now_ns + PROBE_INTERVAL_NS

    def _penalty_ns(self, record: _TargetRecord) -> int:
        nearest_ns = min(
            (
                other.transfer_cost_ns
                for other in self._records.values()
                if other is not record
            ),
            default=0,
        )
        return PENALTY_NS + max(0, nearest_ns - record.transfer_cost_ns)

    def _excess(self, record: _TargetRecord) -> tuple[float, float]:
        """Compare the share of failures with that of the other targets.

        :return: the difference and its standard error; 0 if the others
            ran too little
        """
        others = [
            other
            for other in self._records.values()
            if other is not record and other.level is not OutlierLevel.EJECTED
        ]
        samples = sum(other.samples for other in others)
        if samples < MIN_REFERENCE_SAMPLES or not record.samples:
            return 0.0, 0.0
        failures = sum(other.failures for other in others)
        common = (failures + record.failures) / (samples + record.samples)
        variance = common * (1 - common)
        error = math.sqrt(variance / samples + variance / record.samples)
        return record.failure_share() - failures / samples, error

    def _is_faulty(self, record: _TargetRecord) -> bool:
        others = [r for r in self._records.values() if r is not record]
        if record.downs >= ENTER_DOWNS:
            # If others go down as well, the cause is not the target.
            return all(other.downs < LEAVE_DOWNS for other in others)
        if record.samples < MIN_SAMPLES:
            return False
        excess, error = self._excess(record)
        return record.failures >= MIN_FAILURES and excess >= max(
            ENTER_FAILURE_EXCESS, MIN_STANDARD_ERRORS * error
        )

    def _is_inconspicuous(self, record: _TargetRecord) -> bool:
        return (
            record.downs < LEAVE_DOWNS
            and self._excess(record)[0] < LEAVE_FAILURE_EXCESS
        )

    def _may_avoid(self, record: _TargetRecord) -> bool:
        others = sum(
            1
            for r in self._records.values()
            if r is not record and r.level is not OutlierLevel.NORMAL
        )
        return others < len(self._records) // MAX_AVOIDED_DIVISOR

    def _next_level(self, record: _TargetRecord, now_ns: int) -> OutlierLevel:
        if record.level is OutlierLevel.NORMAL:
            if self._may_avoid(record) and self._is_faulty(record):
                return OutlierLevel.REDUCED
            return record.level
        if record.level is OutlierLevel.REDUCED:
            # The reads that moved to the other targets show whether
            # these are better, so new faults are required.
            if record.bad >= MIN_BAD_TO_EJECT and self._is_faulty(record):
                return OutlierLevel.EJECTED
            if now_ns >= record.changed_ns + STEP_NS and (
                self._is_inconspicuous(record)
            ):
                return OutlierLevel.NORMAL
            return record.level
        if (
            record.good >= MIN_GOOD_PROBES
            and record.downs < LEAVE_DOWNS
            and now_ns >= record.clean_since_ns + record.hold_ns
        ):
            return OutlierLevel.REDUCED
        return record.level

    def _change(
        self, record: _TargetRecord, level: OutlierLevel, now_ns: int
    ) -> OutlierChange:
        change = OutlierChange(
            target=record.target,
            before=record.level,
            level=level,
            samples=record.samples,
            failure_share=record.failure_share(),
            downs=record.downs,
        )
        if level is OutlierLevel.EJECTED:
            has_relapsed = (
                record.reinstated_ns
                and now_ns < record.reinstated_ns + RELAPSE_NS
            )
            record.hold_ns = (
                min(MAX_HOLD_NS, 2 * record.hold_ns)
                if has_relapsed
                else HOLD_NS
            )
        elif record.level is OutlierLevel.EJECTED:
            record.reinstated_ns = now_ns
            record.samples = record.failures = 0.0
        record.level = level
        record.changed_ns = now_ns
        record.bad = record.good = record.reads = 0
        return change
