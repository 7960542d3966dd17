"""Starts a node on the users' platform.

The folder of the package comes first on the path instead of this
script's folder, so that no other module is imported in its place.
"""

from __future__ import annotations

import gc
import importlib
import os.path
import signal
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import ModuleType


def main() -> int:
    """Run the node that the platform's settings file describes."""
    # Nearly all objects that imports create stay: looking for others
    # takes a twentieth of the start. The node enables it again.
    gc.disable()
    # On the clock of leases, which `rosemarysaddle._clock` reads.  An
    # earlier process has answered no leader since then, so the wait
    # before the first vote includes the imports.
    started_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    # The node handles it once it runs, and reads the settings after
    # this; until then it would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    platform, node = import_packages()
    status: int = node.run_node(
        platform.UsersPlatform(), started_ns=started_ns
    )
    return status


def import_packages() -> tuple[ModuleType, ModuleType]:
    """Import the packages of the platform and of the node."""
    folder = os.path.dirname(os.path.abspath(__file__))  # noqa: PTH100, PTH120
    sys.path[0] = os.path.join(os.path.dirname(folder), "src")  # noqa: PTH118, PTH120
    imports = importlib.import_module("rosemarysaddle._imports")
    imports.import_without_openssl("asyncio", "hashlib", "hmac")
    platform = importlib.import_module("rosemarysaddle.platform")
    return platform, importlib.import_module("rosemarysaddle.node")


if __name__ == "__main__":
    sys.exit(main())
