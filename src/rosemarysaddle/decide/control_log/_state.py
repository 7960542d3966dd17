"""Replicated state of the control hosts.

It results from the committed log entries: the operators' documents, the
terms of the groups, the announced targets and the hosts.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final, TypeVar

import attrs

from rosemarysaddle.decide.configuration._inventory import InventoryTable
from rosemarysaddle.decide.configuration._route_plan import (
    PlanMismatchError,
    RouteTable,
)
from rosemarysaddle.decide.control_log._voters import MEMBERS
from rosemarysaddle.decide.primaries._former_members import (
    FormerMember,
    FormerMemberTable,
)
from rosemarysaddle.decide.primaries._registry import (
    TargetRecord,
    TargetTable,
    is_well_formed,
)
from rosemarysaddle.decide.primaries._terms import (
    MAX_KEPT_STARTS,
    GroupTerm,
    PromotionInDoubt,
    TermStart,
)
from rosemarysaddle.schema import (
    ChangeProposal,
    ChangeReply,
    Group,
    Instance,
    Inventory,
    InventoryPatch,
    LogEntry,
    Rules,
    SchemaFault,
    build_document,
    load_document,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemarysaddle.decide.control_log._log import StoredLog
    from rosemarysaddle.schema import RequestClass, Tenant

__all__ = (
    "AuditRecord",
    "ClusterState",
    "DocumentKind",
    "EntryKind",
    "check_change",
)

MAX_KEPT_CHANGES: Final = 4_096
MAX_KEPT_FAULTS: Final = 16
# cattrs is four times as fast, but takes longer to import than such a
# state to convert, at a time when a new leader has leases to grant.
MAX_ROWS_WITHOUT_CATTRS: Final = 2_000

T = TypeVar("T")


class EntryKind:
    """Kinds of entries in the control log.

    ``CHANGE`` changes a document.  ``CLOSE``, ``OPEN`` and ``SERVING``
    are the steps of a change of primary; ``SETTLED`` ends the doubt
    about an order to promote, and ``SEEN`` is the newest term that a
    target was seen to know of.  ``ADMIT`` makes an instance
    with a new identity eligible for promotion.  ``TARGET`` and ``GONE``
    add and remove an announced target.  ``HELD`` names former members
    of a group whose acknowledged writes others hold.  ``MEMBERS`` sets
    the voters,
    ``HOSTS`` the count of entry hosts, and ``HOLDERS`` the hosts that
    may hold a lease.
    """

    NOOP: Final = "noop"
    CHANGE: Final = "change"
    CLOSE: Final = "close"
    OPEN: Final = "open"
    SERVING: Final = "serving"
    SETTLED: Final = "settled"
    SEEN: Final = "seen"
    ADMIT: Final = "admit"
    MEMBERS: Final = MEMBERS
    TARGET: Final = "target"
    GONE: Final = "gone"
    HELD: Final = "held"
    HOSTS: Final = "hosts"
    HOLDERS: Final = "holders"


class DocumentKind:
    """Kinds of documents that operators submit.

    An inventory patch changes parts of the inventory and creates a new
    version of it.  Routes carry their own version; the highest version
    is in force.
    """

    INVENTORY: Final = "inventory"
    INVENTORY_PATCH: Final = "inventory-patch"
    RULES: Final = "rules"
    ROUTES: Final = "routes"
    ROUTES_PATCH: Final = "routes-patch"


@attrs.frozen(kw_only=True)
class AuditRecord:
    """One accepted change of a document, for the history."""

    index: int
    change_id: str
    kind: str
    version: int
    author: str


@attrs.define(kw_only=True)
class ClusterState:
    """State built from committed entries, identical on every host.

    :param index: index of the last applied entry
    :param replies: reply to each recent change, by its identifier
    :param entry_hosts: recorded count of entry hosts
    :param lease_holders: entry hosts that may hold a lease
    :param holders_left_index: log index of the newest entry that
        removed one of them
    :param faults: entries that were skipped, and why; for the log of
        this host
    :param skipped_index: index of the last one
    :param missed_plan_version: newest route plan whose patch did not
        fit the one in force here
    """

    index: int = 0
    inventory_version: int = 0
    rules_version: int = 0
    inventory: InventoryTable = attrs.field(factory=InventoryTable)
    rules: Rules = attrs.field(factory=lambda: Rules(classes=()))
    terms: dict[str, GroupTerm] = attrs.field(factory=dict)
    replies: dict[str, ChangeReply] = attrs.field(factory=dict)
    history: list[AuditRecord] = attrs.field(factory=list)
    voters: tuple[str, ...] = ()
    entry_hosts: int = 0
    lease_holders: set[str] = attrs.field(factory=set)
    holders_left_index: int = 0
    routes: RouteTable = attrs.field(factory=RouteTable)
    targets: TargetTable = attrs.field(factory=TargetTable)
    former_members: FormerMemberTable = attrs.field(factory=FormerMemberTable)
    faults: list[str] = attrs.field(factory=list, eq=False)
    skipped_index: int = attrs.field(default=0, eq=False)
    missed_plan_version: int = attrs.field(default=-1, eq=False)
    _classes: dict[str, RequestClass] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the lookup table of request classes."""
        self._set_rules(self.rules)

    def apply(self, entry: LogEntry) -> ChangeReply | None:
        """Apply one committed entry.

        Entries arrive in order.  One that was applied already is
        ignored, and one that cannot be applied is skipped.  What is in
        it was checked before, so every host does the same; one that did
        not finds out by the next patch of the route plan.

        :return: reply to a change of a document, else None
        """
        if entry.index <= self.index:
            return None
        self.index = entry.index
        if entry.kind == EntryKind.NOOP:
            return None
        try:
            return self._apply(entry)
        except Exception as error:  # noqa: BLE001  # of any kind of entry
            self._record_fault(entry, repr(error))
        return None

    def _record_fault(self, entry: LogEntry, reason: str) -> None:
        self.skipped_index = entry.index
        text = f"index={entry.index} kind={entry.kind} reason={reason!r}"
        self.faults = [*self.faults, text][-MAX_KEPT_FAULTS:]

    def _apply(self, entry: LogEntry) -> ChangeReply | None:
        payload = json.loads(entry.payload)
        if entry.kind == EntryKind.CHANGE:
            return self._change(ChangeProposal(**payload))
        self._apply_target(entry, payload)
        self._apply_group(entry.kind, payload)
        self._apply_hosts(entry.kind, payload)
        return None

    def _apply_target(self, entry: LogEntry, payload: dict[str, Any]) -> None:
        if entry.kind == EntryKind.TARGET:
            record = TargetRecord(**payload)
            if is_well_formed(record):
                self._keep_former(self.targets.put(record))
                # An incarnation held for ended may go on all the same.
                key = (record.target, record.incarnation_ms)
                self.former_members.remove(record.group, {key})
            else:
                self._record_fault(entry, "malformed record")
        if entry.kind == EntryKind.GONE:
            gone = self.targets.drop(
                payload["target"], payload["incarnation_ms"]
            )
            # It has told its end itself, so that was planned.
            self._keep_former(attrs.evolve(r, leaving=True) for r in gone)

    def _keep_former(self, records: Iterable[TargetRecord]) -> None:
        """Keep members that may have acknowledged writes of a group."""
        for record in records:
            policy = self.routes.groups.get(record.group)
            term = self.terms.get(record.group)
            if policy is None or term is None or not policy.sync_replicas:
                continue
            led = term.served_by == record.target
            member = FormerMember(
                target=record.target,
                incarnation_ms=record.incarnation_ms,
                address=record.address,
                was_leaving=record.leaving,
                led_term=term.target_term if led else 0,
            )
            self.former_members.add(record.group, member)

    def _apply_group(self, kind: str, payload: dict[str, Any]) -> None:
        if kind == EntryKind.CLOSE:
            self._close(payload["group"], payload["term"])
        if kind == EntryKind.OPEN:
            self._open(payload)
        if kind == EntryKind.SERVING:
            self._serve(payload)
        if kind == EntryKind.SETTLED:
            self._settle(payload)
        if kind == EntryKind.SEEN:
            self._see(payload["group"], payload["target_term"])
        if kind == EntryKind.ADMIT:
            self._admit(payload)
        if kind == EntryKind.HELD:
            self._confirm_held(payload)

    def _apply_hosts(self, kind: str, payload: dict[str, Any]) -> None:
        if kind == EntryKind.MEMBERS:
            self.voters = tuple(payload["voters"])
        if kind == EntryKind.HOSTS:
            self.entry_hosts = int(payload["count"])
        if kind == EntryKind.HOLDERS:
            if payload["out"]:
                self.holders_left_index = self.index
            self.lease_holders.difference_update(payload["out"])
            self.lease_holders.update(payload["in"])

    def group(self, name: str) -> Group | None:
        """Look up a group by name."""
        found = self.inventory.groups.get(name)
        if found is not None or name not in self.routes.groups:
            return found
        records = self.targets.of_group(name)
        instances = tuple(_as_instance(r) for r in records)
        return Group(name=name, instances=instances)

    def leaving_primaries(self) -> list[TargetRecord]:
        """List the primaries of open groups that are about to stop."""
        return [r for r in self.targets.leaving if self._is_open_primary(r)]

    def _is_open_primary(self, record: TargetRecord) -> bool:
        term = self.terms.get(record.group)
        return (
            term is not None and term.is_open and term.primary == record.target
        )

    def tenant(self, name: str) -> Tenant | None:
        """Look up a tenant by name."""
        return self.inventory.tenants.get(name)

    def instance(self, name: str) -> Instance | None:
        """Look up an instance by name."""
        record = self.targets.records.get(name)
        if record is not None:
            return _as_instance(record)
        return self.inventory.instance(name)

    def request_class(self, name: str) -> RequestClass | None:
        """Look up a request class by name."""
        return self._classes.get(name)

    @property
    def lacks_plan(self) -> bool:
        """Whether other hosts hold a newer route plan than this one."""
        return self.missed_plan_version > self.routes.version

    def version_of(self, kind: str) -> int:
        """Return the version of a document that is in force."""
        if kind == DocumentKind.RULES:
            return self.rules_version
        if kind == DocumentKind.ROUTES:
            return self.routes.version
        return self.inventory_version

    def dump(self) -> str:
        """Serialize the state as JSON for a snapshot."""
        to_json: Callable[[Any], Any] = _as_json
        rows = len(self.inventory.groups) + len(self.terms)
        if rows + len(self.replies) > MAX_ROWS_WITHOUT_CATTRS:
            import cattrs  # noqa: PLC0415

            to_json = cattrs.unstructure
        body = {
            "index": self.index,
            "versions": [self.inventory_version, self.rules_version],
            "inventory": to_json(self.inventory.document()),
            "rules": to_json(self.rules),
            "terms": to_json(self.terms),
            "replies": to_json(self.replies),
            "history": to_json(self.history),
            "voters": self.voters,
            "entry_hosts": self.entry_hosts,
            "lease_holders": sorted(self.lease_holders),
            "holders_left_index": self.holders_left_index,
            "routes": self.routes.source,
            "targets": self.targets.dump(),
            "former_members": self.former_members.dump(),
        }
        return json.dumps(body, separators=(",", ":"))

    @classmethod
    def from_stored(cls, stored: StoredLog) -> ClusterState:
        """Build the state from the stored snapshot, if there is one."""
        if stored.snapshot_state:
            return cls.load(stored.snapshot_state)
        return cls()

    @classmethod
    def load(cls, text: str) -> ClusterState:
        """Rebuild a state from the JSON text of a snapshot."""
        body = json.loads(text)
        inventory = build_document(Inventory, body["inventory"])
        return cls(
            index=body["index"],
            inventory_version=body["versions"][0],
            rules_version=body["versions"][1],
            inventory=InventoryTable.of(inventory),
            rules=build_document(Rules, body["rules"]),
            terms={
                name: _load_term(row) for name, row in body["terms"].items()
            },
            replies={
                change_id: _build(ChangeReply, row)
                for change_id, row in body["replies"].items()
            },
            history=[_build(AuditRecord, row) for row in body["history"]],
            voters=tuple(body["voters"]),
            entry_hosts=int(body["entry_hosts"]),
            lease_holders=set(body["lease_holders"]),
            # A snapshot of an earlier build does not tell who has left.
            holders_left_index=body.get("holders_left_index", body["index"]),
            routes=_load_routes(body["routes"]),
            targets=TargetTable.load(body["targets"]),
            # An earlier build leaves them out.
            former_members=FormerMemberTable.load(
                body.get("former_members", {})
            ),
        )

    def _change(self, change: ChangeProposal) -> ChangeReply:
        if change.kind in {DocumentKind.ROUTES, DocumentKind.ROUTES_PATCH}:
            return self._change_routes(change)
        known = self.replies.get(change.change_id)
        if known is not None:
            return known
        reply = self._decide(change)
        self.replies[change.change_id] = reply
        if len(self.replies) > MAX_KEPT_CHANGES:
            del self.replies[next(iter(self.replies))]
        return reply

    def _change_routes(self, change: ChangeProposal) -> ChangeReply:
        # The plan was checked before it was proposed.  A plan that is
        # sent again or is older changes nothing.
        if change.base_version > self.routes.version:
            before = self.routes
            try:
                self.routes = (
                    before.patched(change.payload)
                    if change.kind == DocumentKind.ROUTES_PATCH
                    else RouteTable.of(change.payload)
                )
            except PlanMismatchError:
                self.missed_plan_version = change.base_version
                raise
            self.targets.changed_groups.update(self.routes.groups)
            self._follow_sync_replicas(before)
        return ChangeReply(
            change_id=change.change_id,
            accepted=True,
            version=self.routes.version,
            reason="",
            path="",
        )

    def _follow_sync_replicas(self, before: RouteTable) -> None:
        """Note changed numbers of synchronous replicas."""
        for name in before.groups.keys() | self.routes.groups.keys():
            old, new = before.groups.get(name), self.routes.groups.get(name)
            if new is None:
                self.former_members.forget(name)
            elif old is not None and old.sync_replicas != new.sync_replicas:
                self.former_members.change_sync_replicas(
                    name,
                    before=old.sync_replicas,
                    after=new.sync_replicas,
                    plan_version=self.routes.version,
                )

    def _decide(self, change: ChangeProposal) -> ChangeReply:
        current = self.version_of(change.kind)
        if change.base_version != current:
            winner = self._last_change(change.kind)
            reason = f"version {current} is in force, set by {winner}"
            return _refuse(change, current, reason, path="base_version")
        document = check_change(change, self)
        if isinstance(document, SchemaFault):
            return _refuse(
                change, current, document.reason, path=document.path
            )
        self._store(change, document, current + 1)
        return ChangeReply(
            change_id=change.change_id,
            accepted=True,
            version=current + 1,
            reason="",
            path="",
        )

    def _store(
        self,
        change: ChangeProposal,
        document: InventoryPatch | Rules,
        version: int,
    ) -> None:
        if isinstance(document, Rules):
            self._set_rules(document)
            self.rules_version = version
        else:
            self.inventory.patch(document)
            self.inventory_version = version
            for group in document.remove_groups:
                self.terms.pop(group, None)
        record = AuditRecord(
            index=self.index,
            change_id=change.change_id,
            kind=change.kind,
            version=version,
            author=change.author,
        )
        self.history.append(record)
        del self.history[:-MAX_KEPT_CHANGES]

    def _last_change(self, kind: str) -> str:
        is_rules = kind == DocumentKind.RULES
        for record in reversed(self.history):
            if (record.kind == DocumentKind.RULES) is is_rules:
                return f"{record.author} with {record.change_id}"
        return "nobody"

    def _close(self, group: str, term: int) -> None:
        current = self.terms.get(group)
        if current is not None and current.term == term:
            self.terms[group] = attrs.evolve(current, is_open=False)

    def _serve(self, payload: dict[str, Any]) -> None:
        group, term = payload["group"], payload["term"]
        current = self.terms.get(group)
        if current is None or current.term != term:
            return
        # An earlier build leaves out the target's own term, which may
        # be later than the recorded one.
        served = payload.get("target_term", 0)
        self.terms[group] = attrs.evolve(
            current,
            is_serving=True,
            target_term=max(current.target_term, served) if served else 0,
            served_by=current.primary if served else "",
            served_in=current.term if served else 0,
            served_index=(
                current.served_index
                if current.served_in == current.term
                else self.index
            ),
            known_term=max(current.known_term, served),
        )

    def _see(self, group: str, target_term: int) -> None:
        current = self.terms.get(group)
        if current is not None and target_term > current.known_term:
            self.terms[group] = attrs.evolve(current, known_term=target_term)

    def _confirm_held(self, payload: dict[str, Any]) -> None:
        group = payload["group"]
        keys = {(target, born_ms) for target, born_ms in payload["members"]}
        self.former_members.remove(group, keys)
        self.former_members.confirm_sync_replicas(
            group, payload["plan_version"]
        )

    def _settle(self, payload: dict[str, Any]) -> None:
        group = payload["group"]
        current = self.terms.get(group)
        if current is not None:
            self.terms[group] = current.without_order(payload["term"])

    def _open(self, payload: dict[str, Any]) -> None:
        group = str(payload["group"])
        term = int(payload["term"])
        current = self.terms.get(group)
        primary = str(payload["primary"])
        starts: tuple[TermStart, ...] = ()
        target_term, known_term = 0, 0
        served_by, served_in, served_index = "", 0, 0
        in_doubt: tuple[PromotionInDoubt, ...] = ()
        if current is not None:
            if term <= current.term:
                return
            starts, target_term = current.starts, current.target_term
            known_term, served_by = current.known_term, current.served_by
            served_in = current.served_in
            served_index = current.served_index
            in_doubt = current.in_doubt
        if "above_term" in payload:
            order = PromotionInDoubt(
                target=primary, term=term, above_term=payload["above_term"]
            )
            in_doubt = (*in_doubt, order)
        start = TermStart(
            term=term,
            position=int(payload["start"]),
            log_term=int(payload.get("start_term", 0)),
        )
        self.terms[group] = GroupTerm(
            term=term,
            primary=primary,
            is_open=True,
            target_term=target_term,
            served_by=served_by,
            served_in=served_in,
            served_index=served_index,
            known_term=known_term,
            in_doubt=in_doubt,
            starts=(*starts, start)[-MAX_KEPT_STARTS:],
            identities=payload.get("identities", {}),
        )

    def _admit(self, payload: dict[str, Any]) -> None:
        current = self.terms.get(payload["group"])
        if current is None or current.term != payload["term"]:
            return
        identities = dict(current.identities)
        identities[payload["target"]] = payload["identity"]
        admitted = attrs.evolve(current, identities=identities)
        self.terms[payload["group"]] = admitted

    def _set_rules(self, rules: Rules) -> None:
        self.rules = rules
        self._classes = {c.name: c for c in rules.classes}


