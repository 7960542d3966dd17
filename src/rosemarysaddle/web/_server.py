"""HTTP server that passes only complete requests to worker threads.

A connection without data waits in the selector thread, and one with an
incomplete request in a list with a deadline, so that silent and slow
callers do not occupy worker threads.
"""

from __future__ import annotations

import io
import re
import socket
import threading
import time
from typing import TYPE_CHECKING, Any, Final

import attrs
import cherrypy
from cheroot.server import ChunkedRFile, HeaderReader, HTTPConnection
from cherrypy._cpserver import Server
from cherrypy._cptree import Tree
from cherrypy._cpwsgi_server import CPWSGIHTTPRequest, CPWSGIServer

from rosemarysaddle._events import log_event
from rosemarysaddle._process import start_lasting_thread
from rosemarysaddle.web._chunks import (
    BodyError,
    has_all_chunks,
    read_chunks,
)

if TYPE_CHECKING:
    from rosemarysaddle.link import Address

__all__ = ("HttpServer",)

REQUEST_TIMEOUT_S: Final = 5.0
KEEP_ALIVE_TIMEOUT_S: Final = 3_600.0
POLL_INTERVAL_S: Final = 0.02
MAX_HEADER_BYTES: Final = 32 * 1024
MAX_LENGTH_DIGITS: Final = 12
MAX_QUEUED_CONNECTIONS: Final = 1_024
STOP_TIMEOUT_S: Final = 5
_PEEK_BYTES: Final = 65_536
# So much of a body is passed to a worker, which waits for the rest.
_ENOUGH_BYTES: Final = _PEEK_BYTES // 2
_CONTENT_LENGTH: Final = re.compile(
    rb"\r\ncontent-length:[ \t]*(\d+)", re.IGNORECASE
)
_CHUNKED: Final = re.compile(
    rb"\r\ntransfer-encoding:[^\r\n]*chunked", re.IGNORECASE
)


@attrs.define(kw_only=True, eq=False)
class HttpServer:
    """CherryPy's WSGI server, whose workers get complete requests.

    :param address: address to listen on
    :param threads: number of worker threads
    :param max_body_bytes: maximum size of a request body
    :param stop_timeout_s: time for running requests to finish when the
        server stops, in seconds
    :param listener: socket that listens on the address, if there is one
        already
    """

    address: Address
    threads: int
    max_body_bytes: int
    stop_timeout_s: float = STOP_TIMEOUT_S
    listener: socket.socket | None = None
    tree: Any = attrs.field(factory=Tree, init=False)
    _server: Any = attrs.field(default=None, init=False)
    _thread: threading.Thread | None = attrs.field(default=None, init=False)

    def start(self) -> None:
        """Bind the address, then serve in a background thread."""
        cherrypy.config.update(
            {"log.screen": False, "checker.on": False, "environment": None}
        )
        adapter = Server()
        adapter.socket_host = self.address.ip
        adapter.socket_port = self.address.port
        adapter.thread_pool = self.threads
        adapter.socket_queue_size = MAX_QUEUED_CONNECTIONS
        adapter.accepted_queue_size = MAX_QUEUED_CONNECTIONS
        adapter.accepted_queue_timeout = 1
        adapter.socket_timeout = KEEP_ALIVE_TIMEOUT_S
        adapter.shutdown_timeout = self.stop_timeout_s
        adapter.max_request_body_size = self.max_body_bytes
        adapter.max_request_header_size = MAX_HEADER_BYTES
        self._server = _ParkingServer(adapter, self.listener)
        self._server.wsgi_app = self._serve
        self._server.max_request_body_size = self.max_body_bytes
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.prepare()
        self._thread = start_lasting_thread(
            self._server.serve,
            name="http",
            is_stopping=self._server.is_stopping,
        )

    def _serve(self, environ: Any, start_response: Any) -> Any:
        """Let the application of the path answer a request.

        :raises BodyError: if its body is malformed or too large
        """
        source = environ["wsgi.input"]
        if isinstance(source, ChunkedRFile):
            body = read_chunks(source.rfile, self.max_body_bytes)
            environ["wsgi.input"] = io.BytesIO(body)
            environ["CONTENT_LENGTH"] = str(len(body))
        return self.tree(environ, start_response)

    def stop(self) -> None:
        """Finish running requests, then close all connections."""
        if self._server is not None:
            self._server.stop()
        if self._thread is not None:
            self._thread.join()


class _StrictHeaderReader(HeaderReader):
    """Refuses a length that is not written in digits.

    The base class leaves any integer to the server, which reads to the
    end of the connection, without a bound, if it is negative.
    """

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """Read the headers of a request.

        :raises ValueError: if the request is to be refused
        """
        headers = super().__call__(rfile, hdict)
        if not headers.get(b"Content-Length", b"0").isdigit():
            message = "Malformed Content-Length header."
            raise ValueError(message)
        return headers


