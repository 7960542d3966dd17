"""Proxy on loopback that harms what passes it."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import Final

import attrs

__all__ = ("FaultProxy", "ProxyFault")

DELAY_S: Final = 0.15
CHUNK_BYTES: Final = 65_536


class ProxyFault(enum.StrEnum):
    """What happens to the bytes."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one-way"
    RESET = "reset"


@attrs.define(kw_only=True, eq=False)
class FaultProxy:
    """Passes connections to one target on.

    :param harm: what it does now
    """

    ip: str
    port: int
    target_ip: str
    target_port: int
    fault: ProxyFault = ProxyFault.NONE
    _server: asyncio.Server | None = attrs.field(default=None, init=False)
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, reuse_address=True
        )

    def stop(self) -> None:
        """End everything."""
        if self._server is not None:
            self._server.close()
        self._abort()
        for task in list(self._tasks):
            task.cancel()

    def set_fault(self, fault: ProxyFault) -> None:
        """Change what happens to the bytes from now on."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            self._abort()

    def _abort(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is ProxyFault.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target_ip, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        ways = [
            asyncio.ensure_future(
                self._forward(reader, far_writer, is_reply=False)
            ),
            asyncio.ensure_future(
                self._forward(far_reader, writer, is_reply=True)
            ),
        ]
        self._tasks.update(ways)
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The soak ends; nobody waits for this connection.
            return
        finally:
            for way in ways:
                way.cancel()
            self._tasks.difference_update(ways)
            for end in (writer, far_writer):
                end.transport.abort()
                self._writers.discard(end)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_reply: bool,
    ) -> None:
        # Bytes that met silence are lost with their connection.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                fault = self.fault
                if fault is ProxyFault.SILENT or (
                    fault is ProxyFault.ONE_WAY and is_reply
                ):
                    await asyncio.Event().wait()
                if fault is ProxyFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
