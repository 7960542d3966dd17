"""Relaying of control messages between neighbouring entry hosts.

The messages use connections to the lending address.  The relaying host
passes them on unread.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, Protocol

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle._tasks import spawn
from rosemarysaddle.connection._frames import FramedProtocol, frame_message
from rosemarysaddle.link import Address
from rosemarysaddle.schema import RelayedMessage

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from rosemarysaddle.schema import Message

__all__ = ("RelayClient", "RelayPeer", "RelayServer")

# Hosts of one data centre answer each other within a few milliseconds.
CONNECT_TIMEOUT_S: Final = 0.25
MAX_PENDING_FRAMES: Final = 4
# Of 200 hosts of a data centre, 180 may be cut off from the leader and
# ask two of the others each.
MAX_RELAYED_HOSTS: Final = 32
HOST_SILENCE_NS: Final = 3 * NS_PER_S
MAX_BUFFERED_BYTES: Final = 8 * 1024 * 1024


class RelayPeer(Protocol):
    """Connection of a host whose messages are relayed."""

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that wait to be sent."""

    def send(self, frame: bytes) -> None:
        """Send a frame if the connection is open."""

    def abort(self) -> None:
        """Close the connection at once."""


@attrs.define(kw_only=True, eq=False)
class _Link(FramedProtocol):
    """Connection to a neighbour that relays."""

    on_message: Callable[[RelayedMessage], None]
    on_lost: Callable[[str], None]
    _pending: list[bytes] = attrs.field(factory=list, init=False)
    is_lost: bool = attrs.field(default=False, init=False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what waited for the connection."""
        super().connection_made(transport)
        for frame in self._pending:
            self.send(frame)
        self._pending.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self._mark_lost("closed" if exc is None else type(exc).__name__)

    def queue(self, frame: bytes) -> None:
        """Send a frame, now or once the connection is open."""
        if self._transport is not None:
            self.send(frame)
        else:
            self._pending = [*self._pending, frame][-MAX_PENDING_FRAMES:]

    def handle_frame(self, frame: Message | bytes) -> None:
        """Handle one frame of the neighbour."""
        if isinstance(frame, RelayedMessage):
            self.on_message(frame)
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_lost("aborted")

    async def connect(self, address: Address) -> None:
        """Open the connection."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: self, address.ip, address.port
                )
        except (TimeoutError, OSError) as error:
            self._mark_lost(type(error).__name__)
        if self.is_lost and self._transport is not None:
            self._transport.abort()

    def _mark_lost(self, reason: str) -> None:
        if not self.is_lost:
            self.is_lost = True
            self.on_lost(reason)


@attrs.define(kw_only=True, eq=False)
class RelayClient:
    """Connections to the neighbours that relay for this host.

    :param on_message: called with a neighbour and what it passed on
    :param on_lost: called with a neighbour that does not relay any
        longer, and the reason
    """

    on_message: Callable[[str, RelayedMessage], None]
    on_lost: Callable[[str, str], None]
    _links: dict[str, _Link] = attrs.field(factory=dict, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    def send(self, neighbour: str, message: RelayedMessage) -> None:
        """Send a message over a neighbour; it may be lost."""
        link = self._links.get(neighbour)
        if link is None:
            link = _Link(
                on_message=lambda m: self.on_message(neighbour, m),
                on_lost=lambda reason: self._remove(neighbour, reason),
            )
            self._links[neighbour] = link
            spawn(link.connect(Address.parse(neighbour)), self._tasks)
        link.queue(frame_message(message))

    def keep_only(self, neighbours: Collection[str]) -> None:
        """Close the connections to all other neighbours."""
        for neighbour in [n for n in self._links if n not in neighbours]:
            self._links.pop(neighbour).abort()

    def _remove(self, neighbour: str, reason: str) -> None:
        if self._links.pop(neighbour, None) is not None:
            self.on_lost(neighbour, reason)


@attrs.define(kw_only=True)
class _RelayedHost:
    peer: RelayPeer
    last_received_ns: int


@attrs.define(kw_only=True, eq=False)
class RelayServer:
    """Hosts for which this host relays.

    :param find_leader: returns the control leader, or an empty text if
        this host does not reach it directly itself
    :param send: sends a message to a control host
    """

    find_leader: Callable[[], str]
    send: Callable[[str, RelayedMessage], None]
    _hosts: dict[str, _RelayedHost] = attrs.field(factory=dict, init=False)

    @property
    def host_count(self) -> int:
        """Number of hosts for which this host relays."""
        return len(self._hosts)

    def relay_to_leader(
        self, peer: RelayPeer, message: RelayedMessage
    ) -> None:
        """Pass a message of another host on to the leader."""
        now_ns = clock_ns()
        self._remove_silent(now_ns)
        leader = self.find_leader()
        is_new = message.host not in self._hosts
        if not leader or (is_new and self.host_count >= MAX_RELAYED_HOSTS):
            self._hosts.pop(message.host, None)
            refusal = RelayedMessage(host=message.host, body=b"")
            peer.send(frame_message(refusal))
            return
        if is_new:
            log_event("relay-begun", f"host={message.host} leader={leader}")
        self._hosts[message.host] = _RelayedHost(
            peer=peer, last_received_ns=now_ns
        )
        self.send(leader, message)

    def relay_to_host(self, message: RelayedMessage) -> None:
        """Pass a message of the leader on to the host it is for."""
        host = self._hosts.get(message.host)
        if host is None:
            return
        if host.peer.buffered_bytes > MAX_BUFFERED_BYTES:
            host.peer.abort()
            del self._hosts[message.host]
            return
        host.peer.send(frame_message(message))

    def tick(self, now_ns: int) -> None:
        """Forget hosts that no longer ask."""
        self._remove_silent(now_ns)

    def _remove_silent(self, now_ns: int) -> None:
        for name, host in list(self._hosts.items()):
            if now_ns >= host.last_received_ns + HOST_SILENCE_NS:
                del self._hosts[name]
                log_event("relay-ended", f"host={name}")
