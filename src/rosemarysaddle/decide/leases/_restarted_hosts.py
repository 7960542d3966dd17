"""Restart of all entry hosts of a data centre, as the leader sees it.

After a loss of power, no process is left that has counted the
operations of teams.  What has accrued under their limits since then can
be used at once, instead of starting with nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Collection

    from rosemarysaddle.schema import LeaseRenewal

__all__ = ("RestartedHosts",)


@attrs.frozen(kw_only=True)
class _Process:
    """Process of an entry host that has renewed with this leader.

    :param host: name of the host with its incarnation
    :param started_ns: latest time at which it may have started
    :param may_have_counted: whether it may have counted operations
    """

    host: str
    data_center: str
    started_ns: int
    may_have_counted: bool


@attrs.define(kw_only=True)
class RestartedHosts:
    """Processes of the entry hosts that have renewed with this leader.

    A host runs one process at a time, so a newer incarnation proves
    that the earlier one has ended.
    """

    _processes: dict[str, _Process] = attrs.field(factory=dict, init=False)

    def on_elected(self) -> None:
        """Forget the processes that renewed with an earlier leader."""
        self._processes.clear()

    def record(self, host: str, renewal: LeaseRenewal, now_ns: int) -> None:
        """Record a renewal.

        :param host: name of the host with its incarnation
        """
        known = self._processes.get(_without_incarnation(host))
        if known is not None and known.host == host:
            return
        started_ns = now_ns - renewal.started_age_ms * NS_PER_MS
        self._processes[_without_incarnation(host)] = _Process(
            host=host,
            data_center=renewal.data_center,
            started_ns=started_ns,
            # Without a list of its data centre, a host counts nothing.
            may_have_counted=not renewal.started_age_ms
            or renewal.neighbours_tag != 0,
        )

    def uncounted_since_ns(
        self, data_center: str, holders: Collection[str]
    ) -> int:
        """Find out since when no process of a data centre has counted.

        :param holders: all hosts that may have a lease, with their
            incarnations
        :return: monotonic time, in nanoseconds; 0 if a process that was
            started before may be left
        """
        names = {_without_incarnation(holder) for holder in holders}
        if not names <= self._processes.keys():
            # An earlier process may run without a path to this leader.
            return 0
        here = [
            process
            for process in self._processes.values()
            if process.data_center == data_center
        ]
        if any(process.may_have_counted for process in here):
            return 0
        return max((process.started_ns for process in here), default=0)


def _without_incarnation(host: str) -> str:
    return host.partition("#")[0]