class _Request(CPWSGIHTTPRequest):
    header_reader = _StrictHeaderReader()

    def respond(self) -> None:
        """Answer the request, or refuse its body."""
        try:
            super().respond()
        except BodyError as error:
            # What follows cannot be told from the body.
            self.close_connection = True
            status = error.status
            self.simple_response(f"{status} {status.phrase}")


class _Connection(HTTPConnection):
    RequestHandlerClass = _Request


class _ParkingServer(CPWSGIServer):
    """Server that keeps incomplete requests away from its workers."""

    keep_alive_conn_limit = None

    def __init__(self, adapter: Any, listener: socket.socket | None) -> None:
        super().__init__(adapter)
        self.ConnectionClass = _Connection
        self._listener = listener
        self._partial: dict[Any, float] = {}
        self._partial_lock = threading.Lock()
        self._stopped = threading.Event()
        self._is_closed = threading.Event()
        self._has_partial = threading.Event()

    def prepare(self) -> None:
        """Bind the address and start to watch incomplete requests."""
        super().prepare()
        start_lasting_thread(
            self._poll, name="http-partial", is_stopping=self.is_stopping
        )

    def is_stopping(self) -> bool:
        """Return whether the server was asked to stop."""
        return self._stopped.is_set()

    def bind(self, family: int, kind: int, proto: int = 0) -> Any:
        """Bind the address unless a socket already listens on it."""
        if self._listener is None:
            return super().bind(family, kind, proto)
        self.socket = self._listener
        self.bind_addr = self.resolve_real_bind_addr(self._listener)
        return self.socket

    def process_conn(self, conn: Any) -> None:
        """Pass a connection to a worker, or park it.

        A connection is parked first in the selector, until it is
        readable.  If its request is incomplete even then, it is parked
        in the list of partial requests until it completes or times out.
        """
        if conn.rfile.has_data() or _is_complete(conn.socket):
            self._pass_to_worker(conn)
            return
        if not hasattr(conn, "parked"):
            conn.parked = True
            self.put_conn(conn)
            return
        with self._partial_lock:
            self._partial[conn] = time.monotonic() + REQUEST_TIMEOUT_S
            self._has_partial.set()

    def stop(self) -> None:
        """Finish running requests, then close all connections."""
        self._stopped.set()
        self._has_partial.set()
        # The selector waits up to half a second for connections, which
        # a host that stops does not have.
        waker = threading.Thread(target=self._wake_selector, daemon=True)
        waker.start()
        super().stop()
        self._is_closed.set()
        waker.join()

    def _wake_selector(self) -> None:
        address = self.bind_addr
        while not self._is_closed.wait(POLL_INTERVAL_S):
            try:
                socket.create_connection(address, POLL_INTERVAL_S).close()
            except OSError:
                # The socket is closed: the selector has ended.
                return

    def _poll(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            self._check_partial()

    def _check_partial(self) -> None:
        self._has_partial.wait()
        with self._partial_lock:
            waiting = list(self._partial.items())
            if not waiting and not self._stopped.is_set():
                self._has_partial.clear()
        for conn, deadline_s in waiting:
            try:
                self._recheck(conn, deadline_s)
            except Exception as error:  # noqa: BLE001  # of one caller
                self._drop(conn, error)

    def _drop(self, conn: Any, error: Exception) -> None:
        """Close a connection whose request cannot be handled."""
        log_event("http-dropped", f"reason={error!r}")
        with self._partial_lock:
            self._partial.pop(conn, None)
        conn.close()

    def _recheck(self, conn: Any, deadline_s: float) -> None:
        complete = _is_complete(conn.socket)
        if not complete and time.monotonic() < deadline_s:
            return
        with self._partial_lock:
            self._partial.pop(conn, None)
        if complete:
            self._pass_to_worker(conn)
        else:
            conn.close()

    def _pass_to_worker(self, conn: Any) -> None:
        conn.socket.settimeout(REQUEST_TIMEOUT_S)
        super().process_conn(conn)


def _is_complete(sock: Any) -> bool:
    """Return whether a worker can read a request without waiting.

    A closed or broken connection counts as complete, so that a worker
    closes it.  So does a request whose header is too long, so that a
    worker refuses it, a request with at least ``_ENOUGH_BYTES``
    of its body, and a TLS connection, which cannot be peeked at.
    """
    if not isinstance(sock, socket.socket) or hasattr(sock, "pending"):
        return True
    sock.settimeout(0)  # a time-out makes recv wait, whatever its flags
    try:
        data = sock.recv(_PEEK_BYTES, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    if not data:
        return True
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return len(data) > MAX_HEADER_BYTES
    if _CHUNKED.search(head):
        return has_all_chunks(body, enough_bytes=_ENOUGH_BYTES)
    # A worker reads by the last one.
    lengths = _CONTENT_LENGTH.findall(head)
    if not lengths or len(lengths[-1]) > MAX_LENGTH_DIGITS:
        # A worker refuses a length that no request has.
        return True
    return len(body) >= min(int(lengths[-1]), _ENOUGH_BYTES)
