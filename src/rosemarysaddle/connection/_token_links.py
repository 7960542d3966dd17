"""Pipelined links over which hosts request tokens from one another.

One link serves all teams of a pair of hosts.  The requests and answers
of one turn of the event loop are written together.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._events import log_event
from rosemarysaddle.connection._frames import FramedProtocol, frame_message
from rosemarysaddle.decide import NS_PER_MS
from rosemarysaddle.link import Address
from rosemarysaddle.schema import TokenGrant, TokenRequest

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("FrameBatch", "TokenLinks")

# A SYN that is lost is sent again after 1 s, so waiting longer is only
# worth it beyond that.
CONNECT_TIMEOUT_MS: Final = 300
# A host that did not answer is usually back from a pause by then.
SILENT_BACKOFF_MS: Final = 300
# A host that accepted no connection is usually back from a restart by
# then.
REFUSED_BACKOFF_MS: Final = 1_000
IDLE_TIMEOUT_MS: Final = 30_000
MAX_PENDING: Final = 1_024

_Answer = TokenGrant | None


@attrs.define(kw_only=True, eq=False)
class FrameBatch:
    """Writes the frames of one turn of the event loop together."""

    write: Callable[[bytes], None]
    _frames: list[bytes] = attrs.field(factory=list, init=False)

    def add(self, frame: bytes) -> None:
        """Add a frame that is written at the end of the turn."""
        if not self._frames:
            asyncio.get_running_loop().call_soon(self._flush)
        self._frames.append(frame)

    def _flush(self) -> None:
        data = b"".join(self._frames)
        self._frames.clear()
        self.write(data)


@attrs.define(kw_only=True, eq=False)
class _TokenLink(FramedProtocol):
    """Link to one host, with requests that are not answered yet."""

    host: str
    on_lost: Callable[[_TokenLink], None]
    is_lost: bool = attrs.field(default=False, init=False)
    last_used_ns: int = attrs.field(factory=clock_ns, init=False)
    last_answer_ns: int = attrs.field(factory=clock_ns, init=False)
    pending: dict[int, Callable[[_Answer], None]] = attrs.field(
        factory=dict, init=False
    )
    _batch: FrameBatch = attrs.field(init=False)
    _unsent: list[bytes] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the batch of frames."""
        self._batch = FrameBatch(write=self.send)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the requests that were made while connecting."""
        super().connection_made(transport)
        self.send(b"".join(self._unsent))
        self._unsent.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._transport = None
        self._mark_lost()

    def request(
        self, request: TokenRequest, on_answer: Callable[[_Answer], None]
    ) -> None:
        """Send a request; the answer is None if the link is lost."""
        self.last_used_ns = clock_ns()
        self.pending[request.request_id] = on_answer
        frame = frame_message(request)
        if self._transport is None:
            self._unsent.append(frame)
        else:
            self._batch.add(frame)

    def abort(self) -> None:
        """Close the link at once."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        self._mark_lost()

    def handle_frame(self, frame: object) -> None:
        """Handle an answer; one that nobody waits for is dropped."""
        if not isinstance(frame, TokenGrant):
            self.abort()
            return
        self.last_answer_ns = clock_ns()
        on_answer = self.pending.pop(frame.request_id, None)
        if on_answer is not None:
            on_answer(frame)

    def _mark_lost(self) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        self.on_lost(self)
        pending, self.pending = self.pending, {}
        for on_answer in pending.values():
            on_answer(None)


@attrs.define(kw_only=True, eq=False)
class TokenLinks:
    """Links of this host to the hosts that it requests tokens from.

    :param requests: number of requests sent
    """

    requests: int = attrs.field(default=0, init=False)
    _links: dict[str, _TokenLink] = attrs.field(factory=dict, init=False)
    _down_until_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _lost_at_ns: dict[str, int] = attrs.field(factory=dict, init=False)
    _next_id: int = attrs.field(default=0, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    @property
    def open_count(self) -> int:
        """Number of open links."""
        return len(self._links)

    @property
    def lost_hosts(self) -> int:
        """Number of hosts that did not answer the last request."""
        return len(self._lost_at_ns)

    def is_down(self, host: str, now_ns: int) -> bool:
        """Return whether a host is skipped because it seems down."""
        return now_ns < self._down_until_ns.get(host, 0)

    def request(
        self,
        host: str,
        *,
        team: str,
        count: int,
        transfer: bool,
        on_answer: Callable[[_Answer], None],
    ) -> None:
        """Send a request for tokens.

        :param on_answer: called once with the answer, or with None if
            the link is lost first
        """
        self._next_id += 1
        self.requests += 1
        request_id = self._next_id
        link = self._links.get(host)
        if link is None:
            link = _TokenLink(host=host, on_lost=self._on_lost)
            self._links[host] = link
            task = asyncio.get_running_loop().create_task(self._dial(link))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if len(link.pending) >= MAX_PENDING:
            on_answer(None)
            return
        request = TokenRequest(
            request_id=request_id, team=team, count=count, transfer=transfer
        )

        def handle(answer: _Answer) -> None:
            if answer is not None:
                self._record_answer(host)
            on_answer(answer)

        link.request(request, handle)

    def record_silence(self, host: str) -> None:
        """Record that a host did not answer in time.

        A link that stays silent is replaced by a new one.
        """
        link = self._links.get(host)
        silent_ns = clock_ns() - SILENT_BACKOFF_MS * NS_PER_MS
        if link is not None and link.last_answer_ns < silent_ns:
            link.abort()
        self._record_lost(host, SILENT_BACKOFF_MS, "answer")

    def tick(self, now_ns: int) -> None:
        """Close idle links."""
        until_ns = now_ns - IDLE_TIMEOUT_MS * NS_PER_MS
        for link in list(self._links.values()):
            if link.last_used_ns < until_ns:
                link.abort()

    def close(self) -> None:
        """Close all links."""
        for link in list(self._links.values()):
            link.abort()

    def retain(self, hosts: set[str]) -> None:
        """Forget the state of hosts that are no longer listed."""
        for host in [h for h in self._lost_at_ns if h not in hosts]:
            del self._lost_at_ns[host]
            self._down_until_ns.pop(host, None)

    async def _dial(self, link: _TokenLink) -> None:
        address = Address.parse(link.host)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1_000):
                await loop.create_connection(
                    lambda: link, address.ip, address.port
                )
        except (TimeoutError, OSError):
            self._record_lost(link.host, REFUSED_BACKOFF_MS, "connect")
            link.abort()

    def _record_lost(self, host: str, backoff_ms: int, step: str) -> None:
        now_ns = clock_ns()
        self._down_until_ns[host] = now_ns + backoff_ms * NS_PER_MS
        if host not in self._lost_at_ns:
            self._lost_at_ns[host] = now_ns
            log_event("counting-host-lost", f"peer={host} step={step}")

    def _record_answer(self, host: str) -> None:
        lost_ns = self._lost_at_ns.pop(host, None)
        if lost_ns is None:
            return
        self._down_until_ns.pop(host, None)
        lost_ms = (clock_ns() - lost_ns) * 1_000 // NS_PER_S
        log_event("counting-host-regained", f"peer={host} lost_ms={lost_ms}")

    def _on_lost(self, link: _TokenLink) -> None:
        if self._links.get(link.host) is link:
            del self._links[link.host]
