"""Connections to the other hosts.

A message is sent over the connection on which the peer's latest
message arrived, or else over a new connection to its address.  Messages
may be lost; a sender that needs an answer sends again.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import struct
import zlib
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import clock_ns
from rosemarysaddle._contacts import ContactKind
from rosemarysaddle._formats import is_address
from rosemarysaddle.link._address import Address
from rosemarysaddle.link._codec import (
    MAX_MESSAGE_BYTES,
    DecodeFault,
    decode,
    encode,
)
from rosemarysaddle.schema import Envelope, Heartbeat

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Mapping

    from rosemarysaddle._contacts import ContactLog
    from rosemarysaddle.link._network_conditions import NetworkConditions
    from rosemarysaddle.schema import Message

__all__ = ("PeerNetwork",)

# Three heartbeat intervals.
PEER_TIMEOUT_S: Final = 1.2
HEARTBEAT_INTERVAL_S: Final = 0.4
CONNECT_TIMEOUT_S: Final = 1.0
RECONNECT_DELAY_S: Final = 0.1
# For messages that are sent again after no answer: the kernel sends a
# lost SYN or segment again only after 1 s or more, which delays the
# return after a cut, so connections are opened beside those that wait.
RETRY_SILENCE_S: Final = 0.3
RETRY_DIAL_INTERVAL_S: Final = 0.08
RETRY_CONNECT_TIMEOUT_S: Final = 0.4
MAX_RETRY_DIALS: Final = 4
MAX_BUFFERED_BYTES: Final = 8 * 1024 * 1024
# Compression gains little on shorter messages.
COMPRESS_MIN_BYTES: Final = 512
COMPRESS_LEVEL: Final = 6
_LENGTH_PREFIX: Final = struct.Struct(">I")
_COMPRESSED_FLAG: Final = 1 << 31


@attrs.define(kw_only=True, eq=False)
class _Connection:
    """One connection to a peer.

    :param is_outbound: whether this host opened it
    :param last_received_at_s: time of the event loop, in seconds
    :param last_sent_at_s: time of the event loop, in seconds
    :param source: name of the peer; empty until it is known
    :param has_answered: whether the peer has sent anything besides
        heartbeats
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    local_ip: str
    remote_ip: str
    is_outbound: bool
    last_received_at_s: float
    last_sent_at_s: float = 0.0
    source: str = ""
    has_answered: bool = False


