"""State that the control log builds: documents and group terms."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import attrs
import cattrs

from rosemarysaddle.schema import (
    ChangeProposal,
    ChangeReply,
    Inventory,
    LogEntry,
    Rules,
    SchemaFault,
    load_document,
)

if TYPE_CHECKING:
    from rosemarysaddle.schema import Group, Instance, RequestClass, Tenant

__all__ = (
    "AuditRecord",
    "ClusterState",
    "DocumentKind",
    "EntryKind",
    "GroupTerm",
    "TermStart",
    "check_change",
)

MAX_KEPT_CHANGES: Final = 4_096
MAX_KEPT_STARTS: Final = 64


class EntryKind:
    """Kinds of entries in the control log."""

    NOOP: Final = "noop"
    CHANGE: Final = "change"
    CLOSE: Final = "close"
    OPEN: Final = "open"


class DocumentKind:
    """Kinds of documents that operators change."""

    INVENTORY: Final = "inventory"
    RULES: Final = "rules"


@attrs.frozen(kw_only=True)
class TermStart:
    """Position at which a term of a group began."""

    term: int
    position: int


@attrs.frozen(kw_only=True)
class GroupTerm:
    """Current term of a group.

    :param is_open: whether writes may run under the term
    :param starts: where recent terms began, oldest first
    """

    term: int
    primary: str
    is_open: bool
    starts: tuple[TermStart, ...] = ()

    def start_of(self, term: int) -> int | None:
        """Find where a term began.

        :return: position, or None where it is not on record
        """
        for start in self.starts:
            if start.term == term:
                return start.position
        return None


@attrs.frozen(kw_only=True)
class AuditRecord:
    """One accepted change of a document."""

    index: int
    change_id: str
    kind: str
    version: int
    author: str


@attrs.define(kw_only=True)
class ClusterState:
    """Result of the committed entries, the same on every host."""

    index: int = 0
    inventory_version: int = 0
    rules_version: int = 0
    inventory: Inventory = attrs.field(
        factory=lambda: Inventory(groups=(), tenants=())
    )
    rules: Rules = attrs.field(factory=lambda: Rules(classes=()))
    terms: dict[str, GroupTerm] = attrs.field(factory=dict)
    replies: dict[str, ChangeReply] = attrs.field(factory=dict)
    history: list[AuditRecord] = attrs.field(factory=list)
    _groups: dict[str, Group] = attrs.field(factory=dict, init=False)
    _tenants: dict[str, Tenant] = attrs.field(factory=dict, init=False)
    _classes: dict[str, RequestClass] = attrs.field(factory=dict, init=False)
    _instances: dict[str, Instance] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the look-up tables."""
        self._reindex()

    def apply(self, entry: LogEntry) -> ChangeReply | None:
        """Apply one committed entry; entries come in order.

        :return: the reply to a change of a document, else None
        """
        if entry.index <= self.index:
            return None
        self.index = entry.index
        if entry.kind == EntryKind.NOOP:
            return None
        payload = json.loads(entry.payload)
        if entry.kind == EntryKind.CHANGE:
            return self._change(ChangeProposal(**payload))
        if entry.kind == EntryKind.CLOSE:
            self._close(payload["group"], payload["term"])
        if entry.kind == EntryKind.OPEN:
            self._open(payload)
        return None

    def group(self, name: str) -> Group | None:
        """Look a group up by name."""
        return self._groups.get(name)

    def tenant(self, name: str) -> Tenant | None:
        """Look a tenant up by name."""
        return self._tenants.get(name)

    def instance(self, name: str) -> Instance | None:
        """Look an instance up by name."""
        return self._instances.get(name)

    def request_class(self, name: str) -> RequestClass | None:
        """Look a class of requests up by name."""
        return self._classes.get(name)

    def version_of(self, kind: str) -> int:
        """Version of a document in force."""
        if kind == DocumentKind.INVENTORY:
            return self.inventory_version
        return self.rules_version

    def dump(self) -> str:
        """Render the state as JSON text for a snapshot."""
        return json.dumps(_CONVERTER.unstructure(self))

    @classmethod
    def load(cls, text: str) -> ClusterState:
        """Rebuild a state from the text of a snapshot."""
        return _CONVERTER.structure(json.loads(text), cls)

    def _change(self, change: ChangeProposal) -> ChangeReply:
        known = self.replies.get(change.change_id)
        if known is not None:
            return known
        reply = self._decide(change)
        self.replies[change.change_id] = reply
        if len(self.replies) > MAX_KEPT_CHANGES:
            del self.replies[next(iter(self.replies))]
        return reply

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
        document: Inventory | Rules,
        version: int,
    ) -> None:
        if isinstance(document, Inventory):
            self.inventory = document
            self.inventory_version = version
        else:
            self.rules = document
            self.rules_version = version
        self._reindex()
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
        for record in reversed(self.history):
            if record.kind == kind:
                return f"{record.author} with {record.change_id}"
        return "nobody"

    def _close(self, group: str, term: int) -> None:
        current = self.terms.get(group)
        if current is not None and current.term == term:
            self.terms[group] = attrs.evolve(current, is_open=False)

    def _open(self, payload: dict[str, Any]) -> None:
        group = str(payload["group"])
        term = int(payload["term"])
        current = self.terms.get(group)
        starts: tuple[TermStart, ...] = ()
        if current is not None:
            if term <= current.term:
                return
            starts = current.starts
        start = TermStart(term=term, position=int(payload["start"]))
        self.terms[group] = GroupTerm(
            term=term,
            primary=str(payload["primary"]),
            is_open=True,
            starts=(*starts, start)[-MAX_KEPT_STARTS:],
        )

    def _reindex(self) -> None:
        self._groups = {g.name: g for g in self.inventory.groups}
        self._tenants = {t.name: t for t in self.inventory.tenants}
        self._classes = {c.name: c for c in self.rules.classes}
        self._instances = {
            instance.name: instance
            for group in self.inventory.groups
            for instance in group.instances
        }


