"""Control hosts on simulated links, for tests of the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from rosemarysaddle._jitter import election_jitter
from rosemarysaddle.decide import Committed, LogNode, Send
from rosemarysaddle.decide.control_log._voter_manager import (
    VoterManager,
    address_of,
)
from rosemarysaddle.schema import AppendRequest, LogEntry, SnapshotInstall
from tests.helpers import NS_PER_MS, FakeDisk

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemarysaddle.decide import Effect

__all__ = ("MAX_CONVERGENCE_MS", "STEP_MS", "Cluster", "Host")

STEP_MS = 20
# An election, the replacement of a voter whose disk was lost, and the
# time-outs that these wait for.
MAX_CONVERGENCE_MS = 8_000


@attrs.define(kw_only=True)
class Host:
    """A control host with its disk; a new disk brings a new name."""

    disk: FakeDisk
    log: LogNode
    manager: VoterManager


@attrs.define(kw_only=True)
class Cluster:
    """Control hosts, and the messages that are on their way."""

    size: int
    now_ns: int = 0
    hosts: dict[str, Host] = attrs.field(factory=dict)
    in_flight: list[tuple[str, Send]] = attrs.field(factory=list)
    cut: set[tuple[str, str]] = attrs.field(factory=set)
    committed: dict[int, LogEntry] = attrs.field(factory=dict)
    leaders: dict[int, str] = attrs.field(factory=dict)
    sent_entries: int = 0
    sent_snapshots: int = 0
    names: int = 0
    voters: tuple[str, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.voters = tuple("abcde"[: self.size])
        for name in self.voters:
            self.start(name, FakeDisk())

    def start(self, name: str, disk: FakeDisk) -> None:
        log = LogNode(
            host=name,
            voters=self.voters if name in self.voters else (),
            stored=disk.stored,
            jitter_ms=election_jitter(name),
            started_ns=self.now_ns,
        )
        manager = VoterManager(log=log, wanted=self.size)
        self.hosts[name] = Host(disk=disk, log=log, manager=manager)

    def absorb(self, name: str, effects: Sequence[Effect]) -> None:
        self.hosts[name].disk.save(effects)
        for effect in effects:
            if isinstance(effect, Send):
                self._count(effect)
                self.in_flight.append((name, effect))
            if isinstance(effect, Committed):
                for entry in effect.entries:
                    known = self.committed.setdefault(entry.index, entry)
                    assert known == entry, "two entries at one index"

    def _count(self, send: Send) -> None:
        if isinstance(send.message, AppendRequest):
            self.sent_entries += len(send.message.entries)
        if isinstance(send.message, SnapshotInstall):
            self.sent_snapshots += 1

    def deliver(self, source: str, send: Send) -> None:
        peer = self._host_at(address_of(send.peer))
        if not peer or (source, peer) in self.cut:
            return
        host = self.hosts[peer]
        effects = host.log.receive(source, send.message, self.now_ns)
        self.absorb(peer, effects)

    def _host_at(self, address: str) -> str:
        """Return the present name at an address, or an empty one."""
        names = [h for h in self.hosts if address_of(h) == address]
        return names[0] if names else ""

    def step(self, spent_ms: int = STEP_MS) -> None:
        """Let time pass; what is on its way arrives."""
        self.now_ns += spent_ms * NS_PER_MS
        arriving, self.in_flight = self.in_flight, []
        for source, send in arriving:
            self.deliver(source, send)
        for name, host in self.hosts.items():
            self.absorb(name, host.log.tick(self.now_ns))
        self._manage_voters()

    def _manage_voters(self) -> None:
        for name, host in list(self.hosts.items()):
            if not host.log.is_current(self.now_ns):
                continue
            for other, joining in self.hosts.items():
                links = {(name, other), (other, name)}
                if joining.log.needs_to_join and not links & self.cut:
                    self.absorb(name, host.manager.join(other, self.now_ns))
            self.absorb(name, host.manager.tick(self.now_ns))

    def leader(self) -> Host | None:
        for host in self.hosts.values():
            if host.log.is_current(self.now_ns):
                return host
        return None

    def cut_off(self, name: str) -> None:
        """Cut a host off from all others, both ways."""
        for other in self.hosts:
            self.cut |= {(name, other), (other, name)}

    def restart(self, name: str) -> None:
        self.start(name, self.hosts[name].disk)

    def lose_disk(self, name: str) -> str:
        """Replace a host by an empty one; return its new name."""
        del self.hosts[name]
        self.names += 1
        new_name = f"{address_of(name)}#{self.names}"
        self.start(new_name, FakeDisk())
        return new_name

    def settle(self) -> None:
        """Let time pass until all is settled, but not for ever."""
        for _ in range(MAX_CONVERGENCE_MS // STEP_MS):
            if self.is_settled:
                return
            self.step()

    @property
    def is_settled(self) -> bool:
        """Whether all hosts vote and hold a current leader's log."""
        leader = self.leader()
        return leader is not None and all(
            host.log.last_index == leader.log.last_index
            and host.log.commit_index == leader.log.last_index
            and set(host.log.voters) == set(self.hosts)
            for host in self.hosts.values()
        )
