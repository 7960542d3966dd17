"""Process of one node: settings, signals, start and stop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Final

from rosemarysaddle import _log as logging
from rosemarysaddle._limits import raise_file_limit
from rosemarysaddle._logging import set_up_logging
from rosemarysaddle._process import (
    IO_EXIT_STATUS,
    SOFTWARE_EXIT_STATUS,
    end_process,
    spawn_lasting,
)
from rosemarysaddle.schema import Node, SchemaFault, load_file

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.node._control import ControlHost
    from rosemarysaddle.node._entry import EntryHost
    from rosemarysaddle.node._platform import Platform

__all__ = ("run_node", "watch_settings")

# Time of change, inode and size of a file.
_Fingerprint = tuple[int, int, int]

# Short enough that changed seeds apply within the lag allowed for them.
SETTINGS_POLL_S: Final = 1.0


def run_node(platform: Platform, *, started_ns: int) -> int:
    """Run the host that the settings describe, then end the process.

    :param started_ns: :func:`clock_ns` time at which the launcher
        began, before its imports
    :return: exit status
    """
    raise_file_limit()
    path = platform.settings_path(os.environ)
    fingerprint = _file_fingerprint(path)
    settings = load_file(Node, path)
    if isinstance(settings, SchemaFault):
        sys.stderr.write(f"{settings}\n")
        return 2
    set_up_logging(settings.host)
    host = _build_host(settings, platform, started_ns)
    asyncio.run(_serve_and_end(host, path, fingerprint))
    return 0


def _build_host(
    settings: Node, platform: Platform, started_ns: int
) -> EntryHost | ControlHost:
    # Each role imports only what it uses: imports cost start time.
    if settings.role == "control":
        from rosemarysaddle.node._control import (  # noqa: PLC0415
            ControlHost,
        )

        return ControlHost(
            settings=settings, platform=platform, started_ns=started_ns
        )
    from rosemarysaddle.node._entry import EntryHost  # noqa: PLC0415

    return EntryHost(
        settings=settings, platform=platform, started_ns=started_ns
    )


async def _serve_and_end(
    host: EntryHost | ControlHost, path: str, fingerprint: _Fingerprint | None
) -> None:
    """Serve, then end the process from within the event loop.

    Python would wait for all threads, some of which wait for the loop.
    """
    try:
        await _serve(host, path, fingerprint)
    except Exception as error:  # noqa: BLE001  # told by the exit status
        is_io = isinstance(error, OSError)
        status = IO_EXIT_STATUS if is_io else SOFTWARE_EXIT_STATUS
        logging.error("event=process-ended status=%d", status, exc_info=error)
        end_process(status)
    end_process(0)


async def _serve(
    host: EntryHost | ControlHost, path: str, fingerprint: _Fingerprint | None
) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, host, path)
    await host.start()
    # Launching disables the collection of cyclic garbage; what exists
    # now stays for as long as the process.
    gc.freeze()
    gc.enable()
    watch_task = spawn_lasting(
        watch_settings(path, lambda: _reload(host, path), since=fingerprint),
        set(),
        name="watch-settings",
    )
    await stop_requested.wait()
    watch_task.cancel()
    await host.stop()


async def watch_settings(
    path: str,
    reload: Callable[[], None],
    *,
    since: _Fingerprint | None = None,
) -> None:
    """Call a function whenever the settings file changes.

    :param path: path of the settings file
    :param reload: called after each change
    :param since: state of the file when the settings in force were
        read; its present state if unknown
    """
    last = since or _file_fingerprint(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        current = _file_fingerprint(path)
        if current not in {last, None}:
            last = current
            reload()


def _file_fingerprint(path: str) -> _Fingerprint | None:
    try:
        status = os.stat(path)  # noqa: PTH116  # pathlib is slow to import
    except OSError:
        # The file is being replaced; the next poll finds the new one.
        return None
    return (status.st_mtime_ns, status.st_ino, status.st_size)


def _reload(host: EntryHost | ControlHost, path: str) -> None:
    settings = load_file(Node, path)
    if isinstance(settings, SchemaFault):
        logging.error("event=reload-refused reason=%s", settings)
        return
    if settings != host.settings:
        host.reload(settings)
