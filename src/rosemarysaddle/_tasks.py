"""Tasks of the event loop whose defects are told."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ("spawn",)


def spawn(
    work: Coroutine[Any, Any, None],
    tasks: set[asyncio.Task[None]] | None = None,
) -> asyncio.Task[None]:
    """Run work on its own; a defect in it is logged.

    :param jobs: set that holds the task while it runs
    """
    task = asyncio.get_running_loop().create_task(work)
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