def _as_instance(record: TargetRecord) -> Instance:
    return Instance(
        name=record.target,
        data_center=record.data_center,
        address=record.address,
    )


def _load_routes(source: str) -> RouteTable:
    return RouteTable.of(source) if source else RouteTable()


def check_change(
    change: ChangeProposal, state: ClusterState
) -> InventoryPatch | Rules | SchemaFault:
    """Check a change against the state in force.

    :return: the rules or the inventory patch to apply, or the fault
        with path and reason of the refusal
    """
    source = change.change_id
    if change.kind == DocumentKind.RULES:
        return load_document(Rules, change.payload, source=source)
    patch = _read_patch(change, state)
    if isinstance(patch, SchemaFault):
        return patch
    fault = state.inventory.check(patch, state.terms, source=source)
    return patch if fault is None else fault


def _read_patch(
    change: ChangeProposal, state: ClusterState
) -> InventoryPatch | SchemaFault:
    source = change.change_id
    if change.kind == DocumentKind.INVENTORY_PATCH:
        return load_document(InventoryPatch, change.payload, source=source)
    if change.kind != DocumentKind.INVENTORY:
        return SchemaFault(source=source, path="kind", reason="unknown kind")
    document = load_document(Inventory, change.payload, source=source)
    if isinstance(document, SchemaFault):
        return document
    return state.inventory.difference(document)


def _refuse(
    change: ChangeProposal, version: int, reason: str, *, path: str
) -> ChangeReply:
    return ChangeReply(
        change_id=change.change_id,
        accepted=False,
        version=version,
        reason=reason,
        path=path,
    )


def _as_json(value: Any) -> Any:
    """Convert an object and the objects in it to JSON."""
    if isinstance(value, str | int):
        return value
    if isinstance(value, dict):
        return {key: _as_json(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [_as_json(item) for item in value]
    return {n: _as_json(getattr(value, n)) for n in value.__annotations__}


def _load_term(row: dict[str, Any]) -> GroupTerm:
    starts = [_build(TermStart, start) for start in row.get("starts", ())]
    in_doubt = [
        _build(PromotionInDoubt, order) for order in row.get("in_doubt", ())
    ]
    return _build(
        GroupTerm,
        {**row, "starts": tuple(starts), "in_doubt": tuple(in_doubt)},
    )


def _build(row_class: type[T], row: dict[str, Any]) -> T:
    """Build a row of a snapshot; ignore fields of later versions."""
    names = row_class.__annotations__
    return row_class(**{k: v for k, v in row.items() if k in names})
