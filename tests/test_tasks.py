from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from rosemarysaddle import _tasks

if TYPE_CHECKING:
    import pytest


def _count_logged_errors(
    monkeypatch: pytest.MonkeyPatch, error: Exception | None
) -> int:
    told: list[Any] = []
    monkeypatch.setattr(
        "absl.logging.error", lambda *_, exc_info: told.append(exc_info)
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
    return len(told)


def test_spawn_tells_a_defect(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _count_logged_errors(monkeypatch, ValueError("x")) == 1


def test_spawn_says_nothing_of_work_that_is_done(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert _count_logged_errors(monkeypatch, None) == 0
