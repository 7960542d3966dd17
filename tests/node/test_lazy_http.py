from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from rosemarysaddle.link import Address
from rosemarysaddle.node import _lazy_http
from rosemarysaddle.node._lazy_http import LazyHttpServer
from rosemarysaddle.platform._readiness import readiness_app
from rosemarysaddle.web import HttpServer
from tests.helpers import TEST_NETWORK

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

ADDRESS = Address(ip=f"{TEST_NETWORK}.1.5", port=17_795)
CHECK = b"GET /rosemarysaddle/readiness HTTP/1.1\r\nHost: h\r\n\r\n"
POST = (
    b"POST /rosemarysaddle/readiness HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)


async def _ask(*parts: bytes) -> list[bytes]:
    """Send requests over one connection; return the status lines."""
    reader, writer = await asyncio.open_connection(ADDRESS.ip, ADDRESS.port)
    lines = []
    async with asyncio.timeout(10):
        for part in parts:
            writer.write(part)
            head = await reader.readuntil(b"\r\n\r\n")
            lines.append(head.split(b"\r\n")[0])
            if b"Content-Length: 2" in head:
                await reader.readexactly(2)
    writer.close()
    return lines


def _run(work: Callable[[list[str]], Awaitable[None]], *, plain: bool) -> int:
    """Serve while work runs.

    :param work: gets a list that it empties to make the host unready
    :return: number of starts of the HTTP server
    """
    starts: list[HttpServer] = []
    ready = ["ready"]
    app = readiness_app(lambda: bool(ready))

    def start_server(listener: socket.socket) -> HttpServer:
        server = HttpServer(
            address=ADDRESS, threads=1, max_body_bytes=64, listener=listener
        )
        server.tree.graft(app, "")
        server.start()
        starts.append(server)
        return server

    async def main() -> None:
        lazy = LazyHttpServer(
            address=ADDRESS,
            start_server=start_server,
            plain_app=app if plain else None,
        )
        await lazy.start()
        try:
            await work(ready)
        finally:
            await lazy.stop()

    asyncio.run(main())
    return len(starts)


def test_checks_are_answered_without_the_http_server() -> None:
    """Guards against an import of CherryPy by the first check."""

    async def work(ready: list[str]) -> None:
        assert await _ask(CHECK, CHECK) == [b"HTTP/1.1 200 OK"] * 2
        ready.clear()
        (line,) = await _ask(CHECK)
        assert line == b"HTTP/1.1 503 Service Unavailable"
        (line,) = await _ask(b"GET / HTTP/1.0\r\n\r\n")
        assert line == b"HTTP/1.1 503 Service Unavailable"

    assert _run(work, plain=True) == 0


@pytest.mark.parametrize(
    "request_bytes",
    [
        pytest.param(POST, id="body"),
        pytest.param(b"NONSENSE\r\n\r\n", id="malformed"),
        pytest.param(b"GET /" + b"x" * 9_000, id="long"),
    ],
)
def test_other_request_makes_the_http_server_take_over(
    request_bytes: bytes,
) -> None:
    """Guards against a host that no longer answers its checks."""

    async def work(_: list[str]) -> None:
        (line,) = await _ask(request_bytes)
        assert line == b"HTTP/1.1 503 Service Unavailable"
        assert await _ask(CHECK, CHECK) == [b"HTTP/1.1 200 OK"] * 2
        assert await _ask(POST) == [b"HTTP/1.1 200 OK"]

    assert _run(work, plain=True) == 1


def test_connection_before_the_http_server_is_served_by_it() -> None:
    """Guards against a refused scrape while CherryPy is imported."""

    async def work(_: list[str]) -> None:
        first, second = await asyncio.gather(_ask(CHECK), _ask(CHECK))
        assert first == second == [b"HTTP/1.1 200 OK"]

    assert _run(work, plain=False) == 1


def test_too_many_connections_make_the_http_server_take_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against silent connections that use up the descriptors."""
    monkeypatch.setattr(_lazy_http, "MAX_PLAIN_CONNECTIONS", 2)

    async def work(_: list[str]) -> None:
        silent = [
            await asyncio.open_connection(ADDRESS.ip, ADDRESS.port)
            for _number in range(3)
        ]
        assert await silent[2][0].read(12) == b"HTTP/1.1 503"
        assert await _ask(CHECK) == [b"HTTP/1.1 200 OK"]
        for connection in silent:
            connection[1].close()

    assert _run(work, plain=True) == 1


def test_silent_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against silent connections that are kept for good."""
    monkeypatch.setattr(_lazy_http, "IDLE_TIMEOUT_S", 0.05)

    async def work(_: list[str]) -> None:
        reader, writer = await asyncio.open_connection(
            ADDRESS.ip, ADDRESS.port
        )
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()

    assert _run(work, plain=True) == 0
