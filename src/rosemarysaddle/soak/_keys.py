"""Keys of the callers' teams, and their removal while callers run."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING, Any, Final

import attrs

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Iterable
    from pathlib import Path

__all__ = ("KeyRemoval", "TeamKeys")

KEY_PREFIX: Final = "key-of-"
# A removed key may run operations of open sessions for this long after
# the removal was acknowledged.
REVOKE_S: Final = 5.0
REMOVED_S: Final = 8.0
SPACING_S: Final = 1.0
RETRY_S: Final = 0.2


@attrs.define(kw_only=True)
class KeyRemoval:
    """Time in which the key of one team was not in force.

    :param from_s: monotonic time at which the removal was acknowledged
    :param until_s: monotonic time at which the key was put back
    """

    team: str
    from_s: float
    until_s: float = math.inf


@attrs.define(kw_only=True, eq=False)
class TeamKeys:
    """One team with one key for each caller.

    :param names: names of the callers, which are those of their teams
    :param change: sends a new plan; returns whether it was acknowledged
    """

    names: tuple[str, ...]
    change: Callable[[], Awaitable[bool]]
    rng: random.Random
    removals: list[KeyRemoval] = attrs.field(factory=list, init=False)
    _removed: str = attrs.field(default="", init=False)

    def teams(self) -> list[dict[str, Any]]:
        """Return the teams of the next plan."""
        return [
            {
                "name": name,
                "api_keys": [KEY_PREFIX + name] * (name != self._removed),
            }
            for name in self.names
        ]

    async def remove_until(self, ended: asyncio.Event) -> None:
        """Remove one key after the other and put each back."""
        while not ended.is_set():
            self._removed = self.rng.choice(self.names)
            await self._send_plan()
            removal = KeyRemoval(team=self._removed, from_s=time.monotonic())
            self.removals.append(removal)
            await asyncio.sleep(REMOVED_S)
            removal.until_s = time.monotonic()
            self._removed = ""
            await self._send_plan()
            await asyncio.sleep(SPACING_S)

    async def _send_plan(self) -> None:
        while True:
            if await self.change():
                return
            await asyncio.sleep(RETRY_S)

    def find_violations(
        self, statements: Iterable[tuple[float, str]], folder: Path
    ) -> list[str]:
        """Find statements under a removed key, and keys in the logs.

        :param statements: monotonic time and request id of each
            statement that reached a target
        :param folder: folder with the logs of all hosts
        """
        violations = [
            f"{request_id} ran {at_s - removal.from_s:.1f} s after its key"
            " was removed"
            for at_s, request_id in statements
            for removal in self.removals
            if request_id.rpartition("-")[0] == removal.team
            and removal.from_s + REVOKE_S < at_s < removal.until_s
        ]
        violations.extend(
            f"{path}: has a key"
            for path in sorted(folder.glob("*/log"))
            if KEY_PREFIX.encode() in path.read_bytes()
        )
        return violations
