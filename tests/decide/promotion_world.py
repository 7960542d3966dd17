"""Model of one group, the platform and the hosts, in simulated time.

The control leader and the entry hosts are real; the targets, the
platform and the links are modelled.
"""

from __future__ import annotations

import itertools
import json
import random
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.decide import (
    CheckEnded,
    ClusterState,
    ControlNode,
    DemoteTarget,
    DocumentKind,
    EntryNode,
    LogDecision,
    ProbeGroup,
    PromoteTarget,
    PromotionResult,
    Send,
    StoredLog,
    TargetReport,
    WriteTicket,
)
from rosemarysaddle.decide.primaries._orders_in_doubt import MAX_DOUBT_MS
from rosemarysaddle.decide.reads._token import LogPoint
from rosemarysaddle.node._platform import OrderAnswer
from rosemarysaddle.node._timing import PROMOTE_TIMEOUT_MS
from rosemarysaddle.schema import (
    Announcement,
    ChangeProposal,
    Switchover,
)
from tests.decide.promotion_model import (
    START_NS,
    Calls,
    Carried,
    OpenCalls,
    OrderMode,
    Promotion,
    Target,
    Timeline,
)
from tests.helpers import NS_PER_MS, make_log

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.decide.promotion_model import Process

__all__ = ("World",)

GROUP: Final = "g"
POLL_MS: Final = 50
ANSWER_MS: Final = 30_000
WRITE_PAUSE_MS: Final = 50
CONNECT_TIMEOUT_MS: Final = 300
COMMIT_TIMEOUT_MS: Final = 800
# Commits at the old primary count from then on.
OVERLAP_MS: Final = 300
ANNOUNCE_MS: Final = 1_200
# One that a host does not acknowledge goes to the next one.
ANNOUNCEMENT_DELAYS_MS: Final = (5, 5, 1_000)
# Share of the steps in which a replica receives what it lacks.
RECEIVE_SHARE: Final = 0.6
MAX_RECOVERY_MS: Final = 16_000
# Callers write every 50 ms.
STEADY_MS: Final = 1_000


