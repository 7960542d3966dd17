"""Runs a host of the platform whose disk may fail.

Start it with ``python -m`` in place of ``rosemarysaddle.platform``.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.node import run_node
from rosemarysaddle.platform import UsersPlatform
from rosemarysaddle.soak._disk_faults import FAULT_FILE_NAME, FaultyDisk
from rosemarysaddle.store import _journal


def _run() -> int:
    platform = UsersPlatform()
    settings_path = Path(platform.settings_path(os.environ))
    disk = FaultyDisk(path=settings_path.with_name(FAULT_FILE_NAME))
    vars(_journal)["os"] = disk
    return run_node(platform, started_ns=clock_ns())


if __name__ == "__main__":
    sys.exit(_run())
