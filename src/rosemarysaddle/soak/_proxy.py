"""TCP proxy on loopback that injects network faults."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from typing import Final

import attrs

__all__ = ("FaultProxy", "ProxyFault")

DELAY_S: Final = 0.15
CHUNK_BYTES: Final = 65_536
QUEUE_FILLERS: Final = 2


class ProxyFault(enum.StrEnum):
    """Fault that the proxy injects.

    SILENT withholds the bytes of both directions, ONE_WAY only those
    from the target.
    """

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one-way"
    RESET = "reset"


@attrs.define(kw_only=True, eq=False)
class FaultProxy:
    """Forwards connections to one target.

    :param fault: the fault that is injected now
    """

    ip: str
    port: int
    target_ip: str
    target_port: int
    fault: ProxyFault = ProxyFault.NONE
    _server: asyncio.Server | None = attrs.field(default=None, init=False)
    _is_open: bool = attrs.field(default=False, init=False)
    _cut_sockets: list[socket.socket] = attrs.field(factory=list, init=False)
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    async def start(self) -> None:
        """Start listening, as the target does."""
        self._is_open = True
        if self._cut_sockets:
            return
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, reuse_address=True
        )

    def close(self) -> None:
        """Refuse new connections, as a target that is down does."""
        self._is_open = False
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Hold back all bytes and leave new connections unanswered."""
        if self._server is not None:
            self._server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.ip, self.port))
        # The system drops what it has no room to queue.
        listener.listen(0)
        self._cut_sockets = [listener]
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.settimeout(0)
            filler.connect_ex((self.ip, self.port))
            self._cut_sockets.append(filler)

    async def join(self) -> None:
        """Undo a cut."""
        self._close_cut()
        if self._is_open:
            await self.start()

    def _close_cut(self) -> None:
        for each in self._cut_sockets:
            each.close()
        self._cut_sockets.clear()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.close()
        self._close_cut()
        self._abort()
        for task in list(self._tasks):
            task.cancel()

    def set_fault(self, fault: ProxyFault) -> None:
        """Set the fault; a reset also aborts open connections."""
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
            target_reader, target_writer = await asyncio.open_connection(
                self.target_ip, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        directions = [
            asyncio.ensure_future(
                self._forward(reader, target_writer, is_reply=False)
            ),
            asyncio.ensure_future(
                self._forward(target_reader, writer, is_reply=True)
            ),
        ]
        self._tasks.update(directions)
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The soak is stopping, so the connection is just closed.
            return
        finally:
            for direction in directions:
                direction.cancel()
            self._tasks.difference_update(directions)
            for side_writer in (writer, target_writer):
                side_writer.transport.abort()
                self._writers.discard(side_writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_reply: bool,
    ) -> None:
        # Bytes held back by SILENT or ONE_WAY are never delivered.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                fault = self.fault
                if (
                    self._cut_sockets
                    or fault is ProxyFault.SILENT
                    or (fault is ProxyFault.ONE_WAY and is_reply)
                ):
                    await asyncio.Event().wait()
                if fault is ProxyFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
