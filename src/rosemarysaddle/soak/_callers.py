"""Callers that keep their connections open as long as they last."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.soak._check import NOT_RUN
from rosemarysaddle.soak._nodes import SESSIONS_PORT
from rosemarysaddle.soak._platform import DATABASES, MAX_STALENESS_MS

if TYPE_CHECKING:
    import random

    from rosemarysaddle.soak._check import CallHistory

__all__ = ("Caller",)

ANSWER_TIMEOUT_S: Final = 8.0
THINK_TIME_S: Final = 0.03
RECONNECT_DELAY_S: Final = 0.1


@attrs.frozen(kw_only=True)
class _Response:
    code: str
    row: str = ""


@attrs.define(kw_only=True, eq=False)
class Caller:
    """One caller with a key of its own, which only it writes.

    :param database: gives the freshness of its reads
    :param acknowledged: last value and time of each acknowledgement
    """

    name: str
    database: str
    ips: list[str]
    rng: random.Random
    call_history: CallHistory
    value: int = 0
    acknowledged: list[tuple[float, int]] = attrs.field(factory=list)
    writes_done: int = 0
    _session_value: int = attrs.field(default=0, init=False)
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None
    _number: int = attrs.field(default=0, init=False)

    async def call_until(self, ended: asyncio.Event) -> None:
        """Call until told to end."""
        while not ended.is_set():
            if self._writer is None and not await self._connect():
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._run_operation()
            await asyncio.sleep(THINK_TIME_S)
        self._close()

    async def _run_operation(self) -> None:
        choice = self.rng.random()
        if choice < 0.4:  # noqa: PLR2004
            await self._write()
        elif choice < 0.6:  # noqa: PLR2004
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
        self._session_value = 0
        told = await self._exchange(f"START {self.database} {self.name}")
        return told.code == "READY"

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _write(self) -> None:
        self.value += 1
        request_id, told = await self._query(f"WRITE {self.name} {self.value}")
        self._record_outcome([(request_id, self.value)], told.code)

    async def _run_transaction(self) -> None:
        _, told = await self._query("BEGIN")
        writes: list[tuple[str, int]] = []
        for _ in range(2):
            if told.code != "DONE":
                break
            self.value += 1
            request_id, told = await self._query(
                f"WRITE {self.name} {self.value}"
            )
            writes.append((request_id, self.value))
        if told.code == "DONE":
            _, told = await self._query("COMMIT")
            self._record_outcome(writes, told.code)
            return
        # Nothing of a transaction without its COMMIT is kept.
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
            last = writes[-1][1]
            self.acknowledged.append((time.monotonic(), last))
            self._session_value = last
            self.writes_done += 1
        elif code in NOT_RUN:
            self.call_history.rejected.update(r for r, _ in writes)

    async def _read(self) -> None:
        asked_s = time.monotonic()
        wanted = self._expected_value(asked_s)
        _, told = await self._query(f"READ {self.name}")
        if told.code == "DONE" and int(told.row) < wanted:
            self.call_history.stale.append(
                f"{self.name} at {self.database} read {told.row},"
                f" had to see {wanted}"
            )

    def _expected_value(self, asked_s: float) -> int:
        """Find the value that a read asked now has to see."""
        limit_s = asked_s
        if DATABASES[self.database] != "primary":
            limit_s -= MAX_STALENESS_MS / 1_000
        seen = [v for at_s, v in self.acknowledged if at_s <= limit_s]
        least = seen[-1] if seen else 0
        if DATABASES[self.database] == "read_your_writes":
            return max(least, self._session_value)
        return least

    async def _query(self, text: str) -> tuple[str, _Response]:
        self._number += 1
        request_id = f"{self.name}-{self._number}"
        if self._writer is None:
            return request_id, _Response(code="LOST")
        told = await self._exchange(f"QUERY {request_id} {text}")
        self.call_history.told[told.code] += 1
        return request_id, told

    async def _exchange(self, line: str) -> _Response:
        reader, writer = self._reader, self._writer
        assert reader is not None  # noqa: S101
        assert writer is not None  # noqa: S101
        code, row = "", ""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(f"{line}\r\n".encode())
                while data := await reader.readline():
                    word, _, rest = data.decode().strip().partition(" ")
                    if word == "ROW":
                        row = rest
                    elif word == "READY":
                        return _Response(code=code or word, row=row)
                    else:
                        code = rest.split()[0] if word == "ERROR" else word
        self._close()
        # A refusal that ends the session is an answer all the same.
        return _Response(code=code if code in NOT_RUN else "LOST")
