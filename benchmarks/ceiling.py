"""Ceiling of what callers of one group can get, by any policy.

Fills the slots of the targets that may serve with the operations that
are worth most for their work, as if arrivals were even and nothing was
ever refused or repeated.  Run::

    python -m benchmarks.ceiling
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from benchmarks.full_primary import CLASSES

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("Load", "ceiling", "loads")

# 53,602 statements for 37,994 operations on a full-load day, of which
# 16 % are transactions.
STATEMENTS_PER_TRANSACTION: Final = 3.6
SLOTS_PER_TARGET: Final = 6
CREDITS: Final = {"intake": 2, "status": 1, "quote": 2}
# Operations per second of one of four groups: quiet days, days with
# trouble, full-load days and their bursts.
RATES_PER_S: Final = {"quiet": 163, "trouble": 239, "full": 268, "burst": 455}


@attrs.frozen(kw_only=True)
class Load:
    """Operations of one kind.

    :param work_ms: work of one operation
    :param credit: what one operation is worth to its caller
    """

    name: str
    rate_per_s: float
    work_ms: float
    credit: float


def loads(rate_per_s: float) -> list[Load]:
    """Divide the operations of a group into kinds.

    :param rate_per_s: all operations of the group
    """
    found: list[Load] = []
    for service_class in CLASSES:
        rate = rate_per_s * service_class.share
        credit = CREDITS[service_class.name]
        parts = (
            ("statements", 1 - service_class.transactions, 1.0),
            (
                "transactions",
                service_class.transactions,
                STATEMENTS_PER_TRANSACTION,
            ),
        )
        found.extend(
            Load(
                name=f"{service_class.name} {kind}",
                rate_per_s=rate * part,
                work_ms=service_class.work_ms * statements,
                credit=credit,
            )
            for kind, part, statements in parts
        )
    return found


def ceiling(
    kinds: Iterable[Load], slots: int
) -> tuple[float, dict[str, float]]:
    """Compute the most that can be served.

    :return: the part of all credit, and the part of each kind that is
        served
    """
    left_ms = slots * 1_000.0
    earned = owed = 0.0
    served: dict[str, float] = {}
    for kind in sorted(kinds, key=lambda k: k.work_ms / k.credit):
        needed_ms = kind.rate_per_s * kind.work_ms
        part = min(1.0, left_ms / needed_ms)
        left_ms -= part * needed_ms
        served[kind.name] = part
        earned += part * kind.rate_per_s * kind.credit
        owed += kind.rate_per_s * kind.credit
    return earned / owed, served


def main() -> None:
    """Print the ceiling for each number of targets that may serve."""
    for day, rate_per_s in RATES_PER_S.items():
        for targets in (1, 2, 3):
            part, served = ceiling(
                loads(rate_per_s), targets * SLOTS_PER_TARGET
            )
            cells = " ".join(f"{k}={v:.2f}" for k, v in served.items())
            print(f"{day} {targets} targets: {part:.3f} {cells}")


if __name__ == "__main__":
    main()
