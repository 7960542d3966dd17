"""Checks from outside that acknowledged plans are in force.

Each plan has a database of its own, its marker, that the later ones
keep for a while and then drop.  What a host answers to the opening of a
session tells which plans it follows.
"""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._nodes import SESSIONS_PORT
from rosemarysaddle.soak._platform import KEPT_MARKERS, marker

if TYPE_CHECKING:
    import random

    from rosemarysaddle.soak._faults import FaultContext
    from rosemarysaddle.soak._nodes import Node

__all__ = ("APPLY_S", "CONTACT_S", "PlanWatch")

# The users' pages: a change is in force after this time at hosts that
# nothing has disturbed for the other one.
APPLY_S: Final = 3.0
CONTACT_S: Final = 5.0
CHANGE_INTERVAL_RANGE_S: Final = (0.05, 0.6)
ROUND_INTERVAL_S: Final = 0.5
ANSWER_TIMEOUT_S: Final = 1.0
CLIENT_ERRORS: Final = range(400, 500)
# A caller waits for a host without a plan before it is refused.
OPEN: Final = "READY"
MISSING: Final = "NODATABASE"


@attrs.define(kw_only=True, eq=False)
class PlanWatch:
    """Sends changes, and asks all hosts which plan is in force.

    :param violations: what the checks have found
    :param checked: number of times that a host followed a plan in time
    """

    context: FaultContext
    rng: random.Random
    violations: list[str] = attrs.field(factory=list)
    checked: int = 0
    _acknowledged: list[tuple[float, int]] = attrs.field(factory=list)
    # Newest version that a boot of a host was seen to follow.
    _seen: dict[tuple[str, int], int] = attrs.field(factory=dict)

    async def run_until(self, ended: asyncio.Event) -> None:
        """Send changes and check them until the event is set."""
        await asyncio.gather(self._change(ended), self._check(ended))

    async def _change(self, ended: asyncio.Event) -> None:
        platform = self.context.platform
        while not ended.is_set():
            if await platform.change():
                now_s = time.monotonic()
                self._acknowledged.append((now_s, platform.acknowledged))
                await self._send_odd_orders()
            await asyncio.sleep(self.rng.uniform(*CHANGE_INTERVAL_RANGE_S))

    async def _send_odd_orders(self) -> None:
        """Send the newest order again, and others without effect."""
        platform = self.context.platform
        status = await platform.resend()
        if status in CLIENT_ERRORS:
            self._report(f"order sent again was refused: {status}")
        if await platform.send_invalid():
            self._report("invalid order was acknowledged")
        await platform.send_other_content()

    async def _check(self, ended: asyncio.Event) -> None:
        while not ended.is_set():
            await asyncio.gather(
                *(self._check_entry(n) for n in self.context.nodes.entry),
                self._check_control(),
            )
            await asyncio.sleep(ROUND_INTERVAL_S)

    def _due_version(self, now_s: float) -> int:
        """Return the newest version that has to be in force."""
        due = [v for at_s, v in self._acknowledged if at_s + APPLY_S <= now_s]
        return max(due, default=0)

    def _in_touch(self, node: Node, now_s: float) -> bool:
        """Tell whether the time bound holds for a host."""
        disturbed_s = self.context.disturbed_s
        names = [node.name, *(n.name for n in self.context.nodes.control)]
        latest_s = max(disturbed_s.get(name, -math.inf) for name in names)
        is_reserved = any(name in self.context.reserved for name in names)
        return not is_reserved and now_s - latest_s >= CONTACT_S

    async def _check_entry(self, node: Node) -> None:
        process = node.process
        if process is None:
            return
        boot = (node.name, process.pid)
        asked_s = time.monotonic()
        due, was_in_touch = (
            self._due_version(asked_s),
            self._in_touch(node, asked_s),
        )
        if not due:
            return
        newest = self.context.platform.version
        code = await _open(node.ip, marker(due))
        in_touch = was_in_touch and self._in_touch(node, time.monotonic())
        # A later plan may have dropped the marker meanwhile.
        is_kept = due > self.context.platform.version - KEPT_MARKERS
        if code == OPEN:
            self._seen[boot] = max(self._seen.get(boot, 0), due)
            self.checked += 1
        elif code == MISSING and is_kept:
            if in_touch:
                self._report(
                    f"{node.name}: plan {due} is not in force {APPLY_S} s"
                    f" after it was acknowledged (newest sent: {newest})"
                )
            if due <= self._seen.get(boot, 0):
                self._report(f"{node.name}: fell back behind plan {due}")
        await self._check_dropped(node, due, in_touch=in_touch)

    async def _check_dropped(
        self, node: Node, due: int, *, in_touch: bool
    ) -> None:
        """Check databases that plan ``due`` and later ones lack."""
        dropped = due - KEPT_MARKERS
        for database in (marker(dropped), marker(due, content="other")):
            if dropped < 1 and database == marker(dropped):
                continue
            if await _open(node.ip, database) == OPEN and in_touch:
                self._report(f"{node.name}: {database} is served still")
        if await _open(node.ip, marker(0, content="bad")) == OPEN:
            self._report(f"{node.name}: an invalid plan is in force")

    async def _check_control(self) -> None:
        due = self._due_version(time.monotonic())
        for version in await self.context.platform.read_versions():
            if version < due:
                self._report(f"plan {version} was read after {due}")

    def _report(self, text: str) -> None:
        elapsed_s = time.monotonic() - self.context.begun_s
        self.violations.append(f"{text} at {elapsed_s:.1f} s")


async def _open(ip: str, database: str) -> str:
    """Open a session and return the first word that tells the result.

    :return: ``READY``, an error code, or empty without an answer
    """
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, SESSIONS_PORT)
            try:
                writer.write(f"START {database} watch\r\n".encode())
                words = (await reader.readline()).decode().split()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return ""
    if not words:
        return ""
    return words[1] if words[0] == "ERROR" else words[0]
