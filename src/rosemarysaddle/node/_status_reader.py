"""Reads the status of targets over connections that are kept a while.

A full target queues the opening of a connection and each request behind
the statements of callers.  An attempt that starts again after its
time-out waits in that queue from the end, so a connection outlasts the
attempt and the next one goes on with it.  Where no answer comes soon, a
second connection is tried beside it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._tasks import spawn
from rosemarysaddle.connection import TargetConnection, open_connection
from rosemarysaddle.decide import NS_PER_MS, Answer, FaultCode
from rosemarysaddle.link import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.connection import TargetCodec
    from rosemarysaddle.node._platform import TargetStatus
    from rosemarysaddle.schema import Instance

__all__ = ("StatusReader", "StatusResult")

# A full queue takes less than this for an opening and a request.  An
# older connection may have gone silent, and does not tell whether the
# target can be reached now.
KEEP_MS: Final = 1_500
BUSY_PAUSE_S: Final = 0.05
# A target that fails part of its requests may never answer one of them,
# while the next one takes some milliseconds.
HEDGE_DELAY_MS: Final = 250
# Name of this host in the log of a target.
CALLER_LABEL: Final = "control"


@attrs.frozen(kw_only=True)
class StatusResult:
    """Result of reading the status of a target.

    :param status: its status, or None if it did not tell it in time
    :param is_reachable: whether its host accepted a connection
    """

    status: TargetStatus | None
    is_reachable: bool


@attrs.define(kw_only=True, eq=False)
class _Kept:
    """Connection that is opening or open.

    :param opening: result is whether the target opened it
    """

    connection: TargetConnection
    opening: asyncio.Task[bool]
    until_ns: int


@attrs.define(kw_only=True, eq=False)
class StatusReader:
    """Connections of a control host to targets, for their status.

    :param new_codec: builds the codec of a connection
    :param read_status: decodes an answer to a status request
    :param group_of: returns the group of a target
    """

    new_codec: Callable[[], TargetCodec]
    read_status: Callable[[Answer], TargetStatus | None]
    group_of: Callable[[str], str]
    _kept: dict[str, _Kept] = attrs.field(factory=dict, init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set, init=False)

    async def read(
        self,
        instance: Instance,
        deadline_ns: int,
        *,
        fresh: bool = False,
        demote_term: int = 0,
    ) -> StatusResult:
        """Read the status of a target.

        :param deadline_ns: :func:`clock_ns` time until which to wait
        :param fresh: whether to open another connection in any case
        :param demote_term: term of the present primary, to make the
            target a replica first if it leads an earlier one; 0 if not
        """
        kept = None if fresh else self._find(instance.name)
        if kept is None:
            kept = self._open(instance)
        used = [kept]
        request = (
            kept.connection.codec.encode_demote(demote_term)
            if demote_term
            else kept.connection.codec.encode_status()
        )
        tasks = {
            asyncio.create_task(self._read_over(kept, request, deadline_ns))
        }
        hedge_ns = clock_ns() + HEDGE_DELAY_MS * NS_PER_MS
        status = await _first_status(tasks, min(deadline_ns, hedge_ns))
        if status is None and tasks and not fresh:
            second = self._open(instance)
            used.append(second)
            tasks.add(
                asyncio.create_task(
                    self._read_over(second, request, deadline_ns)
                )
            )
        if status is None:
            status = await _first_status(tasks, deadline_ns)
        for task in tasks:
            task.cancel()
        return StatusResult(
            status=status,
            is_reachable=status is not None
            or any(each.connection.was_connected for each in used),
        )

    async def has_ended(
        self, target: str, *, group: str, address: str, deadline_ns: int
    ) -> bool:
        """Tell whether a target is known to run no more.

        That is the case if its address refuses a connection, or if
        another target answers there.  No answer tells nothing, nor does
        a connection that is reset, as a network may do that too.

        :param deadline_ns: :func:`clock_ns` time until which to wait
        """
        connection = self._new_connection(target)
        answer = await _open(
            connection, group=group, address=address, deadline_ns=deadline_ns
        )
        connection.abort()
        if answer.fault is FaultCode.LOST:
            return answer.text == ConnectionRefusedError.__name__
        return answer.fault is FaultCode.WRONG_TARGET

    async def _read_over(
        self, kept: _Kept, request: bytes, deadline_ns: int
    ) -> TargetStatus | None:
        is_open = await _is_done(kept.opening, deadline_ns)
        if not is_open or not kept.opening.result():
            return None
        return await self._ask(kept, request, deadline_ns)

    def _find(self, target: str) -> _Kept | None:
        kept = self._kept.get(target)
        if kept is None or clock_ns() >= kept.until_ns:
            return None
        is_closed = kept.connection.is_lost or (
            kept.opening.done() and not kept.opening.result()
        )
        return None if is_closed else kept

    def _open(self, instance: Instance) -> _Kept:
        connection = self._new_connection(instance.name)
        until_ns = clock_ns() + KEEP_MS * NS_PER_MS
        kept = _Kept(
            connection=connection,
            opening=asyncio.create_task(
                self._dial(connection, instance, until_ns)
            ),
            until_ns=until_ns,
        )
        self._kept[instance.name] = kept
        spawn(self._close_later(instance.name, kept), self._tasks)
        return kept

    async def _dial(
        self, connection: TargetConnection, instance: Instance, until_ns: int
    ) -> bool:
        answer = await _open(
            connection,
            group=self.group_of(instance.name),
            address=instance.address,
            deadline_ns=until_ns,
        )
        return answer.fault is None

    def _new_connection(self, target: str) -> TargetConnection:
        return TargetConnection(
            target=target, codec=self.new_codec(), on_lost=_ignore
        )

    async def _ask(
        self, kept: _Kept, request: bytes, deadline_ns: int
    ) -> TargetStatus | None:
        connection = kept.connection
        while clock_ns() < deadline_ns and not connection.is_lost:
            # The request stays in the target's queue if this attempt
            # ends before its answer, which belongs to no other one.
            asking = asyncio.create_task(
                connection.ask(request, deadline_ns=kept.until_ns)
            )
            if not await _is_done(asking, deadline_ns):
                return None
            answer = asking.result()
            if answer.fault is not FaultCode.BUSY:
                return self.read_status(answer)
            await asyncio.sleep(BUSY_PAUSE_S)
        return None

    async def _close_later(self, target: str, kept: _Kept) -> None:
        await asyncio.sleep((kept.until_ns - clock_ns()) / NS_PER_S)
        if self._kept.get(target) is kept:
            del self._kept[target]
        kept.connection.abort()


async def _open(
    connection: TargetConnection, *, group: str, address: str, deadline_ns: int
) -> Answer:
    """Connect to a target, which refuses unless it is the one named."""
    message = connection.codec.encode_open(
        group=group, label=CALLER_LABEL, target=connection.target
    )
    return await open_connection(
        connection, Address.parse(address), message, deadline_ns=deadline_ns
    )


async def _is_done(task: asyncio.Task[Any], deadline_ns: int) -> bool:
    """Wait for a task, which goes on after the deadline."""
    left_s = max(0.0, (deadline_ns - clock_ns()) / NS_PER_S)
    done, _ = await asyncio.wait([task], timeout=left_s)
    return bool(done)


async def _first_status(
    tasks: set[asyncio.Task[TargetStatus | None]], deadline_ns: int
) -> TargetStatus | None:
    """Wait for the first task that read a status.

    :param tasks: those that have ended are removed
    :return: the status, or None if all ended without one or the
        deadline passed
    """
    while tasks:
        left_s = max(0.0, (deadline_ns - clock_ns()) / NS_PER_S)
        done, _ = await asyncio.wait(
            tasks, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            return None
        tasks -= done
        for task in done:
            status = task.result()
            if status is not None:
                return status
    return None


def _ignore(connection: TargetConnection) -> None:
    del connection
