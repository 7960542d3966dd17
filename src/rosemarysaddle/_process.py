"""End of the process, and tasks and threads that last as long as it.

A process in which such a task or thread has ended would listen and do
nothing, so it ends as a whole and is started again.
"""

from __future__ import annotations

import asyncio
import logging
import os
import threading
from typing import TYPE_CHECKING, Any, Final, NoReturn

from rosemarysaddle import _log

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

__all__ = (
    "IO_EXIT_STATUS",
    "SOFTWARE_EXIT_STATUS",
    "end_process",
    "repeat",
    "spawn_lasting",
    "start_lasting_thread",
)

# Of sysexits.h: an internal error, and an error of input or output.
SOFTWARE_EXIT_STATUS: Final = 70
IO_EXIT_STATUS: Final = 74
# A log reader that is stuck does not keep the process alive.
FLUSH_TIMEOUT_S: Final = 0.5


def end_process(status: int) -> NoReturn:
    """End the process at once, whatever its threads and tasks do.

    The lines logged so far are written first.

    :param status: exit status
    """
    flusher = threading.Thread(target=logging.shutdown, daemon=True)
    flusher.start()
    flusher.join(FLUSH_TIMEOUT_S)
    os._exit(status)


def spawn_lasting(
    coroutine: Coroutine[Any, Any, None],
    tasks: set[asyncio.Task[None]],
    *,
    name: str,
) -> asyncio.Task[None]:
    """Run a task without which the process is of no use.

    Unless the task is cancelled, its end is the end of the process.

    :param tasks: set that holds the task while it runs
    """
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    task.add_done_callback(_end_unless_cancelled)
    return task


def start_lasting_thread(
    target: Callable[[], None],
    *,
    name: str,
    is_stopping: Callable[[], bool],
) -> threading.Thread:
    """Start a thread without which the process is of no use.

    Its end is the end of the process.

    :param is_stopping: whether the thread was asked to end
    """

    def run() -> None:
        error: BaseException | None = None
        try:
            target()
        except BaseException as raised:  # noqa: BLE001  # SystemExit too
            error = raised
        if not is_stopping():
            _end_for(f"thread:{name}", error)

    thread = threading.Thread(target=run, name=name, daemon=True)
    thread.start()
    return thread


async def repeat(
    step: Callable[[], None],
    *,
    name: str,
    interval_s: float,
    tolerated_faults: int = 0,
) -> None:
    """Run a step again and again.

    :param name: name of the step in the log
    :param interval_s: time between two runs, in seconds
    :param tolerated_faults: number of runs in a row that may raise
    :raises Exception: what a run raised beyond that number
    """
    faults = 0
    while True:
        try:
            step()
            faults = 0
        except Exception as error:
            faults += 1
            if faults > tolerated_faults:
                raise
            _log.error(
                "event=defect step=%s faults=%d", name, faults, exc_info=error
            )
        await asyncio.sleep(interval_s)


def _end_unless_cancelled(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        _end_for(f"task:{task.get_name()}", task.exception())


def _end_for(name: str, error: BaseException | None) -> None:
    try:
        _log.error(
            "event=process-ended status=%d cause=%s reason=%r",
            SOFTWARE_EXIT_STATUS,
            name,
            error,
        )
        _log.error("event=defect step=%s", name, exc_info=error)
    finally:
        end_process(SOFTWARE_EXIT_STATUS)