def check_change(
    change: ChangeProposal, state: ClusterState
) -> Inventory | Rules | SchemaFault:
    """Check the document of a change against the state in force.

    :return: the document, or path and reason of the refusal
    """
    source = change.change_id
    if change.kind == DocumentKind.RULES:
        return load_document(Rules, change.payload, source=source)
    if change.kind != DocumentKind.INVENTORY:
        return SchemaFault(source=source, path="kind", reason="unknown kind")
    document = load_document(Inventory, change.payload, source=source)
    if isinstance(document, SchemaFault):
        return document
    fault = _cross_check(document, state, source)
    return document if fault is None else fault


def _cross_check(
    inventory: Inventory, state: ClusterState, source: str
) -> SchemaFault | None:
    names = [g.name for g in inventory.groups]
    instances = [i for g in inventory.groups for i in g.instances]
    checks = (
        ("$.groups", names, "group named twice"),
        ("$.groups", [i.name for i in instances], "instance named twice"),
        ("$.groups", [i.address for i in instances], "address used twice"),
        ("$.tenants", [t.name for t in inventory.tenants], "named twice"),
    )
    for path, values, reason in checks:
        twice = _first_twice(values)
        if twice:
            text = f"{reason}: {twice}"
            return SchemaFault(source=source, path=path, reason=text)
    return _find_stranded(inventory, state, source)


def _find_stranded(
    inventory: Inventory, state: ClusterState, source: str
) -> SchemaFault | None:
    names = {g.name for g in inventory.groups}
    for number, tenant in enumerate(inventory.tenants):
        missing = sorted(set(tenant.groups) - names)
        if missing:
            return SchemaFault(
                source=source,
                path=f"$.tenants[{number}].groups",
                reason=f"strands tenant {tenant.name}: no group {missing[0]}",
            )
    for number, group in enumerate(inventory.groups):
        term = state.terms.get(group.name)
        members = {i.name for i in group.instances}
        if term is not None and term.primary not in members:
            return SchemaFault(
                source=source,
                path=f"$.groups[{number}].instances",
                reason=f"strands group: {term.primary} is its primary",
            )
    return None


def _first_twice(values: list[str]) -> str:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            return value
        seen.add(value)
    return ""


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


_CONVERTER: Final = cattrs.Converter()
