"""Runs one seed of the soak and checks the result."""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.soak._builds import replace_builds
from rosemarysaddle.soak._callers import Caller
from rosemarysaddle.soak._check import CallHistory, find_violations
from rosemarysaddle.soak._departures import find_late_work
from rosemarysaddle.soak._faults import FAULTS, FaultContext
from rosemarysaddle.soak._keys import KEY_PREFIX, TeamKeys
from rosemarysaddle.soak._log_checks import (
    SENDER_SLACK_S,
    WriteWatch,
    find_lost_at_promotion,
    find_old_primary_commits,
    find_rolled_back,
    find_stale_reads,
)
from rosemarysaddle.soak._member_faults import ALL_FAULTS
from rosemarysaddle.soak._nodes import (
    DATA_CENTERS,
    Nodes,
    find_defects,
    find_excess_voter_changes,
)
from rosemarysaddle.soak._orders import OrderFault
from rosemarysaddle.soak._plan_watch import APPLY_S, CONTACT_S, PlanWatch
from rosemarysaddle.soak._platform import (
    DATABASES,
    GROUP,
    MAX_STALENESS_MS,
    StandInPlatform,
)
from rosemarysaddle.soak._plays import PLAYS
from rosemarysaddle.soak._proxy import FaultProxy, ProxyFault
from rosemarysaddle.soak._targets import TargetGroup, TargetInstance

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ("SoakReport", "run_play", "run_soak")

TARGET_PORT: Final = 5_432
RECEIVE_DELAY_S: Final = 0.004
CALLERS_PER_DATABASE: Final = 2
SESSIONS_OF_PLAY: Final = 3
START_TIMEOUT_S: Final = 30.0
# Allows for a restart of all hosts and a failover on a slow machine.
RECOVERY_TIMEOUT_S: Final = 40.0
# Together with what the plays wait for, longer than the bound for a
# change of primary.
PLAY_RECOVERY_S: Final = 16.0
POLL_INTERVAL_S: Final = 0.1
FAULT_SPACING_RANGE_S: Final = (0.1, 1.5)
QUIET_PERIOD_S: Final = 0.5
MAX_VIOLATIONS: Final = 20


@attrs.frozen(kw_only=True)
class SoakReport:
    """Result of one seed.

    :param told: number of answers by code
    :param plans_checked: number of times that a host was seen to follow
        a plan in time
    :param sync_replicas: number of replicas that had to receive a
        commit
    :param old_primary_commits: number of commits that were acknowledged
        by an old primary
    :param stale_reads: number of reads whose log lacked a commit
    :param write_gap_s: longest time without an acknowledged write
    :param folder: folder with the logs of a run with violations, or
        empty
    """

    seed: int
    faults: tuple[str, ...]
    told: dict[str, int]
    violations: tuple[str, ...]
    plans_checked: int = 0
    sync_replicas: int = 0
    old_primary_commits: int = 0
    stale_reads: int = 0
    write_gap_s: float = 0.0
    folder: str = ""


def run_soak(
    *,
    seed: int,
    count: int = 8,
    faults: Sequence[str] = (),
    slot: int = 0,
    entry_hosts: int = 1,
    control_hosts: int = 1,
    teams: bool = False,
    sync_replicas: int | None = None,
    members: bool = False,
    earlier_build: Path | None = None,
) -> SoakReport:
    """Run one seed.

    :param seed: determines the faults, their timing and the callers'
        choices
    :param count: number of faults; they may overlap
    :param faults: names of faults to use instead of the seed's
    :param slot: number of the loopback network, so that soaks can run
        side by side
    :param entry_hosts: number of entry hosts of each data centre
    :param control_hosts: number of control hosts of each data centre
    :param teams: whether each caller has a team, whose key is removed
        and put back during the faults
    :param sync_replicas: number of replicas that have received a commit
        when it is acknowledged; the seed determines it if None
    :param members: whether the faults of members are drawn too
    :param earlier_build: folder of the sources of a build with which
        all hosts start, and that is replaced during the faults
    """
    rng = random.Random(f"soak:{seed}")  # noqa: S311
    drawn = ALL_FAULTS if members else FAULTS
    names = tuple(faults) or tuple(rng.choices(sorted(drawn), k=count))
    if sync_replicas is None:
        sync_replicas = random.Random(f"sync:{seed}").randrange(2)  # noqa: S311
    soak = _SoakRun(
        names=names,
        rng=rng,
        network=f"127.{64 + slot}",
        folder=_make_folder(),
        entry_hosts=entry_hosts,
        control_hosts=control_hosts,
        has_teams=teams,
        sync_replicas=sync_replicas,
        earlier_build=earlier_build,
    )
    return asyncio.run(soak.run(seed))


