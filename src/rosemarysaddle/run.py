"""Command line: parses, sets up reporting and hands over."""

from __future__ import annotations

import asyncio
import enum
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import defopt
from absl import logging

from rosemarysaddle._limits import raise_file_limit
from rosemarysaddle.daemon import HostDaemon
from rosemarysaddle.demo import DEPLOYMENTS, play
from rosemarysaddle.schema import (
    Inventory,
    Rules,
    SchemaFault,
    Settings,
    load_file,
)
from rosemarysaddle.serve import EntryServer
from rosemarysaddle.standin import StandInDaemon, load_stand_in

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ("main",)


class DeploymentName(enum.StrEnum):
    """Deployments that the demonstration plays."""

    CO_OPERATIVE = "co-operative"
    FOUNDATION = "foundation"


class DocumentName(enum.StrEnum):
    """Kinds of files that can be checked."""

    SETTINGS = "settings"
    INVENTORY = "inventory"
    RULES = "rules"


def demo(
    *,
    deployment: DeploymentName = DeploymentName.CO_OPERATIVE,
    seed: int = 1,
    report: str = "",
) -> int:
    """Play a deployment under faults and check it.

    :param deployment: deployment to play
    :param seed: seed of the callers' choices
    :param report: file for the report in JSON
    """
    result = play(DEPLOYMENTS[deployment], seed=seed)
    if report:
        Path(report).write_text(result.to_json(), encoding="utf-8")
    print(result.to_text())
    return 1 if result.violations else 0


def entry(*, settings: str) -> int:
    """Run an entry host until it is told to stop.

    :param settings: file with the settings
    """
    return _run_host(settings)


def control(*, settings: str) -> int:
    """Run a control host until it is told to stop.

    :param settings: file with the settings
    """
    return _run_host(settings)


def stand_in(*, settings: str) -> int:
    """Run stand-in targets until told to stop.

    :param settings: file with the settings of the stand-ins
    """
    loaded = load_stand_in(settings)
    if isinstance(loaded, SchemaFault):
        return _complain(loaded)
    server = StandInDaemon(settings=loaded)
    return _serve(server.start, server.stop)


def check(kind: DocumentName, file: str) -> int:
    """Check a file and say what is wrong with it.

    :param kind: kind of the file
    :param file: path of the file
    """
    kinds: dict[str, type[Settings | Inventory | Rules]] = {
        DocumentName.SETTINGS: Settings,
        DocumentName.INVENTORY: Inventory,
        DocumentName.RULES: Rules,
    }
    loaded = load_file(kinds[kind], file)
    if isinstance(loaded, SchemaFault):
        return _complain(loaded)
    print(f"{file}: good")
    return 0


def main() -> None:
    """Run the command that the arguments name."""
    raise_file_limit()
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    commands = {
        "demo": demo,
        "entry": entry,
        "control": control,
        "stand-in": stand_in,
        "check": check,
    }
    sys.exit(defopt.run(commands, show_defaults=True))


def _run_host(path: str) -> int:
    settings = load_file(Settings, path)
    if isinstance(settings, SchemaFault):
        return _complain(settings)
    server = EntryServer(daemon=HostDaemon(settings=settings))
    return _serve(server.start, server.stop)


def _serve(
    start: Callable[[], Awaitable[None]], stop: Callable[[], Awaitable[None]]
) -> int:
    async def serve() -> None:
        ended = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ended.set)
        await start()
        await ended.wait()
        await stop()

    asyncio.run(serve())
    return 0


def _complain(fault: SchemaFault) -> int:
    print(fault, file=sys.stderr)
    return 2


if __name__ == "__main__":
    main()
