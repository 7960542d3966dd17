"""HTTP server that is imported when a request needs it.

CherryPy takes longer to import than the rest of a host's start and a
third of the memory of an entry host.  The address is bound at once; the
kernel keeps connections waiting while the server is imported.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any, Final, cast

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.link import Address
    from rosemarysaddle.web import HttpServer

__all__ = ("LazyHttpServer",)

LISTEN_BACKLOG: Final = 128
MAX_HEAD_BYTES: Final = 8_192
# Connections above this number are left to the HTTP server.
MAX_PLAIN_CONNECTIONS: Final = 32
# Longer than the second between two checks over one connection.
IDLE_TIMEOUT_S: Final = 10.0
# Time between an attempt to start the server that raised and the next.
RESTART_DELAY_S: Final = 1.0
_HEAD_END: Final = b"\r\n\r\n"
_REFUSAL: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


@attrs.define(kw_only=True, eq=False)
class LazyHttpServer:
    """Binds an address now, and starts its HTTP server on demand.

    With ``plain_app``, requests without a body are answered by this
    application on the event loop.  Any other request is refused, and
    the HTTP server takes the address over.

    :param start_server: imports and starts the HTTP server that accepts
        from the socket; called in a thread
    :param plain_app: WSGI application that reads only the method and
        the path of a request, and does not block
    """

    address: Address
    start_server: Callable[[socket.socket], HttpServer | None]
    plain_app: Any = None
    _socket: socket.socket = attrs.field(init=False)
    _front: asyncio.Server | None = attrs.field(default=None, init=False)
    _plain: set[_PlainProtocol] = attrs.field(factory=set, init=False)
    _server: HttpServer | None = attrs.field(default=None, init=False)
    _starting: asyncio.Task[None] | None = attrs.field(
        default=None, init=False
    )

    async def start(self) -> None:
        """Bind the address and wait for requests."""
        self._socket = socket.create_server(
            (self.address.ip, self.address.port), backlog=LISTEN_BACKLOG
        )
        self._socket.settimeout(0)
        loop = asyncio.get_running_loop()
        if self.plain_app is None:
            loop.add_reader(self._socket, self.take_over)
            return
        self._front = await loop.create_server(
            lambda: _PlainProtocol(owner=self), sock=self._socket.dup()
        )

    async def stop(self) -> None:
        """Finish running requests, then close all connections."""
        self._stop_waiting()
        if self._starting is not None:
            await asyncio.wait([self._starting])
        if self._server is not None:
            await asyncio.to_thread(self._server.stop)
        for protocol in list(self._plain):
            protocol.close()
        self._socket.close()

    def take_over(self) -> None:
        """Let the HTTP server accept all further connections."""
        if self._starting is None:
            self._stop_waiting()
            self._starting = spawn(self._start_server())

    def connect(self, protocol: _PlainProtocol) -> bool:
        """Register a connection of a plain request.

        :return: whether it may be served here
        """
        self._plain.add(protocol)
        return len(self._plain) <= MAX_PLAIN_CONNECTIONS

    def disconnect(self, protocol: _PlainProtocol) -> None:
        """Remove a connection that was closed."""
        self._plain.discard(protocol)

    async def _start_server(self) -> None:
        logging.info("event=http-started address=%s", self.address)
        try:
            self._server = await asyncio.to_thread(
                self.start_server, self._socket
            )
        except Exception as error:  # noqa: BLE001  # started once more
            logging.error(
                "event=defect step=start-http address=%s",
                self.address,
                exc_info=error,
            )
            loop = asyncio.get_running_loop()
            loop.call_later(RESTART_DELAY_S, self._wait_for_request)

    def _wait_for_request(self) -> None:
        if self._socket.fileno() >= 0:
            self._starting = None
            self._front = None
            loop = asyncio.get_running_loop()
            loop.add_reader(self._socket, self.take_over)

    def _stop_waiting(self) -> None:
        if self._front is not None:
            self._front.close()
        elif self._starting is None:
            asyncio.get_running_loop().remove_reader(self._socket)


@attrs.define(kw_only=True, eq=False)
class _PlainProtocol(asyncio.Protocol):
    """Answers requests without a body over one connection."""

    owner: LazyHttpServer
    _transport: asyncio.Transport = attrs.field(init=False)
    _timer: asyncio.TimerHandle | None = attrs.field(default=None, init=False)
    _data: bytes = attrs.field(default=b"", init=False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or refuse it if there are too many."""
        self._transport = cast("asyncio.Transport", transport)
        if not self.owner.connect(self):
            self._refuse()
            return
        self._restart_timer()

    def connection_lost(self, _: Exception | None) -> None:
        """Forget the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self.owner.disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Answer the requests that are complete."""
        self._data += data
        while _HEAD_END in self._data and not self._transport.is_closing():
            head, _, self._data = self._data.partition(_HEAD_END)
            self._answer(head.decode("latin-1"))
        if len(self._data) > MAX_HEAD_BYTES:
            self._refuse()

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()

    def _answer(self, head: str) -> None:
        path = _plain_path(head)
        if path is None:
            self._refuse()
            return
        self._restart_timer()
        is_last = _is_last(head)
        self._transport.write(
            _run_app(self.owner.plain_app, path, close=is_last)
        )
        if is_last:
            self._transport.close()

    def _refuse(self) -> None:
        if self._transport.is_closing():
            return
        self._transport.write(_REFUSAL)
        self._transport.close()
        self.owner.take_over()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(IDLE_TIMEOUT_S, self.close)


def _plain_path(head: str) -> str | None:
    """Return the path of a request without a body, else None."""
    request, *fields = head.split("\r\n")
    parts = request.split(" ")
    if len(parts) != 3 or parts[0] != "GET" or "%" in parts[1]:  # noqa: PLR2004
        return None
    if not parts[1].startswith("/") or not parts[2].startswith("HTTP/1."):
        return None
    names = {field.partition(":")[0].strip().lower() for field in fields}
    if names & {"content-length", "transfer-encoding", "expect", "upgrade"}:
        return None
    return parts[1].partition("?")[0]


def _is_last(head: str) -> bool:
    lines = head.lower().split("\r\n")
    connection = next(
        (line for line in lines if line.startswith("connection:")), ""
    )
    if lines[0].endswith("http/1.0"):
        return "keep-alive" not in connection
    return "close" in connection


def _run_app(app: Any, path: str, *, close: bool) -> bytes:
    lines: list[str] = []

    def start_response(status: str, headers: list[tuple[str, str]]) -> None:
        lines.append(f"HTTP/1.1 {status}")
        lines.extend(f"{name}: {value}" for name, value in headers)

    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": path}
    body = b"".join(app(environ, start_response))
    lines.append(f"Connection: {'close' if close else 'keep-alive'}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
