"""Faults of a trial, each with the action that ends it."""

from __future__ import annotations

import functools
import threading
from typing import TYPE_CHECKING, Final, Protocol

import attrs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from rosemarysaddle.demo._cluster import Cluster
    from rosemarysaddle.standin import StandInInstance, StandInServer

__all__ = ("FAULTS", "PAIRS", "Fault", "FaultContext")

LARGE_LAG_MS: Final = 3_000.0
ADDED_LATENCY_MS: Final = 150.0
RACE_THREADS: Final = 2


@attrs.define(kw_only=True, eq=False)
class FaultContext:
    """Cluster and group that a fault acts on.

    :param group: group whose targets the fault affects
    :param failures: violations that a fault itself detected
    :param undo_actions: actions that end the faults, oldest first
    """

    cluster: Cluster
    group: str
    rng: random.Random
    failures: list[str] = attrs.field(factory=list)
    undo_actions: list[Callable[[], object]] = attrs.field(factory=list)

    def primary(self) -> StandInInstance:
        """Return the primary or, without one, the first instance."""
        primary = self.cluster.primary_of(self.group)
        if primary is None:
            primary = self.members()[0]
        return primary

    def members(self) -> list[StandInInstance]:
        """List the instances of the group."""
        instances = self.cluster.instances.values()
        return [i for i in instances if i.group == self.group]

    def replicas(self) -> list[StandInInstance]:
        """List the instances that are not primary."""
        primary = self.primary()
        return [i for i in self.members() if i is not primary]

    def server(self, instance: StandInInstance) -> StandInServer:
        """Find the server of an instance."""
        return self.cluster.targets[instance.name]

    def end(self) -> None:
        """End all faults, newest first."""
        while self.undo_actions:
            self.undo_actions.pop()()


class Fault(Protocol):
    """Starts a fault and registers the action that ends it."""

    def __call__(self, context: FaultContext) -> None:
        """Start the fault."""


def _crash_primary(context: FaultContext) -> None:
    _crash(context, context.primary(), lose_disk=False)


def _lose_primary(context: FaultContext) -> None:
    _crash(context, context.primary(), lose_disk=True)


def _lose_replica(context: FaultContext) -> None:
    replica = context.rng.choice(context.replicas())
    _crash(context, replica, lose_disk=True)


def _crash(
    context: FaultContext, instance: StandInInstance, *, lose_disk: bool
) -> None:
    if instance.faults.crashed:
        return
    server = context.server(instance)
    run = context.cluster.target_loop.run
    run(server.crash())

    async def restart() -> None:
        if lose_disk:
            instance.lose_disk()
        await server.restart()

    context.undo_actions.append(lambda: run(restart()))


def _cut_primary_center(context: FaultContext) -> None:
    _cut(context, context.primary().data_center)


def _cut_any_center(context: FaultContext) -> None:
    sites = context.cluster.deployment.sites
    _cut(context, context.rng.choice(sites).data_center)


def _cut_all(context: FaultContext) -> None:
    sites = context.cluster.deployment.sites
    _cut(context, *(s.data_center for s in sites))


def _cut(context: FaultContext, *centers: str) -> None:
    network_conditions = context.cluster.network_conditions
    network_conditions.cut_centers = frozenset(centers)

    def heal() -> None:
        network_conditions.cut_centers = frozenset()

    context.undo_actions.append(heal)


def _isolate_control(context: FaultContext) -> None:
    cluster = context.cluster
    _isolate(context, cluster.leader() or cluster.control_hosts()[0])


def _isolate_all_control(context: FaultContext) -> None:
    _isolate(context, *context.cluster.control_hosts())


def _isolate(context: FaultContext, *names: str) -> None:
    cluster = context.cluster
    cluster.network_conditions.cut_ips = frozenset(
        cluster.ip_of(n) for n in names
    )
    cluster.balancer.out_of_service |= set(names)

    def heal() -> None:
        cluster.network_conditions.cut_ips = frozenset()
        cluster.balancer.out_of_service -= set(names)

    context.undo_actions.append(heal)


def _kill_leader(context: FaultContext) -> None:
    name = context.cluster.leader()
    if name:
        _kill(context, name)


def _kill_entry(context: FaultContext) -> None:
    control = set(context.cluster.control_hosts())
    names = [n for n in context.cluster.servers if n not in control]
    _kill(context, context.rng.choice(names))