@attrs.define(kw_only=True, eq=False)
class PeerNetwork:
    """All connections of one host to the other hosts.

    A peer name may end in ``#`` and the incarnation of the host; it
    shares the connection of the name before the ``#``.  A peer name of
    the form ``ip:port`` is connected to directly.

    :param host: name of this host
    :param listen: address at which other hosts connect
    :param addresses: addresses of the hosts that are known by name
    :param receive: called with the sender's name and its message
    :param network_conditions: delay and partitions to simulate
    :param server_tls: TLS for inbound connections; None for plain TCP
    :param client_tls: TLS for outbound connections; None for plain TCP
    :param contacts: records peers that this host connects to when they
        are lost and regained; None if nothing is to be recorded
    """

    host: str
    listen: Address
    addresses: Mapping[str, Address]
    receive: Callable[[str, Message], None]
    network_conditions: NetworkConditions
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    contacts: ContactLog | None = None
    sent_bytes: int = 0
    received_bytes: int = 0
    _inbound: dict[str, _Connection] = attrs.field(factory=dict, init=False)
    _outbound: dict[str, _Connection] = attrs.field(factory=dict, init=False)
    _dials: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _silence_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _reconnect_at_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)
    _server: asyncio.Server | None = attrs.field(default=None, init=False)
    _request_id: int = attrs.field(default=0, init=False)
    _last_frame: tuple[Message | None, bytes] = attrs.field(
        default=(None, b""), init=False
    )
    _last_large_frame: tuple[Message | None, bytes] = attrs.field(
        default=(None, b""), init=False
    )
    _pending_frames: dict[str, list[tuple[float, bytes]]] = attrs.field(
        factory=dict, init=False
    )

    async def start(self) -> None:
        """Listen for connections of other hosts."""
        self._server = await asyncio.start_server(
            self._accept,
            self.listen.ip,
            self.listen.port,
            ssl=self.server_tls,
            reuse_address=True,
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in {*self._inbound.values(), *self._outbound.values()}:
            connection.writer.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send(
        self, peer: str, message: Message, *, is_retry: bool = False
    ) -> None:
        """Send a message without waiting; it may be lost.

        :param peer: name or address of the receiver
        :param is_retry: whether an earlier message may not have been
            answered; it is then sent over a new connection if the
            present one shows no sign of life
        """
        if peer == self.host:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.receive, peer, message)
            return
        try:
            frame = self._frame(message)
        except Exception as error:  # noqa: BLE001  # of this message only
            logging.error(
                "event=defect step=encode peer=%s kind=%s",
                peer,
                type(message).__name__,
                exc_info=error,
            )
            return
        key = _connection_key(peer)
        connection = self._connection_to(key)
        is_retry = is_retry and self._address_of(key) is not None
        if connection is not None and not (
            is_retry and self._is_silent(connection, key)
        ):
            self._write(connection, frame)
        elif self._address_of(key) is not None:
            self._connect_later(key, frame, is_retry=is_retry)

    def _address_of(self, key: str) -> Address | None:
        address = self.addresses.get(key)
        if address is None and is_address(key):
            return Address.parse(key)
        return address

    def _frame(self, message: Message) -> bytes:
        # A broadcast sends one object to many hosts, at times with a
        # message of its own for each of them in between.
        for recent, frame in (self._last_frame, self._last_large_frame):
            if recent is message:
                return frame
        frame = self._encode(message)
        if len(frame) < COMPRESS_MIN_BYTES:
            self._last_frame = (message, frame)
        else:
            self._last_large_frame = (message, frame)
        return frame

    def _encode(self, message: Message) -> bytes:
        self._request_id += 1
        envelope = Envelope(
            source=self.host, request_id=self._request_id, body=message
        )
        data = encode(envelope)
        if len(data) < COMPRESS_MIN_BYTES:
            return _LENGTH_PREFIX.pack(len(data)) + data
        data = zlib.compress(data, COMPRESS_LEVEL)
        return _LENGTH_PREFIX.pack(len(data) | _COMPRESSED_FLAG) + data

    def _connection_to(self, peer: str) -> _Connection | None:
        candidates = [
            table[peer]
            for table in (self._outbound, self._inbound)
            if peer in table
        ]
        usable = [c for c in candidates if not self._is_unresponsive(c)]
        if usable:
            return max(usable, key=lambda c: c.last_received_at_s)
        for connection in candidates:
            if not connection.writer.is_closing():
                self._record_lost(peer, "silent")
            self._drop(connection)
        return None

    def _is_unresponsive(self, connection: _Connection) -> bool:
        """Return whether a connection is closed or unresponsive."""
        if connection.writer.is_closing():
            return True
        now_s = asyncio.get_running_loop().time()
        unanswered = connection.last_sent_at_s > connection.last_received_at_s
        return (
            unanswered
            and now_s > connection.last_received_at_s + PEER_TIMEOUT_S
        )

    def _is_silent(self, connection: _Connection, peer: str) -> bool:
        silence_s = self._silence_s.get(peer, RETRY_SILENCE_S)
        now_s = asyncio.get_running_loop().time()
        return (
            connection.last_sent_at_s > connection.last_received_at_s
            and now_s > connection.last_received_at_s + silence_s
        )

    def _write(self, connection: _Connection, frame: bytes) -> None:
        ip_pair = (connection.local_ip, connection.remote_ip)
        connection.last_sent_at_s = asyncio.get_running_loop().time()
        if self.network_conditions.is_partitioned(*ip_pair):
            return
        delay_s = self.network_conditions.delay_s(*ip_pair)
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._write_now, connection, frame)
        else:
            self._write_now(connection, frame)

    def _write_now(self, connection: _Connection, frame: bytes) -> None:
        transport = connection.writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self._drop(connection)
            return
        self.sent_bytes += len(frame)
        connection.writer.write(frame)

    def _connect_later(
        self, peer: str, frame: bytes, *, is_retry: bool
    ) -> None:
        # Keeps the nine latest frames until the connection is open.
        now_s = asyncio.get_running_loop().time()
        pending = self._pending_frames.get(peer, [])[-8:]
        self._pending_frames[peer] = [*pending, (now_s, frame)]
        max_dials = MAX_RETRY_DIALS if is_retry else 1
        if self._dials[peer] >= max_dials or now_s < self._reconnect_at_s.get(
            peer, 0
        ):
            return
        self._dials[peer] += 1
        timeout_s = CONNECT_TIMEOUT_S
        if is_retry:
            timeout_s = RETRY_CONNECT_TIMEOUT_S
            self._reconnect_at_s[peer] = now_s + RETRY_DIAL_INTERVAL_S
        self._spawn(self._run_outbound(peer, timeout_s))

    async def _run_outbound(self, peer: str, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            address = self._address_of(peer)
            if address is None:
                return
            connection = await self._connect(address, timeout_s)
        except (OSError, TimeoutError) as error:
            if self._dials[peer] == 1:
                self._pending_frames.pop(peer, None)
            self._record_lost(peer, type(error).__name__)
            return
        finally:
            self._dials[peer] -= 1
            if not self._dials[peer]:
                del self._dials[peer]
            if timeout_s == CONNECT_TIMEOUT_S:
                self._reconnect_at_s[peer] = loop.time() + RECONNECT_DELAY_S
        if not self._replace_outbound(peer, connection):
            return
        oldest_s = loop.time() - CONNECT_TIMEOUT_S
        for queued_at_s, frame in self._pending_frames.pop(peer, []):
            if queued_at_s >= oldest_s:
                self._write(connection, frame)
        await self._read(connection)

    def _replace_outbound(self, peer: str, connection: _Connection) -> bool:
        """Use a new connection unless another one proved to work.

        :return: whether the connection is used
        """
        connection.source = peer
        current = self._outbound.get(peer)
        if current is not None:
            if not self._is_silent(current, peer):
                connection.writer.transport.abort()
                return False
            if not current.has_answered:
                # The network works but the peer does not answer, so
                # further connections would only queue up there.
                silence_s = self._silence_s.get(peer, RETRY_SILENCE_S)
                self._silence_s[peer] = min(2 * silence_s, PEER_TIMEOUT_S)
            # Discards what still waits to be sent.
            current.writer.transport.abort()
        self._outbound[peer] = connection
        return True

    async def _connect(
        self, address: Address, timeout_s: float
    ) -> _Connection:
        local_ip = self.listen.ip
        if self.network_conditions.is_partitioned(local_ip, address.ip):
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        await asyncio.sleep(
            2 * self.network_conditions.delay_s(local_ip, address.ip)
        )
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(
                address.ip,
                address.port,
                local_addr=(local_ip, 0),
                ssl=self.client_tls,
            ),
            timeout_s,
        )
        return _Connection(
            reader=reader,
            writer=writer,
            local_ip=local_ip,
            remote_ip=address.ip,
            is_outbound=True,
            last_received_at_s=asyncio.get_running_loop().time(),
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(
            reader=reader,
            writer=writer,
            local_ip=self.listen.ip,
            remote_ip=writer.get_extra_info("peername")[0],
            is_outbound=False,
            last_received_at_s=asyncio.get_running_loop().time(),
        )
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(asyncio.CancelledError):
            await self._read(connection)

    async def _read(self, connection: _Connection) -> None:
        try:
            while await self._read_one(connection):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        except Exception as error:  # noqa: BLE001  # of one message
            logging.error(
                "event=defect step=receive peer=%s",
                connection.source or connection.remote_ip,
                exc_info=error,
            )
        finally:
            self._drop(connection)

    async def _read_one(self, connection: _Connection) -> bool:
        header = await connection.reader.readexactly(_LENGTH_PREFIX.size)
        (prefix,) = _LENGTH_PREFIX.unpack(header)
        length = prefix & ~_COMPRESSED_FLAG
        if length > MAX_MESSAGE_BYTES:
            return False
        data = await connection.reader.readexactly(length)
        if prefix & _COMPRESSED_FLAG:
            data = _decompress(data)
        envelope = decode(data)
        if isinstance(envelope, DecodeFault):
            logging.warning(
                "event=bad-frame step=decode peer=%s reason=%r",
                connection.remote_ip,
                envelope.reason,
            )
            return False
        self._deliver(connection, envelope, length)
        return True

    def _deliver(
        self, connection: _Connection, envelope: Envelope, length: int
    ) -> None:
        self.received_bytes += length
        ip_pair = (connection.remote_ip, connection.local_ip)
        if self.network_conditions.is_partitioned(*ip_pair):
            return
        connection.last_received_at_s = asyncio.get_running_loop().time()
        is_heartbeat = isinstance(envelope.body, Heartbeat)
        if not is_heartbeat:
            connection.has_answered = True
        if connection.is_outbound:
            if not is_heartbeat:
                self._silence_s.pop(connection.source, None)
            self._record_regained(connection.source)
        else:
            connection.source = _connection_key(envelope.source)
            self._inbound[connection.source] = connection
            self._send_heartbeat_if_due(connection)
        if not is_heartbeat:
            self.receive(envelope.source, envelope.body)

    def _send_heartbeat_if_due(self, connection: _Connection) -> None:
        """Send a heartbeat if nothing was sent for a while."""
        due_s = connection.last_sent_at_s + HEARTBEAT_INTERVAL_S
        if connection.last_received_at_s >= due_s:
            self._write(connection, self._frame(Heartbeat()))

    def _record_lost(self, peer: str, reason: str) -> None:
        if self.contacts is not None:
            self.contacts.record_lost(
                ContactKind.CONTROL_HOST, peer, clock_ns(), reason=reason
            )

    def _record_regained(self, peer: str) -> None:
        if self.contacts is not None:
            self.contacts.record_regained(
                ContactKind.CONTROL_HOST, peer, clock_ns()
            )

    def _drop(self, connection: _Connection) -> None:
        connection.writer.close()
        for table in (self._inbound, self._outbound):
            if table.get(connection.source) is connection:
                del table[connection.source]

    def _spawn(self, coroutine: asyncio._CoroutineLike[None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _decompress(data: bytes) -> bytes:
    """Decompress a message; return no bytes if the data is invalid."""
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error:
        return b""


def _connection_key(name: str) -> str:
    return name.partition("#")[0]