def run_play(
    name: str, *, seed: int, slot: int = 0, entry_hosts: int = 1
) -> SoakReport:
    """Run scripted faults around one change of primary.

    :param name: key of PLAYS
    :param seed: determines the callers' choices
    :param slot: number of the loopback network
    :param entry_hosts: number of entry hosts of each data centre
    """
    soak = _SoakRun(
        names=(name,),
        is_play=True,
        rng=random.Random(f"play:{seed}"),  # noqa: S311
        network=f"127.{64 + slot}",
        folder=_make_folder(),
        entry_hosts=entry_hosts,
        control_hosts=1,
    )
    return asyncio.run(soak.run(seed))


def _make_folder() -> Path:
    return Path(tempfile.mkdtemp(prefix="rosemarysaddle-soak-"))


@attrs.define(kw_only=True, eq=False)
class _SoakRun:
    names: tuple[str, ...]
    rng: random.Random
    network: str
    folder: Path
    entry_hosts: int
    control_hosts: int
    has_teams: bool = False
    is_play: bool = False
    sync_replicas: int = 0
    earlier_build: Path | None = None
    call_history: CallHistory = attrs.field(factory=CallHistory)
    nodes: Nodes = attrs.field(init=False)
    group: TargetGroup = attrs.field(init=False)
    proxies: dict[str, FaultProxy] = attrs.field(init=False)
    platform: StandInPlatform = attrs.field(init=False)
    callers: list[Caller] = attrs.field(init=False)
    keys: TeamKeys = attrs.field(init=False)
    context: FaultContext = attrs.field(init=False)
    watch: WriteWatch = attrs.field(init=False)
    old_primary_commits: list[str] = attrs.field(factory=list, init=False)
    plans_checked: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.nodes = Nodes(
            network=self.network,
            folder=self.folder,
            entry_hosts=self.entry_hosts,
            control_hosts=self.control_hosts,
        )
        self.group = TargetGroup(
            name=GROUP,
            instances=self._instances(),
            sync_replicas=self.sync_replicas,
        )
        self.proxies = {
            name: FaultProxy(
                ip=instance.ip.replace(".2.", ".3."),
                port=TARGET_PORT,
                target_ip=instance.ip,
                target_port=instance.port,
            )
            for name, instance in self.group.instances.items()
        }
        self.platform = StandInPlatform(
            nodes=self.nodes, group=self.group, proxies=self.proxies
        )
        self.callers = self._callers()
        self.keys = TeamKeys(
            names=tuple(caller.name for caller in self.callers),
            change=self.platform.change,
            rng=self.rng,
        )
        if self.has_teams:
            self.platform.teams = self.keys.teams
        self.context = FaultContext(
            nodes=self.nodes,
            group=self.group,
            proxies=self.proxies,
            platform=self.platform,
            rng=self.rng,
        )
        self.watch = WriteWatch(
            count_acknowledged=lambda: len(self.call_history.acks),
            can_write=self._can_write,
        )

    def _callers(self) -> list[Caller]:
        if not self.is_play:
            return [
                self._caller(f"{database}{number}", database)
                for database in DATABASES
                for number in range(CALLERS_PER_DATABASE)
            ]
        writers = [
            self._caller(f"w-{database}{number}", database, only_writes=True)
            for database in DATABASES
            for number in range(CALLERS_PER_DATABASE)
        ]
        sessions = [
            self._caller(f"own{number}", "own")
            for number in range(SESSIONS_OF_PLAY)
        ]
        return [*writers, *sessions]

    def _caller(
        self, name: str, database: str, *, only_writes: bool = False
    ) -> Caller:
        return Caller(
            name=name,
            key=f"{KEY_PREFIX}{name}",
            database=database,
            ips=[node.ip for node in self.nodes.entry],
            rng=random.Random(self.rng.random()),  # noqa: S311
            call_history=self.call_history,
            only_writes=only_writes,
        )

    def _can_write(self) -> bool:
        """Tell whether hosts and targets can serve a write."""
        reachable = [
            each
            for each in self.group.instances.values()
            if each.is_up
            and not each.is_dark
            and self.proxies[each.name].fault is ProxyFault.NONE
        ]
        disturbed = {
            node.name
            for node in self.nodes.control
            if node.name in self.context.reserved
        }
        return (
            len(reachable) > self.sync_replicas
            and 2 * len(disturbed) < len(self.nodes.control)
            and self.platform.orders.fault is OrderFault.NONE
        )

    def _instances(self) -> dict[str, TargetInstance]:
        instances = [
            TargetInstance(
                name=f"t{number}",
                ip=f"{self.network}.2.{number}",
                port=TARGET_PORT,
                data_center=center,
                role="primary" if number == 1 else "replica",
                receive_delay_s=number * RECEIVE_DELAY_S,
            )
            for number, center in enumerate(DATA_CENTERS, start=1)
        ]
        return {instance.name: instance for instance in instances}

    async def run(self, seed: int) -> SoakReport:
        """Run the soak and check the result."""
        ended = asyncio.Event()
        violations: list[str] = []
        calls: list[asyncio.Task[None]] = []
        following = asyncio.ensure_future(self.group.run())
        try:
            await self._start()
            calls = [
                asyncio.ensure_future(c.call_until(ended))
                for c in self.callers
            ]
            if await self._all_callers_write(START_TIMEOUT_S):
                watching = asyncio.ensure_future(self.watch.run())
                violations.extend(await self._disturb())
                watching.cancel()
            else:
                violations.append("not every caller wrote before the faults")
            ended.set()
            await asyncio.gather(*calls)
            self.group.demote_others()
            violations.extend(self._check_history())
        finally:
            await self._stop([*calls, following])
        if self.earlier_build is None:
            violations.extend(find_defects(self.nodes.all))
        if self.control_hosts == 1 and self.earlier_build is None:
            violations.extend(find_excess_voter_changes(self.nodes.control))
        if not violations:
            shutil.rmtree(self.folder, ignore_errors=True)
        return SoakReport(
            seed=seed,
            faults=self.names,
            told=dict(sorted(self.call_history.told.items())),
            violations=tuple(violations),
            plans_checked=self.plans_checked,
            sync_replicas=self.sync_replicas,
            old_primary_commits=len(self.old_primary_commits),
            stale_reads=len(self.call_history.stale),
            write_gap_s=round(self.watch.longest_s, 1),
            folder=str(self.folder) if violations else "",
        )

    async def _disturb(self) -> list[str]:
        """Run the faults and wait until every caller writes again."""
        if self.is_play:
            await PLAYS[self.names[0]](self.context)
            violations = list(self.context.violations)
            limit_s = PLAY_RECOVERY_S
        else:
            violations = await self._run_faults()
            limit_s = RECOVERY_TIMEOUT_S
        if not await self._all_callers_write(limit_s):
            violations.append(
                "not every caller completed a write after the faults"
            )
        if not self.is_play:
            violations.extend(await self._check_plan())
        return violations

    def _check_history(self) -> list[str]:
        """Check what callers were told against the targets' logs."""
        history, group = self.call_history, self.group
        self.old_primary_commits = find_old_primary_commits(
            history, group, self.context.freezes
        )
        history.stale.extend(
            find_stale_reads(history, group, MAX_STALENESS_MS / 1_000)
        )
        rolled_back = set()
        if not self.sync_replicas:
            rolled_back = find_rolled_back(group, SENDER_SLACK_S)
        return [
            *self.watch.find_violations(),
            *self.old_primary_commits[:MAX_VIOLATIONS],
            *find_lost_at_promotion(history, group)[:MAX_VIOLATIONS],
            *find_violations(
                history, group.current_primary.log, rolled_back=rolled_back
            )[:MAX_VIOLATIONS],
            *find_late_work(group.departures, group.work),
            *self.keys.find_violations(group.statements, self.folder),
        ]

    async def _start(self) -> None:
        for instance in self.group.instances.values():
            await instance.listen(self.group)
        for proxy in self.proxies.values():
            await proxy.start()
        for node in self.nodes.all:
            node.sources = self.earlier_build
            node.start()
        self.platform.start()
        await _wait_until(self._is_configured, START_TIMEOUT_S)

    async def _is_configured(self) -> bool:
        return await self.platform.change()

    async def _run_faults(self) -> list[str]:
        context = self.context
        tasks = []
        ended = asyncio.Event()
        removing = asyncio.ensure_future(
            self.keys.remove_until(ended) if self.has_teams else ended.wait()
        )
        if self.earlier_build is not None:
            replacing = replace_builds(context, self.earlier_build)
            tasks.append(asyncio.ensure_future(replacing))
        watch = PlanWatch(context=context, rng=self.rng)
        watching = asyncio.ensure_future(watch.run_until(ended))
        for name in self.names:
            tasks.append(asyncio.ensure_future(_run_fault(name, context)))
            await asyncio.sleep(self.rng.uniform(*FAULT_SPACING_RANGE_S))
        results = await asyncio.gather(*tasks, return_exceptions=True)
        context.violations.extend(
            f"a fault could not be played: {result!r}"
            for result in results
            if isinstance(result, Exception)
        )
        # Plans have to be in force everywhere again.
        await asyncio.sleep(CONTACT_S + APPLY_S)
        ended.set()
        await removing
        await watching
        await asyncio.sleep(QUIET_PERIOD_S)
        self.plans_checked = watch.checked
        return [*context.violations, *watch.violations[:MAX_VIOLATIONS]]

    async def _check_plan(self) -> list[str]:
        """Check that plans are acknowledged again and read back."""
        if not await _wait_until(self._is_configured, RECOVERY_TIMEOUT_S):
            return ["no plan was acknowledged after the faults"]
        await asyncio.sleep(APPLY_S)
        newest = self.platform.acknowledged
        versions = await self.platform.read_versions()
        if not versions:
            return [f"plan {newest} could not be read back"]
        return [
            f"plan {version} was read back after {newest} was acknowledged"
            for version in versions
            if version < newest
        ]

    async def _all_callers_write(self, limit_s: float) -> bool:
        before = {caller.name: caller.writes_done for caller in self.callers}

        async def have_written() -> bool:
            return all(
                caller.writes_done > before[caller.name]
                for caller in self.callers
            )

        return await _wait_until(have_written, limit_s)

    async def _stop(self, calls: list[asyncio.Task[None]]) -> None:
        for call in calls:
            call.cancel()
        await self.platform.stop()
        for node in self.nodes.all:
            await asyncio.to_thread(node.stop_process)
        for proxy in self.proxies.values():
            proxy.stop()
        for instance in self.group.instances.values():
            instance.crash()


async def _run_fault(name: str, context: FaultContext) -> None:
    await ALL_FAULTS[name](context)


async def _wait_until(condition: Callable[[], Any], limit_s: float) -> bool:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    while loop.time() < deadline_s:
        if await condition():
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False
