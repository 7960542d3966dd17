"""Network between two hosts that loses all packets for a time."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import attrs

__all__ = ("LossyNetwork",)

# The kernel's first retransmissions; each further one waits twice as
# long as the one before.
SYN_RETRY_S = 1.0
SEGMENT_RETRY_S = 0.2


@attrs.define(kw_only=True, eq=False)
class LossyNetwork:
    """Forwards connections; what is sent during a cut waits.

    As with TCP, it arrives with the first retransmission after the cut,
    not at its end.

    :param targets: port to forward to, by the port that is listened on
    :param cut_since_s: loop time at which the cut began, or None
    :param dials: number of connections that were begun
    """

    ip: str
    targets: dict[int, int]
    one_way_s: float = 0.012
    cut_since_s: float | None = None
    dials: int = 0
    _healed: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)
    _servers: list[asyncio.Server] = attrs.field(factory=list, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    async def start(self) -> None:
        for port in self.targets:
            self._servers.append(
                await asyncio.start_server(self._forward, self.ip, port)
            )

    async def stop(self) -> None:
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        self.cut_since_s = asyncio.get_running_loop().time()
        self._healed.clear()

    def heal(self) -> None:
        self.cut_since_s = None
        self._healed.set()

    async def open_connection(self, *args: Any, **kwargs: Any) -> Any:
        """Stand in for asyncio.open_connection, with lost SYNs."""
        self.dials += 1
        await self._arrive(SYN_RETRY_S)
        await asyncio.sleep(2 * self.one_way_s)
        return await _OPEN_CONNECTION(*args, **kwargs)

    async def _arrive(self, first_retry_s: float) -> None:
        """Wait until a packet or one of its repetitions arrives."""
        loop = asyncio.get_running_loop()
        next_s, wait_s = loop.time(), first_retry_s
        while self.cut_since_s is not None:
            await self._healed.wait()
            while next_s < loop.time():
                next_s += wait_s
                wait_s *= 2
            await asyncio.sleep(next_s - loop.time())

    async def _forward(self, reader: Any, writer: Any) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        port = writer.get_extra_info("sockname")[1]
        there = await _OPEN_CONNECTION(self.ip, self.targets[port])
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, there[1]), self._pump(there[0], writer)
            )
        writer.close()
        there[1].close()

    async def _pump(self, reader: Any, writer: Any) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._arrive(SEGMENT_RETRY_S)
                await asyncio.sleep(self.one_way_s)
                writer.write(data)
        writer.close()


_OPEN_CONNECTION = asyncio.open_connection
