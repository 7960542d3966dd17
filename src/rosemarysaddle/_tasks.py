"""Background tasks of the event loop whose exceptions are logged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from rosemarysaddle import _log as logging

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ("spawn",)


def spawn(
    coroutine: Coroutine[Any, Any, None],
    tasks: set[asyncio.Task[None]] | None = None,
) -> asyncio.Task[None]:
    """Run a coroutine in the background; log an exception it raises.

    :param coroutine: work of the task
    :param tasks: set that holds the task while it runs
    :return: the running task
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    if tasks is not None:
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    task.add_done_callback(_log_exception)
    return task


def _log_exception(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logging.error("event=defect", exc_info=error)
