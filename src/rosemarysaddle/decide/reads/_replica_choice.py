"""Choice of the replica for a read, and confirmation of writes.

An entry host knows the instances of a group from the status that they
report; the age of a replica's data is bounded by comparing its position
with earlier positions of the leased primary.
"""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._reasons import Reason, Refusal, Step
from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.reads._token import LogPoint

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from rosemarysaddle.decide.primaries._terms import GroupTerm

__all__ = ("GroupView", "ReadChoice", "ReadRequirements", "TargetView")

LIVENESS_TIMEOUT_MS: Final = 1_500
MAX_SAMPLES: Final = 256


@attrs.define(kw_only=True)
class TargetView:
    """Status of one instance as known to this host.

    :param role: role that the instance reported
    :param point: log position that the instance reported
    :param asked_ns: monotonic time at which the status was requested;
        the status is at least as new
    :param seen_ns: monotonic time of the last answer
    :param latency_ns: moving average of the time a statement takes
    :param leaving_until_ns: monotonic time until which it gets no work;
        extended whenever it announces again that it is leaving
    :param running: number of this host's statements that run there
    """

    name: str
    data_center: str
    role: str = ""
    point: LogPoint = attrs.field(factory=lambda: LogPoint(term=0, position=0))
    asked_ns: int = 0
    seen_ns: int = 0
    latency_ns: int = 0
    leaving_until_ns: int = 0
    running: int = 0

    def is_live(self, now_ns: int) -> bool:
        """Tell whether the instance answered recently."""
        return now_ns < self.seen_ns + LIVENESS_TIMEOUT_MS * NS_PER_MS

    def takes_work(self, now_ns: int) -> bool:
        """Tell whether the instance is live and not leaving."""
        return self.is_live(now_ns) and now_ns >= self.leaving_until_ns

    def holds(self, point: LogPoint) -> bool:
        """Tell whether the instance has applied a log position."""
        if self.point.term == point.term:
            return self.point.position >= point.position
        return self.point.term > point.term


@attrs.frozen(kw_only=True)
class _Sample:
    asked_ns: int
    point: LogPoint


@attrs.frozen(kw_only=True)
class ReadRequirements:
    """Requirements of a read on the replica that serves it.

    :param point: newest write of the session in the group
    :param stale_ms: maximum age of the data, in milliseconds; 0
        requires the primary
    :param has_token: whether the session sent its token
    """

    point: LogPoint
    stale_ms: int
    has_token: bool

    @property
    def allows_replica(self) -> bool:
        """Tell whether the read may be served by a replica at all."""
        return self.has_token and self.stale_ms > 0


@attrs.frozen(kw_only=True)
class ReadChoice:
    """Replica chosen for a read.

    :param target: name of the instance
    :param point: log position that the instance reported
    :param age_ns: upper bound of the age of its data, in nanoseconds
    """

    target: str
    point: LogPoint
    age_ns: int


@attrs.define(kw_only=True)
class GroupView:
    """Status of one group as known to this host.

    :param group: name of the group
    :param random_below: returns a random number below its argument
    :param targets: status of each instance, by name
    """

    group: str
    random_below: Callable[[int], int]
    targets: dict[str, TargetView] = attrs.field(factory=dict)
    _samples: collections.deque[_Sample] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    def observe(
        self,
        name: str,
        *,
        role: str,
        point: LogPoint,
        asked_ns: int,
        now_ns: int,
        is_primary: bool,
    ) -> None:
        """Record the status of an instance.

        :param name: name of the instance
        :param role: role that it reported
        :param point: log position that it reported
        :param asked_ns: monotonic time at which the status was
            requested, in nanoseconds
        :param now_ns: monotonic time, in nanoseconds
        :param is_primary: whether a lease covered the instance as the
            primary when the answer arrived
        """
        view = self.targets[name]
        view.role = role
        view.point = point
        view.asked_ns = asked_ns
        view.seen_ns = now_ns
        if is_primary:
            self._samples.append(_Sample(asked_ns=asked_ns, point=point))

    def age_ns(self, view: TargetView, now_ns: int) -> int | None:
        """Bound the age of the data of an instance.

        :param now_ns: monotonic time, in nanoseconds
        :return: upper bound in nanoseconds, or None if none is known
        """
        # Samples are in order of time and position, so those that the
        # instance has applied come first.
        held = bisect.bisect_left(
            self._samples, x=True, key=lambda s: not view.holds(s.point)
        )
        if not held:
            return None
        return now_ns - self._samples[held - 1].asked_ns

    def choose_replica(
        self,
        requirements: ReadRequirements,
        *,
        primary: str,
        data_center: str,
        now_ns: int,
    ) -> ReadChoice | Refusal:
        """Choose a replica for a read.

        Replicas in the preferred data centre come first.  Of two picked
        at random, the less loaded one is chosen.

        :param requirements: requirements of the read
        :param primary: instance to leave out
        :param data_center: data centre to prefer
        :param now_ns: monotonic time, in nanoseconds
        :return: the choice, or why no replica may serve the read
        """
        eligible = list(self._eligible(requirements, primary, now_ns))
        if not eligible:
            return self._refuse(primary, now_ns)
        near = [c for c in eligible if self._data_center_of(c) == data_center]
        return self._choose_less_loaded(near or eligible)

    def is_confirmed(
        self, point: LogPoint, *, primary: str, needed: int
    ) -> bool:
        """Tell whether enough instances hold a write.

        :param point: log position of the write
        :param primary: instance that ran the write
        :param needed: number of instances, the primary included
        """
        holders = 1 + sum(
            view.holds(point)
            for name, view in self.targets.items()
            if name != primary
        )
        return holders >= needed

    def can_confirm_writes(
        self, term: GroupTerm, *, needed: int, now_ns: int
    ) -> bool:
        """Tell whether live instances could confirm a write soon.

        Replicas count only if they follow the current term.

        :param term: current term of the group
        :param needed: number of instances, the primary included
        :param now_ns: monotonic time, in nanoseconds
        """
        live = sum(
            view.is_live(now_ns) and view.point.term == term.term
            for name, view in self.targets.items()
            if name != term.primary
        )
        return live + 1 >= needed

    def _eligible(
        self, requirements: ReadRequirements, primary: str, now_ns: int
    ) -> Iterable[ReadChoice]:
        for name, view in self.targets.items():
            if name == primary or not view.takes_work(now_ns):
                continue
            age_ns = self.age_ns(view, now_ns)
            if age_ns is None or age_ns > requirements.stale_ms * NS_PER_MS:
                continue
            if view.holds(requirements.point):
                yield ReadChoice(target=name, point=view.point, age_ns=age_ns)

    def _data_center_of(self, choice: ReadChoice) -> str:
        return self.targets[choice.target].data_center

    def _choose_less_loaded(self, choices: Sequence[ReadChoice]) -> ReadChoice:
        first = choices[self.random_below(len(choices))]
        second = choices[self.random_below(len(choices))]
        return min(first, second, key=self._load)

    def _load(self, choice: ReadChoice) -> tuple[int, int]:
        view = self.targets[choice.target]
        return (view.running, view.latency_ns)

    def _refuse(self, primary: str, now_ns: int) -> Refusal:
        live = any(
            v.is_live(now_ns) for n, v in self.targets.items() if n != primary
        )
        return Refusal(
            reason=Reason.REPLICAS_BEHIND if live else Reason.NO_REPLICA,
            step=Step.ROUTE,
            peer=self.group,
        )
