"""Assignment of targets to the hosts that lend connections to them.

All statements for a target pass its lender, whose link and processor
are small: a host that lends two targets makes the callers of both wait
while its neighbours lend none.
"""

from __future__ import annotations

import collections
import hashlib
import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

__all__ = ("assign_lenders", "rank_lenders")

# Targets of one host relative to the mean.  Less would move more of
# them whenever a host joins or leaves.
MAX_LOAD: Final = 1.25
# With more targets for each host, the hash alone is even enough, and an
# assignment would take the event loop longer than 0.2 s.
MAX_ASSIGNED_TARGETS: Final = 4


def assign_lenders(
    hosts: Sequence[str], targets: Collection[str]
) -> dict[str, str]:
    """Assign each target to a host.

    Rendezvous hashing with bounded loads: a target goes to the first
    host of its ranking that does not lend its part already.  Hosts with
    equal lists agree, and when a host leaves, few other targets move.

    :param hosts: addresses of the hosts that may lend
    :param targets: names of the targets that they lend
    :return: host by target; empty without hosts, or if there are so
        many targets that the hash alone decides
    """
    if not hosts or len(targets) > MAX_ASSIGNED_TARGETS * len(hosts):
        return {}
    most = math.ceil(MAX_LOAD * len(targets) / len(hosts))
    loads: collections.Counter[str] = collections.Counter()
    assigned: dict[str, str] = {}
    for target in sorted(targets):
        free = [host for host in hosts if loads[host] < most]
        chosen = min(free, key=lambda host: _hash(host, target))
        loads[chosen] += 1
        assigned[target] = chosen
    return assigned


def rank_lenders(
    hosts: Sequence[str], target: str, assigned: Mapping[str, str]
) -> tuple[str, ...]:
    """Rank the hosts as lenders of a target.

    :param assigned: assignment of all targets that these hosts lend
    :return: the assigned host, and then those that lend least
    """
    loads = collections.Counter(assigned.values())
    first = assigned.get(target)
    return tuple(
        sorted(
            hosts,
            key=lambda host: (
                host != first,
                loads[host] if first is not None else 0,
                _hash(host, target),
            ),
        )
    )


def _hash(host: str, target: str) -> bytes:
    return hashlib.blake2b(f"{host} {target}".encode()).digest()