def _kill(context: FaultContext, name: str) -> None:
    cluster = context.cluster
    if name in cluster.balancer.out_of_service:
        return
    cluster.balancer.out_of_service |= {name}
    cluster.host_loop.run(cluster.servers[name].kill())

    def start() -> None:
        cluster.restart_host(name)
        cluster.balancer.out_of_service -= {name}

    context.undo_actions.append(start)


def _freeze(context: FaultContext) -> None:
    for instance in context.members():
        context.server(instance).freeze_connections()


def _one_behind(context: FaultContext) -> None:
    _set_lag(context, context.replicas()[:1])


def _all_behind(context: FaultContext) -> None:
    _set_lag(context, context.replicas())


def _set_lag(context: FaultContext, instances: list[StandInInstance]) -> None:
    for instance in instances:
        faults, previous_ms = instance.faults, instance.faults.lag_ms
        faults.lag_ms = LARGE_LAG_MS
        restore = functools.partial(setattr, faults, "lag_ms", previous_ms)
        context.undo_actions.append(restore)


def _slow(context: FaultContext) -> None:
    faults = context.primary().faults
    faults.slow_ms = ADDED_LATENCY_MS
    context.undo_actions.append(lambda: setattr(faults, "slow_ms", 0.0))


def _late(context: FaultContext) -> None:
    faults = context.primary().faults
    faults.late_ms = ADDED_LATENCY_MS
    context.undo_actions.append(lambda: setattr(faults, "late_ms", 0.0))


def _switch_over(context: FaultContext) -> None:
    target = context.rng.choice(context.replicas()).name
    path = f"/admin/switchover?group={context.group}&target={target}"
    context.cluster.request_any("POST", path, {})


def _race_operators(context: FaultContext) -> None:
    current = context.cluster.request_any("GET", "/admin/documents/rules")
    if current is None:
        return
    accepted: list[int] = []

    def change(number: int) -> None:
        body = {
            "change_id": f"race-{current['version']}-{number}",
            "base_version": current["version"],
            "document": current["document"],
        }
        reply = context.cluster.request_any(
            "POST", "/admin/documents/rules", body
        )
        if reply is not None and reply.get("outcome") == "done":
            accepted.append(number)

    threads = [
        threading.Thread(target=change, args=(n,)) for n in range(RACE_THREADS)
    ]
    for thread in threads:
        thread.start()

    def end() -> None:
        for thread in threads:
            thread.join()
        if len(accepted) > 1:
            context.failures.append(
                "two changes to the same base version were accepted"
            )

    context.undo_actions.append(end)


FAULTS: Final[dict[str, Fault]] = {
    "crash-primary": _crash_primary,
    "lose-primary": _lose_primary,
    "lose-replica": _lose_replica,
    "cut-primary-center": _cut_primary_center,
    "cut-any-center": _cut_any_center,
    "cut-all": _cut_all,
    "isolate-control": _isolate_control,
    "isolate-all-control": _isolate_all_control,
    "kill-leader": _kill_leader,
    "kill-entry": _kill_entry,
    "freeze": _freeze,
    "one-behind": _one_behind,
    "all-behind": _all_behind,
    "slow": _slow,
    "late": _late,
    "switch-over": _switch_over,
    "race-operators": _race_operators,
}

PAIRS: Final = (
    ("cut-primary-center", "kill-entry"),
    ("cut-any-center", "crash-primary"),
    ("kill-entry", "crash-primary"),
    ("kill-leader", "crash-primary"),
    ("kill-leader", "cut-primary-center"),
    ("isolate-control", "crash-primary"),
    ("isolate-control", "race-operators"),
    ("lose-replica", "crash-primary"),
    ("lose-primary", "kill-entry"),
    ("lose-replica", "switch-over"),
    ("freeze", "crash-primary"),
    ("freeze", "switch-over"),
    ("one-behind", "crash-primary"),
    ("all-behind", "crash-primary"),
    ("all-behind", "cut-primary-center"),
    ("slow", "crash-primary"),
    ("late", "cut-primary-center"),
    ("switch-over", "kill-leader"),
    ("switch-over", "crash-primary"),
    ("race-operators", "kill-leader"),
)
