"""One seed of the soak, from start to verdict."""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.soak._callers import Caller
from rosemarysaddle.soak._check import Ledger, find_violations
from rosemarysaddle.soak._faults import FAULTS, FaultField
from rosemarysaddle.soak._nodes import CENTERS, Nodes
from rosemarysaddle.soak._platform import DATABASES, GROUP, StandInPlatform
from rosemarysaddle.soak._proxy import HarmingProxy
from rosemarysaddle.soak._targets import TargetGroup, TargetInstance

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ("SoakReport", "run_soak")

TARGET_PORT: Final = 5_432
CALLERS_PER_DATABASE: Final = 2
START_S: Final = 30.0
# Restarts of all, a change of primary and slow machines fit into it.
RECOVER_S: Final = 40.0
POLL_S: Final = 0.1
BETWEEN_S: Final = (0.1, 1.5)
CALM_S: Final = 0.5


@attrs.frozen(kw_only=True)
class SoakReport:
    """Verdict of one seed.

    :param told: count of answers by code
    :param folder: logs of a run with violations, or empty
    """

    seed: int
    faults: tuple[str, ...]
    told: dict[str, int]
    violations: tuple[str, ...]
    folder: str = ""


def run_soak(
    *, seed: int, count: int = 8, faults: Sequence[str] = (), slot: int = 0
) -> SoakReport:
    """Play one seed.

    :param seed: gives faults, times and callers
    :param count: how many faults, in series and overlapping
    :param faults: names of faults in place of the seed's
    :param slot: loopback network, for soaks side by side
    """
    source = random.Random(f"soak:{seed}")  # noqa: S311
    names = tuple(faults) or tuple(source.choices(sorted(FAULTS), k=count))
    folder = Path(tempfile.mkdtemp(prefix="rosemarysaddle-soak-"))
    play = _Play(
        names=names, source=source, network=f"127.{64 + slot}", folder=folder
    )
    return asyncio.run(play.run(seed))


@attrs.define(kw_only=True, eq=False)
class _Play:
    names: tuple[str, ...]
    source: random.Random
    network: str
    folder: Path
    ledger: Ledger = attrs.field(factory=Ledger)
    nodes: Nodes = attrs.field(init=False)
    group: TargetGroup = attrs.field(init=False)
    proxies: dict[str, HarmingProxy] = attrs.field(init=False)
    platform: StandInPlatform = attrs.field(init=False)
    callers: list[Caller] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.nodes = Nodes(network=self.network, folder=self.folder)
        self.group = TargetGroup(name=GROUP, instances=self._instances())
        self.proxies = {
            name: HarmingProxy(
                ip=found.ip.replace(".2.", ".3."),
                port=TARGET_PORT,
                target_ip=found.ip,
                target_port=found.port,
            )
            for name, found in self.group.instances.items()
        }
        self.platform = StandInPlatform(
            nodes=self.nodes, group=self.group, proxies=self.proxies
        )
        ips = [node.ip for node in self.nodes.entry]
        self.callers = [
            Caller(
                name=f"{database}{number}",
                database=database,
                ips=ips,
                source=random.Random(self.source.random()),  # noqa: S311
                ledger=self.ledger,
            )
            for database in DATABASES
            for number in range(CALLERS_PER_DATABASE)
        ]

    def _instances(self) -> dict[str, TargetInstance]:
        found = [
            TargetInstance(
                name=f"t{number}",
                ip=f"{self.network}.2.{number}",
                port=TARGET_PORT,
                data_center=center,
                role="primary" if number == 1 else "replica",
            )
            for number, center in enumerate(CENTERS, start=1)
        ]
        return {instance.name: instance for instance in found}

    async def run(self, seed: int) -> SoakReport:
        """Play and judge."""
        ended = asyncio.Event()
        violations: list[str] = []
        calls: list[asyncio.Task[None]] = []
        try:
            await self._start()
            calls = [
                asyncio.ensure_future(c.call_until(ended))
                for c in self.callers
            ]
            if await self._all_write(START_S):
                await self._harm()
                if not await self._all_write(RECOVER_S):
                    violations.append("a caller writes nothing any more")
            else:
                violations.append("a caller never wrote")
            ended.set()
            await asyncio.gather(*calls)
            self.group.settle()
            found = find_violations(self.ledger, self.group.leader.log)
            violations.extend(found)
        finally:
            await self._stop(calls)
        if not violations:
            shutil.rmtree(self.folder, ignore_errors=True)
        return SoakReport(
            seed=seed,
            faults=self.names,
            told=dict(sorted(self.ledger.told.items())),
            violations=tuple(violations),
            folder=str(self.folder) if violations else "",
        )

    async def _start(self) -> None:
        for instance in self.group.instances.values():
            await instance.listen(self.group)
        for proxy in self.proxies.values():
            await proxy.start()
        for node in self.nodes.all:
            node.start()
        self.platform.start()
        await _until(self._is_configured, START_S)

    async def _is_configured(self) -> bool:
        return await self.platform.change()

    async def _harm(self) -> None:
        field = FaultField(
            nodes=self.nodes,
            group=self.group,
            proxies=self.proxies,
            platform=self.platform,
            source=self.source,
        )
        running = []
        for name in self.names:
            running.append(asyncio.ensure_future(_begin(name, field)))
            await asyncio.sleep(self.source.uniform(*BETWEEN_S))
        await asyncio.gather(*running)
        await asyncio.sleep(CALM_S)

    async def _all_write(self, limit_s: float) -> bool:
        before = {caller.name: caller.writes_done for caller in self.callers}

        async def have_written() -> bool:
            return all(
                caller.writes_done > before[caller.name]
                for caller in self.callers
            )

        return await _until(have_written, limit_s)

    async def _stop(self, calls: list[asyncio.Task[None]]) -> None:
        for call in calls:
            call.cancel()
        await self.platform.stop()
        for node in self.nodes.all:
            await asyncio.to_thread(node.end)
        for proxy in self.proxies.values():
            proxy.stop()
        for instance in self.group.instances.values():
            instance.crash()


async def _begin(name: str, field: FaultField) -> None:
    await FAULTS[name](field)


async def _until(is_true: Callable[[], Any], limit_s: float) -> bool:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while loop.time() < end_s:
        if await is_true():
            return True
        await asyncio.sleep(POLL_S)
    return False
