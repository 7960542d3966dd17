from __future__ import annotations

import contextlib
import http.client
import socket
import time
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemarysaddle.link import Address
from rosemarysaddle.serve._requests import MAX_BODY_BYTES
from rosemarysaddle.web import HttpServer
from rosemarysaddle.web._server import _is_complete
from tests.helpers import TEST_NETWORK

if TYPE_CHECKING:
    from collections.abc import Iterator

ADDRESS = Address(ip=f"{TEST_NETWORK}.1.1", port=18100)
SILENT_CONNECTIONS = 500
SLOW_CONNECTIONS = 50


def _echo(environ: dict[str, Any], start_response: Any) -> list[bytes]:
    # Reads to the end, as a chunked body has no length.
    data: bytes = environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", str(len(data)))])
    return [data]


@pytest.fixture
def server() -> Iterator[HttpServer]:
    """Server with four worker threads that echoes request bodies."""
    http_server = HttpServer(
        address=ADDRESS, threads=4, max_body_bytes=MAX_BODY_BYTES
    )
    http_server.tree.graft(_echo, "/echo")
    http_server.start()
    yield http_server
    http_server.stop()


def _connect() -> socket.socket:
    return socket.create_connection((ADDRESS.ip, ADDRESS.port), timeout=10)


def _post(connection: http.client.HTTPConnection, text: str) -> bytes:
    connection.request("POST", "/echo", body=text)
    return connection.getresponse().read()


@pytest.mark.usefixtures("server")
def test_server_serves_while_callers_are_silent_or_slow() -> None:
    silent = [_connect() for _ in range(SILENT_CONNECTIONS)]
    slow = [_connect() for _ in range(SLOW_CONNECTIONS)]
    for sock in slow:
        sock.sendall(b"P")
    time.sleep(0.1)
    for sock in slow:
        sock.sendall(b"O")
    connection = http.client.HTTPConnection(ADDRESS.ip, ADDRESS.port, 10)

    answers = [_post(connection, str(n)) for n in range(50)]

    assert answers == [str(n).encode() for n in range(50)]
    for sock in (*silent, *slow):
        sock.close()


@pytest.mark.usefixtures("server")
def test_server_serves_request_that_arrives_in_pieces() -> None:
    sock = _connect()
    request = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc"
    for piece in (request[:10], request[10:], b"def"):
        sock.sendall(piece)
        time.sleep(0.05)

    answer = http.client.HTTPResponse(sock)
    answer.begin()

    assert answer.read() == b"abcdef"
    sock.close()


@pytest.mark.parametrize(
    "length",
    [b"-1", b"+5", b"5_0", b"0x5", b"5, 5", b""],
)
@pytest.mark.usefixtures("server")
def test_length_that_is_no_number_is_refused_before_the_body(
    length: bytes,
) -> None:
    """Guards against a body without a bound in the memory of a host."""
    sock = _connect()
    sock.settimeout(1)
    sock.sendall(
        b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: "
        + length
        + b"\r\n\r\nabcde"
    )

    assert sock.recv(100).startswith(b"HTTP/1.1 400")

    sock.close()


@pytest.mark.usefixtures("server")
def test_body_is_awaited_by_the_length_that_a_worker_reads_by() -> None:
    slow = [_connect() for _ in range(SLOW_CONNECTIONS)]
    for sock in slow:
        sock.sendall(
            b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Content-Length: 9\r\n\r\nabc"
        )
    time.sleep(0.1)
    connection = http.client.HTTPConnection(ADDRESS.ip, ADDRESS.port, 2)

    assert _post(connection, "x") == b"x"

    for sock in slow:
        sock.close()


CHUNKED_HEAD = (
    b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
)


