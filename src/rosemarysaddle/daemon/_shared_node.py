"""Thread-safe access of worker threads to an entry node.

One condition variable guards the node. A thread that waits for a
change of the node occupies one of the waiting slots of its group; the
number of slots bounds how many threads a group can block.
"""

from __future__ import annotations

import contextlib
import random
import threading
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle.decide import (
    NS_PER_MS,
    EntryNode,
    GroupView,
    LogPoint,
    Outcome,
    ReadChoice,
    ReadRequirements,
    Reason,
    Refusal,
    Step,
    TargetView,
    WriteTicket,
    write_quorum,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemarysaddle.decide import Effect, GroupTerm
    from rosemarysaddle.schema import Group, Instance
    from rosemarysaddle.target import InstanceStatus, TargetPool

__all__ = ("PrimaryChoice", "SharedEntryNode")

# Longest wait for a suitable replica before a read uses the primary.
REPLICA_WAIT_MS: Final = 60
# Delay that a refusal suggests to the caller before a retry.
RETRY_AFTER_MS: Final = 500
BACKOFF_MS: Final = 60
# How long a leaving instance gets no new work after its announcement.
LEAVING_HOLD_MS: Final = 10_000


@attrs.frozen(kw_only=True)
class PrimaryChoice:
    """Primary chosen for a read.

    :param term: term under which it is the primary
    """

    target: str
    term: int


@attrs.define(kw_only=True, eq=False)
class SharedEntryNode:
    """Entry node of a host, shared with the worker threads.

    :param node: state machine of the entry host
    :param held_per_group: number of requests of a group that may wait
        at the same time
    :param seed: seed of the random choice among replicas
    """

    node: EntryNode
    held_per_group: int
    seed: int
    groups: dict[str, GroupView] = attrs.field(factory=dict, init=False)
    pools: dict[str, TargetPool] = attrs.field(factory=dict, init=False)
    stopping: bool = attrs.field(default=False, init=False)
    changed: threading.Condition = attrs.field(
        factory=threading.Condition, init=False
    )
    _group_of: dict[str, str] = attrs.field(factory=dict, init=False)
    _status_demand: dict[str, threading.Event] = attrs.field(
        factory=dict, init=False
    )
    _demand_counts: dict[str, int] = attrs.field(factory=dict, init=False)
    _waiting_counts: dict[str, int] = attrs.field(factory=dict, init=False)
    _random: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the random choice among replicas."""
        self._random = random.Random(self.seed)  # noqa: S311

    def add_target(self, group: Group, instance: Instance) -> None:
        """Add an instance to the view of its group."""
        with self.changed:
            view = self.groups.get(group.name)
            if view is None:
                random_below = self._random.randrange
                view = GroupView(group=group.name, random_below=random_below)
                self.groups[group.name] = view
            view.targets[instance.name] = TargetView(
                name=instance.name, data_center=instance.data_center
            )
            self._group_of[instance.name] = group.name
            self._status_demand.setdefault(group.name, threading.Event())

    def drop_target(self, name: str) -> None:
        """Remove an instance from the view of its group."""
        with self.changed:
            group = self._group_of.pop(name)
            self.groups[group].targets.pop(name, None)
            self.changed.notify_all()

    def observe(
        self, name: str, status: InstanceStatus, asked_ns: int
    ) -> None:
        """Apply a status that an instance reported.

        :param asked_ns: monotonic time at which the status was
            requested, in nanoseconds
        """
        with self.changed:
            group = self._group_of.get(name)
            if group is None:
                return
            now_ns = clock_ns()
            self.groups[group].observe(
                name,
                role=status.role,
                point=status.point,
                asked_ns=asked_ns,
                now_ns=now_ns,
                is_primary=self._is_leased_primary(
                    group, name, status, now_ns
                ),
            )
            self.changed.notify_all()

    def mark_unreachable(self, name: str) -> None:
        """Route no work to an instance until its next status."""
        with self.changed:
            group = self._group_of.get(name)
            if group is None:
                return
            view = self.groups[group].targets[name]
            view.role = ""
            view.seen_ns = 0

    def mark_leaving(self, name: str) -> None:
        """Route no new work to an instance for LEAVING_HOLD_MS."""
        with self.changed:
            group = self._group_of.get(name)
            if group is not None:
                view = self.groups[group].targets[name]
                now_ns = clock_ns()
                view.leaving_until_ns = now_ns + LEAVING_HOLD_MS * NS_PER_MS

    def wait_for_status_demand(self, name: str, limit_s: float) -> None:
        """Wait until a request needs a newer status of an instance.

        :param limit_s: maximum wait, in seconds
        """
        event = self._status_demand.get(self._group_of.get(name, ""))
        if event is not None:
            event.wait(limit_s)

    def run(self, work: Callable[[EntryNode], list[Effect]]) -> list[Effect]:
        """Run a step of the entry node.

        Wakes the waiting threads if the applied state or the lease has
        changed or the step has effects.

        :return: effects that the caller has to execute
        """
        with self.changed:
            before = (self.node.state.index, self.node.lease.deadline_ns)
            effects = work(self.node)
            after = (self.node.state.index, self.node.lease.deadline_ns)
            if effects or before != after:
                self.changed.notify_all()
            return effects

    def begin_write(
        self, group: str, *, deadline_ns: int
    ) -> WriteTicket | Refusal:
        """Wait until this host may write to a group.

        :param deadline_ns: monotonic time, in nanoseconds
        :return: ticket to release with :meth:`end_write`, or why the
            write is refused
        """
        with self.changed:
            result = self._try_write(group)
            if isinstance(result, WriteTicket):
                return result
            with self._waiting_slot(group) as has_slot:
                if not has_slot:
                    return _overloaded(group)
                while isinstance(result, Refusal):
                    if not self._wait(deadline_ns):
                        return _with_retry_after(result)
                    result = self._try_write(group)
            return result

    def end_write(self, ticket: WriteTicket) -> bool:
        """Release the ticket of a write.

        :return: whether the write may be acknowledged
        """
        with self.changed:
            return self.node.end_write(ticket, clock_ns())

    def wait_before_retry(self, group: str, *, deadline_ns: int) -> bool:
        """Wait for the back-off before a request is retried.

        Returns early when the term of the group changes.

        :param deadline_ns: monotonic time, in nanoseconds
        :return: whether the request may be retried; false also if all
            waiting slots of the group are taken
        """
        with self.changed, self._waiting_slot(group) as has_slot:
            if not has_slot:
                return False
            now_ns = clock_ns()
            latest_ns = min(deadline_ns, now_ns + BACKOFF_MS * NS_PER_MS)
            initial_term = self.node.state.terms.get(group)
            while self.node.state.terms.get(group) == initial_term:
                if not self._wait(latest_ns):
                    break
        return clock_ns() < deadline_ns

    def holds(self, ticket: WriteTicket) -> bool:
        """Return whether a write ticket is still valid."""
        with self.changed:
            return self.node.holds(ticket, clock_ns())

    def wait_confirmed(
        self, ticket: WriteTicket, point: LogPoint, *, deadline_ns: int
    ) -> bool:
        """Wait until a write quorum of instances has applied a write.

        :param point: log position of the write
        :param deadline_ns: monotonic time, in nanoseconds
        :return: whether the quorum was reached; false if the ticket
            became invalid or the deadline passed
        """
        with self.changed:
            view = self.groups[ticket.group]
            needed = write_quorum(len(view.targets))
            with self._demanding_status(ticket.group):
                while not view.is_confirmed(
                    point, primary=ticket.primary, needed=needed
                ):
                    if not self.node.holds(ticket, clock_ns()):
                        return False
                    if not self._wait(deadline_ns):
                        return False
            return True

    def choose_read(
        self, group: str, requirements: ReadRequirements, *, deadline_ns: int
    ) -> ReadChoice | PrimaryChoice | Refusal:
        """Choose the target of a read.

        Waits up to REPLICA_WAIT_MS for a replica that meets the
        requirements, then uses the primary.

        :param deadline_ns: monotonic time, in nanoseconds
        :return: the replica, the primary, or why the read is refused
        """
        with self.changed:
            if requirements.allows_replica:
                choice = self._wait_for_replica(
                    group, requirements, deadline_ns
                )
                if isinstance(choice, ReadChoice):
                    return choice
            return self._choose_primary(group, deadline_ns)

    def covers(self, group: str, term: int) -> bool:
        """Return whether a term is current and covered by the lease."""
        with self.changed:
            current = self.node.state.terms.get(group)
            if current is None or current.term != term:
                return False
            return self.node.covers(current, group, clock_ns())

    def track_statement(
        self, name: str, count: int, latency_ns: int = 0
    ) -> None:
        """Record that a statement starts or ends on a target.

        :param count: 1 for a start, -1 for an end
        :param latency_ns: time that the statement took, in
            nanoseconds; 0 leaves the average latency as it is
        """
        with self.changed:
            group = self._group_of.get(name, "")
            if group not in self.groups:
                return
            view = self.groups[group].targets[name]
            view.running += count
            if latency_ns:
                # Exponential moving average with a weight of 1/8.
                view.latency_ns += (latency_ns - view.latency_ns) // 8

    def _is_leased_primary(
        self, group: str, name: str, status: InstanceStatus, now_ns: int
    ) -> bool:
        term = self.node.state.terms.get(group)
        if term is None or term.primary != name:
            return False
        if status.role != "primary" or status.point.term != term.term:
            return False
        return self.node.covers(term, group, now_ns)

    def _try_write(self, group: str) -> WriteTicket | Refusal:
        now_ns = clock_ns()
        term = self.node.state.terms.get(group)
        view = self.groups.get(group)
        if self.stopping:
            return _refusal(Reason.STOPPING, group)
        if term is None or view is None:
            return _refusal(Reason.NO_PRIMARY, group)
        if not self._is_promoted(term, view):
            return _refusal(Reason.NO_PRIMARY, group)
        needed = write_quorum(len(view.targets))
        if not view.can_confirm_writes(term, needed=needed, now_ns=now_ns):
            return _refusal(Reason.REPLICAS_BEHIND, group)
        return self.node.begin_write(group, now_ns)

    def _is_promoted(self, term: GroupTerm, view: GroupView) -> bool:
        primary = view.targets.get(term.primary)
        if primary is None or primary.role != "primary":
            return False
        start = term.start_of(term.term) or 0
        is_same_term = primary.point.term == term.term
        return is_same_term and primary.point.position >= start

    def _choose_primary(
        self, group: str, deadline_ns: int
    ) -> PrimaryChoice | Refusal:
        result = self._try_primary(group)
        if isinstance(result, PrimaryChoice):
            return result
        with self._waiting_slot(group) as has_slot:
            if not has_slot:
                return _overloaded(group)
            while isinstance(result, Refusal):
                if not self._wait(deadline_ns):
                    return _with_retry_after(result)
                result = self._try_primary(group)
        return result

    def _try_primary(self, group: str) -> PrimaryChoice | Refusal:
        term = self.node.state.terms.get(group)
        view = self.groups.get(group)
        if term is None or view is None:
            return _refusal(Reason.NO_PRIMARY, group)
        if not self._is_promoted(term, view):
            return _refusal(Reason.NO_PRIMARY, group)
        if not self.node.covers(term, group, clock_ns()):
            return _refusal(Reason.NO_LEASE, group)
        return PrimaryChoice(target=term.primary, term=term.term)

    def _wait_for_replica(
        self, group: str, requirements: ReadRequirements, deadline_ns: int
    ) -> ReadChoice | Refusal:
        latest_ns = clock_ns() + REPLICA_WAIT_MS * NS_PER_MS
        latest_ns = min(latest_ns, deadline_ns)
        choice = self._try_replica(group, requirements)
        if isinstance(choice, ReadChoice):
            return choice
        with self._waiting_slot(group) as has_slot:
            if not has_slot:
                return choice
            while isinstance(choice, Refusal):
                if not self._wait(latest_ns):
                    return choice
                choice = self._try_replica(group, requirements)
        return choice

    def _try_replica(
        self, group: str, requirements: ReadRequirements
    ) -> ReadChoice | Refusal:
        view = self.groups.get(group)
        term = self.node.state.terms.get(group)
        if view is None:
            return _refusal(Reason.NO_REPLICA, group)
        return view.choose_replica(
            requirements,
            primary=term.primary if term else "",
            data_center=self.node.data_center,
            now_ns=clock_ns(),
        )

    @contextlib.contextmanager
    def _demanding_status(self, group: str) -> Iterator[None]:
        event = self._status_demand.setdefault(group, threading.Event())
        self._demand_counts[group] = self._demand_counts.get(group, 0) + 1
        event.set()
        try:
            yield
        finally:
            self._demand_counts[group] -= 1
            if not self._demand_counts[group]:
                event.clear()

    @contextlib.contextmanager
    def _waiting_slot(self, group: str) -> Iterator[bool]:
        waiting_count = self._waiting_counts.get(group, 0)
        if waiting_count >= self.held_per_group:
            yield False
            return
        self._waiting_counts[group] = waiting_count + 1
        try:
            with self._demanding_status(group):
                yield True
        finally:
            self._waiting_counts[group] -= 1

    def _wait(self, deadline_ns: int) -> bool:
        remaining_ns = deadline_ns - clock_ns()
        if remaining_ns <= 0:
            return False
        self.changed.wait(remaining_ns / NS_PER_S)
        return clock_ns() < deadline_ns


def _refusal(reason: Reason, group: str) -> Refusal:
    return Refusal(reason=reason, step=Step.ROUTE, peer=group)


def _overloaded(group: str) -> Refusal:
    return Refusal(
        reason=Reason.OVERLOADED,
        step=Step.ADMIT,
        peer=group,
        outcome=Outcome.NOT_RUN,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _with_retry_after(refusal: Refusal) -> Refusal:
    return attrs.evolve(refusal, retry_after_ms=RETRY_AFTER_MS)
