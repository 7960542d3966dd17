"""Callers that keep their connections open until these are lost."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._check import NOT_RUN, Ack, ReadCall
from rosemarysaddle.soak._nodes import SESSIONS_PORT
from rosemarysaddle.soak._platform import DATABASES

if TYPE_CHECKING:
    import random

    from rosemarysaddle.soak._check import CallHistory

__all__ = ("Caller",)

ANSWER_TIMEOUT_S: Final = 8.0
THINK_TIME_S: Final = 0.03
# Share of writes and of transactions that write.
WRITE_SHARE: Final = 0.6
RECONNECT_DELAY_S: Final = 0.1


@attrs.frozen(kw_only=True)
class _Response:
    code: str
    row: str = ""
    target: str = ""


@attrs.define(kw_only=True, eq=False)
class Caller:
    """One caller, the only writer of its own key.

    :param key: second word of its START
    :param database: determines the freshness of its reads
    :param ips: IP addresses of the entry hosts
    :param only_writes: whether it does not read
    :param value: last value sent; increases with each write
    :param writes_done: number of acknowledged writes and transactions
    """

    name: str
    key: str
    database: str
    ips: list[str]
    rng: random.Random
    call_history: CallHistory
    only_writes: bool = False
    value: int = 0
    writes_done: int = 0
    _sessions: int = attrs.field(default=0, init=False)
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None
    _number: int = attrs.field(default=0, init=False)

    async def call_until(self, ended: asyncio.Event) -> None:
        """Make calls until the event is set."""
        while not ended.is_set():
            if self._writer is None and not await self._connect():
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._run_operation()
            await asyncio.sleep(THINK_TIME_S)
        self._close()

    async def _run_operation(self) -> None:
        choice = self.rng.random()
        if self.only_writes:
            choice *= WRITE_SHARE
        if choice < 0.4:  # noqa: PLR2004
            await self._write()
        elif choice < WRITE_SHARE:
            await self._run_transaction()
        else:
            await self._read()

    async def _connect(self) -> bool:
        ip = self.rng.choice(self.ips)
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    ip, SESSIONS_PORT
                )
        except (OSError, TimeoutError):
            return False
        self._sessions += 1
        response = await self._exchange(f"START {self.database} {self.key}")
        return response.code == "READY"

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _write(self) -> None:
        self.value += 1
        request_id, response = await self._query(
            f"WRITE {self.name} {self.value}"
        )
        self._record_outcome([(request_id, self.value)], response.code)

    async def _run_transaction(self) -> None:
        _, response = await self._query("BEGIN")
        writes: list[tuple[str, int]] = []
        for _ in range(2):
            if response.code != "DONE":
                break
            self.value += 1
            request_id, response = await self._query(
                f"WRITE {self.name} {self.value}"
            )
            writes.append((request_id, self.value))
        if response.code == "DONE":
            _, response = await self._query("COMMIT")
            self._record_outcome(writes, response.code)
            return
        # Without a COMMIT none of the writes may be stored.
        self.call_history.rejected.update(
            request_id for request_id, _ in writes
        )
        if self._writer is not None:
            await self._query("ROLLBACK")

    def _record_outcome(
        self, writes: list[tuple[str, int]], code: str
    ) -> None:
        if code == "DONE":
            for request_id, value in writes:
                self.call_history.acknowledged[request_id] = value
            now_s = time.monotonic()
            self.call_history.acks.extend(
                Ack(at_s=now_s, request_id=request_id, session=self._session)
                for request_id, _ in writes
            )
            self.writes_done += 1
        elif code in NOT_RUN:
            self.call_history.rejected.update(r for r, _ in writes)

    async def _read(self) -> None:
        asked_s = time.monotonic()
        request_id, response = await self._query(f"READ {self.name}")
        if response.code == "DONE":
            self.call_history.reads.append(
                ReadCall(
                    asked_s=asked_s,
                    request_id=request_id,
                    freshness=DATABASES[self.database],
                    session=self._session,
                    target=response.target,
                    value=int(response.row),
                )
            )

    @property
    def _session(self) -> str:
        return f"{self.name}/{self._sessions}"

    async def _query(self, text: str) -> tuple[str, _Response]:
        self._number += 1
        request_id = f"{self.name}-{self._number}"
        if self._writer is None:
            return request_id, _Response(code="LOST")
        response = await self._exchange(f"QUERY {request_id} {text}")
        self.call_history.told[response.code] += 1
        return request_id, response

    async def _exchange(self, line: str) -> _Response:
        reader, writer = self._reader, self._writer
        assert reader is not None  # noqa: S101
        assert writer is not None  # noqa: S101
        code, row, target = "", "", ""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(f"{line}\r\n".encode())
                while data := await reader.readline():
                    keyword, _, rest = data.decode().strip().partition(" ")
                    if keyword == "ROW":
                        row = rest
                    elif keyword == "READY":
                        return _Response(
                            code=code or keyword, row=row, target=target
                        )
                    else:
                        target = rest.partition(".")[0]
                        code = (
                            rest.split()[0] if keyword == "ERROR" else keyword
                        )
        self._close()
        # A refusal counts as an answer even if it ends the session.
        return _Response(code=code if code in NOT_RUN else "LOST")