@pytest.mark.usefixtures("server")
def test_incomplete_chunked_requests_occupy_no_worker() -> None:
    """Guards against half of a chunk that keeps all others waiting."""
    slow = [_connect() for _ in range(SLOW_CONNECTIONS)]
    for sock in slow:
        sock.sendall(CHUNKED_HEAD + b"6\r\nabc")
    time.sleep(0.1)
    connection = http.client.HTTPConnection(ADDRESS.ip, ADDRESS.port, 2)

    assert _post(connection, "x") == b"x"

    for sock in slow:
        sock.sendall(b"def\r\n0\r\n\r\n")
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert answer.read() == b"abcdef"
        sock.close()


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"x\r\n", b"400"),
        (b"-1\r\n", b"400"),
        (b"0x3\r\n", b"400"),
        (b"1_0\r\n", b"400"),
        (b"3\r\nabcdef\r\n0\r\n\r\n", b"400"),
        (b"fffffff\r\n" + b"x" * 40_000, b"413"),
        (b"1" * (2 * MAX_BODY_BYTES), b"400"),
        (b"2;" + b"x" * (2 * MAX_BODY_BYTES), b"400"),
        (b"1\r\nx\r\n" * MAX_BODY_BYTES, b"413"),
        (b"0\r\n" + b"x:y\r\n" * MAX_BODY_BYTES, b"400"),
    ],
    ids=[
        "no number",
        "negative",
        "prefix",
        "underscore",
        "too long",
        "large",
        "long size",
        "long text",
        "many chunks",
        "long trailer",
    ],
)
@pytest.mark.usefixtures("server")
def test_malformed_chunks_are_refused_and_no_defect(
    body: bytes, status: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against lines without a bound, and against 500."""
    sock = _connect()
    sock.settimeout(3)
    sock.sendall(CHUNKED_HEAD)
    with contextlib.suppress(OSError):  # refused before the end
        sock.sendall(body)

    assert sock.recv(100).startswith(b"HTTP/1.1 " + status)

    assert not [r for r in caplog.records if r.levelname == "ERROR"]
    sock.close()


@pytest.mark.parametrize(
    ("body", "is_complete"),
    [
        (b"", False),
        (b"3", False),
        (b"3\r\nab", False),
        (b"3\r\nabc\r\n", False),
        (b"3\r\nabc\r\n0\r\n", False),
        (b"3\r\nabc\r\n0\r\n\r\n", True),
        (b"3\r\nabc\r\n0\r\na: b\r\n", False),
        (b"3\r\nabc\r\n0\r\na: b\r\n\r\n", True),
        (b"3\r\nabc\r", False),
        (b"3\r\nabcd", True),
        (b"3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n", True),
        (b"x\r\n", True),
        (b"-1\r\n", True),
        (b"f" * 5_000 + b"\r\n", True),
        (b"fffff\r\n" + b"a" * 40_000, True),
    ],
)
def test_chunked_body_is_complete_or_not(
    body: bytes, *, is_complete: bool
) -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(CHUNKED_HEAD + body)

        assert _is_complete(ours) is is_complete


@pytest.mark.usefixtures("server")
def test_connection_goes_on_after_a_chunked_request() -> None:
    sock = _connect()
    chunks = b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\na: b\r\n\r\n"

    for _ in range(2):
        sock.sendall(CHUNKED_HEAD + chunks)
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert answer.read() == b"abc0123456789"

    sock.close()


@pytest.mark.usefixtures("server")
def test_server_closes_connection_of_incomplete_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("rosemarysaddle.web._server.REQUEST_TIMEOUT_S", 0.2)
    sock = _connect()
    sock.sendall(b"POST /echo HTTP/1.1\r\nHo")

    assert sock.recv(1) == b""
    sock.close()


@pytest.mark.usefixtures("server")
def test_server_answers_pipelined_requests() -> None:
    sock = _connect()
    body = b"the-body"
    head = f"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
    request = head.encode() + b"\r\n\r\n" + body

    sock.sendall(request * 3)

    data = b""
    while data.count(body) < 3:
        data += sock.recv(4_096)
    assert data.count(b"200 OK") == 3
    sock.close()


def test_idle_server_stops_within_a_part_of_the_grace_time() -> None:
    # Guards against hosts that outlive their grace time, as each of
    # their servers took half a second to stop.
    http_server = HttpServer(address=ADDRESS, threads=2, max_body_bytes=100)
    http_server.start()
    time.sleep(0.1)
    start_s = time.monotonic()

    http_server.stop()

    assert time.monotonic() - start_s < 0.3


@given(
    data=st.binary(max_size=120)
    | st.from_regex(
        rb"POST / HTTP/1\.1\r\nContent-Length: [\d -]{0,60}\r\n\r\nab",
        fullmatch=True,
    )
    | st.from_regex(
        rb"POST / HTTP/1\.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        rb"([\da-fx;-]{0,20}\r\n[ab]{0,9}(\r\n)?){0,4}",
        fullmatch=True,
    )
)
@settings(deadline=None)
def test_any_header_is_complete_or_not(data: bytes) -> None:
    """Guards against a header that ends the thread of all others."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(data)
        _is_complete(ours)


@pytest.mark.usefixtures("server")
def test_header_with_a_long_number_disturbs_no_other_request() -> None:
    """Guards against requests that wait for ever for their bodies."""
    sock = _connect()
    for piece in (b"POST /echo HTTP/1.1\r\nHost: x\r\n", b"Content-Length: "):
        sock.sendall(piece)
        time.sleep(0.1)
    sock.sendall(b"9" * 5_000 + b"\r\n\r\n")
    time.sleep(0.1)

    other = _connect()
    for piece in (b"POST /echo HTTP/1.1\r\nHost: x\r\n", b"Content-Length: 3"):
        other.sendall(piece)
        time.sleep(0.1)
    other.sendall(b"\r\n\r\nabc")
    answer = http.client.HTTPResponse(other)
    answer.begin()

    assert answer.read() == b"abc"
