"""Earlier builds, and their replacement by the present one."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import subprocess
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemarysaddle.soak._faults import FaultContext
    from rosemarysaddle.soak._nodes import Node

__all__ = ("checked_out_build", "replace_builds")

# A host is back before the next one stops; a control host has also
# caught up.
ENTRY_PAUSE_S: Final = 1.0
CONTROL_PAUSE_S: Final = 4.0


@contextlib.contextmanager
def checked_out_build(commit: str) -> Iterator[Path]:
    """Check a commit of this repository out into a folder of its own.

    :param commit: any name that git knows it by
    :return: folder of its sources
    """
    folder = Path(tempfile.mkdtemp(prefix="rosemarysaddle-build-"))
    repository = Path(__file__).parents[3]
    _git(repository, "worktree", "add", "--detach", str(folder), commit)
    try:
        yield folder / "src"
    finally:
        _git(repository, "worktree", "remove", "--force", str(folder))
        shutil.rmtree(folder, ignore_errors=True)


async def replace_builds(context: FaultContext, earlier: Path) -> None:
    """Replace the processes of an earlier build one after the other.

    Half of the hosts go back to it once, as in an upgrade that is
    undone, so that each build reads what the other one has stored.

    :param earlier: folder of the sources of the earlier build
    """
    nodes = context.rng.sample(context.nodes.all, len(context.nodes.all))
    for node in nodes:
        await _replace(context, node, None)
    undone = nodes[: len(nodes) // 2]
    for node in undone:
        await _replace(context, node, earlier)
    for node in undone:
        await _replace(context, node, None)


async def _replace(
    context: FaultContext, node: Node, sources: Path | None
) -> None:
    is_control = node in context.nodes.control
    group = context.nodes.control if is_control else [node]
    names = {each.name for each in group}
    await context.reserve(names)
    await asyncio.to_thread(node.stop_process, signal.SIGTERM)
    node.sources = sources
    node.start()
    await asyncio.sleep(CONTROL_PAUSE_S if is_control else ENTRY_PAUSE_S)
    await context.release(names)


def _git(repository: Path, *arguments: str) -> None:
    subprocess.run(  # noqa: S603
        ["git", "-C", str(repository), *arguments],  # noqa: S607
        check=True,
        capture_output=True,
    )