@attrs.define(kw_only=True, eq=False)
class World(Timeline):
    """One group with its targets, hosts and the platform.

    :param write_pause_ms: pause between the writes of an entry host
    :param modes: what the platform does with the next calls, each with
        its delay in milliseconds; prompt when the list is empty
    :param acknowledged: commits that a caller was told of and that no
        promotion has rolled back
    :param cut_off: entry hosts that the leader cannot reach
    :param faults: properties that did not hold
    :param exempt: commits at an old primary, and lost ones, after a
        promotion that is exempt
    """

    seed: int = 0
    size: int = 3
    sync_replicas: int = 0
    write_pause_ms: int = WRITE_PAUSE_MS
    modes: list[tuple[OrderMode, int]] = attrs.field(factory=list)
    carried: Carried = Carried.AT_RETURN
    platform_down_until_ns: int = 0
    promotions: list[Promotion] = attrs.field(factory=list)
    acknowledged: set[int] = attrs.field(factory=set)
    last_ack_ns: int = 0
    faults: list[str] = attrs.field(factory=list)
    exempt: int = 0
    journal: list[str] = attrs.field(factory=list)
    leader: ControlNode = attrs.field(init=False)
    targets: dict[str, Target] = attrs.field(factory=dict)
    entries: dict[str, EntryNode] = attrs.field(factory=dict)
    cut_off: set[str] = attrs.field(factory=set)
    pending: int = 0
    newest: str = "t1"
    rng: random.Random = attrs.field(init=False)
    _plan_version: int = 4
    _opened: dict[str, OpenCalls] = attrs.field(factory=dict)
    # Newest position of a primary that each entry host was told.
    _points: dict[str, LogPoint] = attrs.field(factory=dict)
    _ids: itertools.count[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Start all parts, and wait until the group takes writes."""
        self.rng = random.Random(self.seed)  # noqa: S311
        for number in range(1, self.size + 1):
            name = f"t{number}"
            address = f"127.0.0.{number}:1"
            self.targets[name] = Target(name=name, address=address)
        self.targets["t1"].role = "primary"
        self.entries = {
            name: EntryNode(
                host=name, data_center=center, address="", control=["a"]
            )
            for name, center in (("e1", "dc-1"), ("e2", "dc-2"))
        }
        self._start_leader(StoredLog(), self.now_ns - 2_000 * NS_PER_MS)
        self._execute(self.leader.tick(self.now_ns))
        self._propose_plan()
        for target in self.targets.values():
            self.spawn(self._announce_often(target))
        pause_ms = self.write_pause_ms // len(self.entries)
        for number, entry in enumerate(self.entries.values()):
            self.later(
                number * pause_ms,
                lambda entry=entry: self.spawn(self._write_often(entry)),  # type: ignore[misc]
            )
        self.run(2_000)
        assert self.last_ack_ns, "the group never took a write"

    def note(self, text: str) -> None:
        """Add a line to the journal."""
        self.journal.append(
            f"{(self.now_ns - START_NS) // NS_PER_MS:6} {text}"
        )

    def step(self) -> None:
        self._execute(self.leader.tick(self.now_ns))
        for name, entry in self.entries.items():
            self._execute(entry.tick(self.now_ns), name)
        self._replicate()

    # --- hosts ---

    def _start_leader(self, stored: StoredLog, started_ns: int) -> None:
        log = make_log("a", voters=("a",), stored=stored, now_ns=started_ns)
        state = ClusterState.from_stored(stored)
        self.leader = ControlNode(log=log, state=state, data_center="dc-1")
        # As in `node._control`.
        self.leader.primaries.promote_timeout_ms = PROMOTE_TIMEOUT_MS

    def change_leader(self) -> None:
        """Replace the control leader by one that loads its state.

        It leads once the earlier one can lead no more.
        """
        state, term = self.leader.state, self.leader.log.term
        stored = StoredLog(
            term=term,
            snapshot_index=state.index,
            snapshot_term=term,
            snapshot_state=state.dump(),
        )
        self.note("the leader changes")
        self._opened.clear()
        self._start_leader(stored, self.now_ns)

    def switch_over(self, target: str) -> None:
        """Ask for a planned change of primary."""
        self.note(f"a change to {target} is asked for")
        order = Switchover(group=GROUP, target=target)
        self._to_leader("op", order)

    def change_sync_replicas(self, count: int) -> None:
        """Propose a plan that waits for another number of replicas."""
        self.note(f"the plan asks for {count} synchronous replicas")
        self.sync_replicas = count
        self._plan_version += 1
        self._propose_plan()

    def _propose_plan(self) -> None:
        route = {
            "name": "r",
            "database": "d",
            "freshness": "primary",
            "timeout_ms": 800,
            "group": GROUP,
        }
        group = {"name": GROUP, "sync_replicas": self.sync_replicas}
        version = self._plan_version
        plan = {"version": version, "groups": [group], "routes": [route]}
        change = ChangeProposal(
            change_id=str(version),
            kind=DocumentKind.ROUTES,
            base_version=version,
            author="op",
            payload=json.dumps(plan),
        )
        self._to_leader("op", change)

    def _to_leader(self, source: str, message: Any) -> None:
        self._execute(self.leader.receive(source, message, self.now_ns))

    def _execute(self, effects: Sequence[Any], source: str = "a") -> None:
        for effect in effects:
            match effect:
                case Send(peer="a"):
                    self._send_to_leader(source, effect.message)
                case Send() if effect.peer in self.entries:
                    self._send_to_entry(effect.peer, effect.message)
                case ProbeGroup():
                    self.spawn(self._probe(effect))
                case CheckEnded():
                    self.spawn(self._check_ended(effect))
                case PromoteTarget():
                    self.spawn(self._promote(effect))
                case DemoteTarget():
                    self.spawn(self._demote(effect))
                case LogDecision():
                    self.note(f"{effect.event} {effect.text}")
                case _:
                    pass

    def _send_to_leader(self, source: str, message: Any) -> None:
        if source in self.cut_off:
            return
        self.later(2, lambda: self._to_leader(source, message))

    def _send_to_entry(self, name: str, message: Any) -> None:
        if name in self.cut_off:
            return
        node = self.entries[name]
        self.later(
            2,
            lambda: self._execute(
                node.receive("a", message, self.now_ns), name
            ),
        )

    # --- orders of the control leader, as in `node._orders` ---

    def _read(self, target: Target, limit_ms: int) -> Process:
        """Read a status; None if there is no answer in time."""
        if not target.is_up:
            yield self.now_ns + 2 * NS_PER_MS
            return None
        delay_ms = target.answer_ms
        if target.is_dark or delay_ms > limit_ms:
            yield self.now_ns + limit_ms * NS_PER_MS
            return None
        yield self.now_ns + delay_ms * NS_PER_MS
        return self._report(target) if target.is_seen else None

    def _report(self, target: Target) -> TargetReport:
        return TargetReport(
            target=target.name,
            reachable=True,
            role=target.role,
            term=target.term,
            log_term=target.log[-1][0] if target.log else 1,
            position=len(target.log),
            asked_ns=self.now_ns - target.answer_ms * NS_PER_MS,
        )

    def _probe(self, probe: ProbeGroup) -> Process:
        leader = self.leader
        reports: list[TargetReport] = []
        left_ms = (probe.deadline_ns - self.now_ns) // NS_PER_MS
        for target in self.targets.values():
            self.spawn(self._probe_one(target, left_ms, reports))
        while self.now_ns < probe.deadline_ns:
            answered = {r.target for r in reports if r.role}
            has_needed = probe.needed and answered >= set(probe.needed)
            if len(answered) >= probe.quorum or has_needed:
                break
            if len(reports) == len(self.targets):
                break
            yield self.now_ns + 5 * NS_PER_MS
        if leader is self.leader:
            effects = leader.on_probe(
                GROUP, probe.attempt, list(reports), self.now_ns
            )
            self._execute(effects)

    def _probe_one(
        self, target: Target, limit_ms: int, reports: list[TargetReport]
    ) -> Process:
        report = yield from self._read(target, limit_ms - 1)
        reports.append(
            report
            or TargetReport(target=target.name, reachable=target.is_seen)
        )

    def _check_ended(self, check: CheckEnded) -> Process:
        leader = self.leader
        yield self.now_ns + 2 * NS_PER_MS
        ended = set()
        for member in check.members:
            at_address = [
                t
                for t in self.targets.values()
                if t.address == member.address and t.is_up
            ]
            if any(t.is_dark for t in at_address):
                yield check.deadline_ns
            elif member.target not in [t.name for t in at_address]:
                ended.add(member.key)
        if leader is self.leader:
            self._execute(leader.on_end_checked(GROUP, ended, self.now_ns))

    def _promote(self, order: PromoteTarget) -> Process:
        leader, target = self.leader, self.targets[order.target]
        status, is_settled, is_present = None, False, False
        if order.may_be_primary:
            status = yield from self._read(target, 400)
        if not _has_role(status, order) and order.may_order:
            (
                status,
                is_settled,
                is_present,
            ) = yield from self._order_promotion(order, target)
        elif not _has_role(status, order):
            status, is_settled = None, True
            while status is None and self.now_ns < order.deadline_ns:
                yield self.now_ns + POLL_MS * NS_PER_MS
                status = yield from self._read(target, self._left(order))
        done = is_present or _has_role(status, order)
        if leader is self.leader:
            result = PromotionResult(
                done=done,
                target_term=status.term if done and status else 0,
                is_settled=is_settled,
                has_open_calls=order.target in self._opened,
            )
            effects = leader.on_promoted(
                GROUP, order.term, result, self.now_ns
            )
            self._execute(effects)

    def _left(self, order: PromoteTarget) -> int:
        left_ms = (order.deadline_ns - self.now_ns) // NS_PER_MS
        return max(0, min(1_500, left_ms))

    def _order_promotion(
        self, order: PromoteTarget, target: Target
    ) -> Process:
        calls = Calls()
        self.spawn(self._send(order, calls))
        slow_ns = self.now_ns + 400 * NS_PER_MS
        status, is_present, accepted_ns = None, False, 0
        while self.now_ns < order.deadline_ns:
            yield self.now_ns + POLL_MS * NS_PER_MS
            if OrderAnswer.REFUSED in calls.answers:
                break
            is_slow = self.now_ns >= slow_ns
            if not is_slow and OrderAnswer.ACCEPTED not in calls.answers:
                continue
            if OrderAnswer.ACCEPTED in calls.answers and not accepted_ns:
                accepted_ns = self.now_ns
            asked_ns = self.now_ns
            status = yield from self._read(target, self._left(order))
            if _has_role(status, order):
                break
            is_present = (
                order.may_be_present
                and accepted_ns > 0
                and asked_ns >= accepted_ns + 1_500 * NS_PER_MS
                and status is not None
                and status.role == "primary"
                and status.term == order.above_term
            )
            if is_present:
                break
        calls.has_ended = True
        self.note(
            f"order {target.name} above={order.above_term} running="
            f"{calls.running} {[a.name for a in calls.answers]}"
            f" done={_has_role(status, order)} present={is_present}"
        )
        has_effect = is_present or _has_role(status, order)
        opened = self._opened.get(target.name)
        is_settled = (
            calls.are_settled(has_effect=_has_role(status, order))
            and not order.may_be_primary
            and (opened is None or opened.count <= calls.running)
        )
        return status if has_effect else None, is_settled, is_present

    def _send(self, order: PromoteTarget, calls: Calls) -> Process:
        leader, pause_ms = self.leader, POLL_MS
        while self.now_ns < order.deadline_ns and not calls.has_ended:
            if leader is not self.leader:
                return
            known = len(calls.answers)
            if self._may_call(order):
                self._start_call(order, calls)
            opened = self._opened.get(order.target)
            while opened and len(calls.answers) == known:
                if self.now_ns >= opened.next_ns or not opened.count:
                    break
                yield self.now_ns + 5 * NS_PER_MS
            if calls.has_verdict:
                return
            yield self.now_ns + pause_ms * NS_PER_MS
            pause_ms = min(2 * pause_ms, 1_000)

    def _may_call(self, order: PromoteTarget) -> bool:
        opened = self._opened.get(order.target)
        is_due = not opened or self.now_ns >= opened.next_ns
        return is_due and self.now_ns < order.deadline_ns

    def _start_call(self, order: PromoteTarget, calls: Calls) -> None:
        opened = self._opened.setdefault(
            order.target,
            OpenCalls(since_ns=self.now_ns, sent_ns=self.now_ns),
        )
        opened.sent_ns = self.now_ns
        opened.count += 1
        calls.running += 1
        self.spawn(self._call(order, calls, opened))

    def _end_call(
        self, order: PromoteTarget, opened: OpenCalls, leader: ControlNode
    ) -> None:
        opened.count -= 1
        if opened.count or leader is not self.leader:
            return
        del self._opened[order.target]
        self._execute(
            leader.on_order_answered(GROUP, order.target, self.now_ns)
        )

    # --- the platform ---

    def _call(
        self, order: PromoteTarget, calls: Calls, opened: OpenCalls
    ) -> Process:
        """Run one call of the platform until its answer or deadline."""
        leader, until_ns = self.leader, self.now_ns + ANSWER_MS * NS_PER_MS
        target = self.targets[order.target]
        mode, delay_ms = (
            self.modes.pop(0)
            if self.modes
            else (
                OrderMode.PROMPT,
                0,
            )
        )
        sent_ns = self.now_ns
        answer, answer_ns = OrderAnswer.ACCEPTED, sent_ns + 5 * NS_PER_MS
        if self.now_ns < self.platform_down_until_ns or mode is OrderMode.BUSY:
            answer = OrderAnswer.NOT_TAKEN
        elif mode is OrderMode.LOST:
            answer_ns = until_ns + 1
        elif mode is not OrderMode.LATE and not target.is_up:
            answer = OrderAnswer.REFUSED
        else:
            self.note(f"platform reads {target.name} {mode.name} {delay_ms}")
            if mode is OrderMode.LATE:
                answer_ns = sent_ns + delay_ms * NS_PER_MS
            if mode is OrderMode.UNANSWERED:
                answer_ns = until_ns + 1
            effect_ms = delay_ms + self.rng.randrange(100, 400)
            self.carry_out(target, effect_ms, sent_ns)
        yield min(answer_ns, until_ns)
        calls.running -= 1
        is_late = answer_ns > until_ns
        calls.answers.append(OrderAnswer.UNKNOWN if is_late else answer)
        self._end_call(order, opened, leader)

    def carry_out(
        self,
        target: Target,
        delay_ms: int,
        sent_ns: int,
        *,
        is_foreign: bool = False,
    ) -> None:
        """Promote a target after a delay, once it runs."""
        self.pending += 1

        def take_effect() -> None:
            if not target.is_up and self.carried is Carried.AT_RETURN:
                target.orders.append(take_effect)
                return
            self.pending -= 1
            if target.is_up and self.newest != target.name:
                self._take_effect(target, sent_ns, is_foreign=is_foreign)

        self.later(delay_ms, take_effect)

    def _take_effect(
        self, target: Target, sent_ns: int, *, is_foreign: bool
    ) -> None:
        term = max(t.term for t in self.targets.values()) + 1
        target.term, target.role, self.newest = term, "primary", target.name
        spent_ms = (self.now_ns - sent_ns) // NS_PER_MS
        promotion = Promotion(
            target=target.name,
            term=term,
            sent_ns=sent_ns,
            effect_ns=self.now_ns,
            is_exempt=is_foreign or spent_ms > MAX_DOUBT_MS,
        )
        self.promotions.append(promotion)
        self.note(f"{target.name} is promoted, term {term}, {spent_ms} ms")
        lost = self.acknowledged - {i for _, i in target.log}
        self.acknowledged -= lost
        if lost and self.sync_replicas:
            self._record(
                f"{target.name} lacks {len(lost)}",
                is_exempt=promotion.is_exempt,
            )
        self._announce(target)

    def _record(self, fault: str, *, is_exempt: bool) -> None:
        self.note(f"{'exempt' if is_exempt else 'FAULT'}: {fault}")
        if is_exempt:
            self.exempt += 1
        else:
            self.faults.append(fault)

    def _demote(self, order: DemoteTarget) -> Process:
        target = self.targets[order.target]
        report = yield from self._read(target, 400)
        if report and target.role == "primary" and target.term < order.term:
            self._make_replica(target, order.term)

    # --- targets ---

    def _replicate(self) -> None:
        primary = self.targets[self.newest]
        for target in self.targets.values():
            meets = (
                target is not primary
                and primary.is_seen
                and target.is_seen
                and not (target.is_apart or primary.is_apart)
                and primary.role == "primary"
            )
            if not meets:
                target.meets_ns = -1
            elif target.role == "primary":
                if target.meets_ns < 0:
                    target.meets_ns = self.now_ns
                if self.now_ns >= target.meets_ns + 1_000 * NS_PER_MS:
                    self._make_replica(target, primary.term)
            elif not target.is_lagging and self.rng.random() < RECEIVE_SHARE:
                target.term, target.log = primary.term, primary.log

    def _make_replica(self, target: Target, term: int) -> None:
        self.note(f"{target.name} becomes a replica, term {term}")
        target.role, target.term = "replica", term
        self._announce(target)

    def demote(self, name: str) -> None:
        """Make a primary a replica that nobody replaces."""
        target = self.targets[name]
        self._make_replica(target, target.term)

    def crash(self, name: str, spent_ms: int) -> None:
        """Crash a target, which comes back with its log."""
        target = self.targets[name]
        if not target.is_up:
            return
        self.note(f"{name} crashes for {spent_ms} ms")
        target.is_up = False
        self.later(spent_ms, lambda: self._bring_back(target))

    def _bring_back(self, target: Target) -> None:
        if target.is_up or target.has_left:
            return
        self.note(f"{target.name} is back")
        target.is_up = True
        target.started_ms += 1
        if self.newest != target.name:
            target.role = "replica"
        orders, target.orders = target.orders, []
        for order in orders:
            order()
        self._announce(target)

    def wipe(self, name: str, spent_ms: int) -> None:
        """Crash a replica, which starts again with nothing."""
        target = self.targets[name]
        if not target.is_up or target.role == "primary":
            return
        self.crash(name, spent_ms)
        self.note(f"{name} loses its log")
        target.log, target.term = (), 1

    def leave(
        self,
        name: str,
        spent_ms: int,
        successor_ms: int,
        goes_on_ms: int = 0,
    ) -> None:
        """Stop a target as planned; a new one then gets its log.

        :param spent_ms: time for which it serves after its announcement
        :param successor_ms: time from its end to the new one's start
        :param goes_on_ms: time for which it goes on after it has said
            that it is gone, as it got no answer
        """
        target = self.targets[name]
        if not target.is_up or target.is_leaving:
            return
        self.note(f"{name} leaves in {spent_ms} ms")
        target.is_leaving = True
        self._announce(target)
        self.later(
            spent_ms,
            lambda: self._say_gone(target, successor_ms, goes_on_ms),
        )

    def _say_gone(
        self, target: Target, successor_ms: int, goes_on_ms: int
    ) -> None:
        if not target.is_up:
            # It has crashed meanwhile, and starts anew.
            target.is_leaving = False
            return
        self.note(f"{target.name} says that it is gone")
        target.has_left = True
        self._announce(target)
        if goes_on_ms:
            self.later(goes_on_ms, lambda: self._end(target, successor_ms))
        else:
            self._end(target, successor_ms)

    def _end(self, target: Target, successor_ms: int) -> None:
        self.note(f"{target.name} ends")
        target.is_up = False
        self.later(successor_ms, lambda: self._start_successor(target))

    def _start_successor(self, target: Target) -> None:
        successor = Target(
            name=f"{target.name}n",
            address=target.address,
            term=target.term,
            log=target.log,
            started_ms=target.started_ms + 1,
        )
        self.note(f"{successor.name} starts with the log of {target.name}")
        self.targets[successor.name] = successor
        self.spawn(self._announce_often(successor))

    def disturb(self, name: str, spent_ms: int, **fault: Any) -> None:
        """Set fields of a target for some time."""
        target = self.targets[name]
        self.note(f"{name} {fault} for {spent_ms} ms")
        for field, value in fault.items():
            setattr(target, field, value)
        calm = {f: a.default for f, a in attrs.fields_dict(Target).items()}

        def end() -> None:
            self.note(f"{name} {fault} ends")
            for field in fault:
                setattr(target, field, calm[field])

        self.later(spent_ms, end)

    def heal(self) -> None:
        """End all faults but the orders that are under way."""
        self.note("faults end")
        self.modes.clear()
        self.platform_down_until_ns = 0
        self.cut_off.clear()
        for target in list(self.targets.values()):
            target.is_dark = target.is_apart = target.is_lagging = False
            target.answer_ms = 2
            self._bring_back(target)

    def _announce_often(self, target: Target) -> Process:
        while not target.has_left:
            self._announce(target)
            yield self.now_ns + ANNOUNCE_MS * NS_PER_MS

    def _announce(self, target: Target) -> None:
        if not (target.is_seen or target.has_left):
            return
        announcement = Announcement(
            target=target.name,
            group=GROUP,
            data_center="dc-1",
            address=target.address,
            role=target.role,
            term=0,
            position=0,
            leaving=target.is_leaving,
            identity="",
            slots=2,
            incarnation_ms=target.started_ms,
            gone=target.has_left,
        )
        delay_ms = self.rng.choice(ANNOUNCEMENT_DELAYS_MS)
        self.later(delay_ms, lambda: self._to_leader("x", announcement))

    # --- callers ---

    def _write_often(self, entry: EntryNode) -> Process:
        while True:
            self.spawn(self._write(entry))
            yield self.now_ns + self.write_pause_ms * NS_PER_MS

    def _write(self, entry: EntryNode) -> Process:
        ticket = entry.begin_write(
            GROUP, self.now_ns, known_point=self._points.get(entry.host)
        )
        if not isinstance(ticket, WriteTicket):
            return
        target = self.targets[ticket.primary]
        yield self.now_ns + 2 * NS_PER_MS
        if target.is_up and target.is_dark:
            yield self.now_ns + CONNECT_TIMEOUT_MS * NS_PER_MS
        if not target.is_seen:
            entry.end_write(ticket, self.now_ns)
            effects = entry.suspect(
                GROUP,
                target.name,
                refused=not target.is_up,
                now_ns=self.now_ns,
            )
            self._execute(effects, entry.host)
            return
        if target.role != "primary":
            entry.end_write(ticket, self.now_ns)
            self._observe(entry, target, read_only=True)
            return
        term, number = target.term, next(self._ids)
        index, commit_ns = len(target.log), self.now_ns
        target.log = (*target.log, (term, number))
        until_ns = commit_ns + COMMIT_TIMEOUT_MS * NS_PER_MS
        while not self._is_replicated(target, index, (term, number)):
            if self.now_ns >= until_ns or not target.is_seen:
                entry.end_write(ticket, self.now_ns)
                return
            yield self.now_ns + 10 * NS_PER_MS
        yield self.now_ns + 2 * NS_PER_MS
        if not target.is_seen:
            entry.end_write(ticket, self.now_ns)
            return
        self._observe(entry, target)
        point = LogPoint(term=target.log[-1][0], position=len(target.log))
        self._points[entry.host] = point
        holds = entry.end_write(
            ticket, self.now_ns, has_committed=True, point=point
        )
        if term < ticket.target_term:
            effects = entry.report_earlier_term(
                GROUP, target.name, term, self.now_ns
            )
            self._execute(effects, entry.host)
        elif holds:
            self._acknowledge(target, (term, number), commit_ns)

    def _observe(
        self, entry: EntryNode, target: Target, *, read_only: bool = False
    ) -> None:
        effects = entry.observe_term(
            GROUP,
            target.name,
            target.log[-1][0] if target.log else 1,
            self.now_ns,
            read_only=read_only,
        )
        self._execute(effects, entry.host)

    def _is_replicated(
        self, target: Target, index: int, entry: tuple[int, int]
    ) -> bool:
        others = (t for t in self.targets.values() if t is not target)
        holders = sum(t.log[index : index + 1] == (entry,) for t in others)
        return holders >= self.sync_replicas

    def _acknowledge(
        self, target: Target, entry: tuple[int, int], commit_ns: int
    ) -> None:
        self.last_ack_ns = self.now_ns
        counted_ns = commit_ns - OVERLAP_MS * NS_PER_MS
        later = [p for p in self.promotions if p.term > entry[0]]
        counted = [p for p in later if p.effect_ns <= counted_ns]
        if counted:
            fault = f"commit at {target.name} in {entry[0]}, {counted[-1]}"
            self._record(fault, is_exempt=all(p.is_exempt for p in counted))
        elif not later or entry in self.targets[self.newest].log:
            self.acknowledged.add(entry[1])
        elif self.sync_replicas:
            fault = f"commit at {target.name} is lost with {later[0]}"
            self._record(fault, is_exempt=any(p.is_exempt for p in later))

    # --- properties ---

    def check_end(self) -> list[str]:
        """End the faults, and check that the group recovers.

        :return: all properties that did not hold
        """
        self.heal()
        self.run_until(lambda: not self.pending, 12_000)
        self.run(MAX_RECOVERY_MS)
        silent_ms = (self.now_ns - self.last_ack_ns) // NS_PER_MS
        if silent_ms > STEADY_MS:
            self._record(f"no write for {silent_ms} ms", is_exempt=False)
        recorded = self.leader.state.terms[GROUP].primary
        if recorded != self.newest:
            fault = f"{recorded} recorded, {self.newest} leads"
            self._record(fault, is_exempt=False)
        return self.faults


def _has_role(report: TargetReport | None, order: PromoteTarget) -> bool:
    if report is None or report.role != "primary":
        return False
    return report.term > order.above_term
