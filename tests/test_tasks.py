from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from rosemarysaddle import _tasks

if TYPE_CHECKING:
    import pytest


def _count_logged_errors(
    monkeypatch: pytest.MonkeyPatch, error: Exception | None
) -> int:
    logged: list[Any] = []
    monkeypatch.setattr(
        "rosemarysaddle._log.error",
        lambda *_, exc_info: logged.append(exc_info),
    )

    async def work() -> None:
        if error is not None:
            raise error

    async def run() -> None:
        tasks: set[asyncio.Task[None]] = set()
        task = _tasks.spawn(work(), tasks)
        assert task in tasks
        await asyncio.wait([task])
        await asyncio.sleep(0)
        assert not tasks

    asyncio.run(run())
    return len(logged)


def test_spawn_logs_exception(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _count_logged_errors(monkeypatch, ValueError("x")) == 1


def test_spawn_logs_nothing_on_success(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert _count_logged_errors(monkeypatch, None) == 0
