"""Starts a node on the users' platform.

The folder of the package comes first on the path instead of this
script's folder, so that no other module is imported in its place.
"""

from __future__ import annotations

import gc
import importlib
import os.path
import sys


def main() -> int:
    """Run the node that the platform's settings file describes."""
    # Nearly all objects that imports create stay: looking for others
    # takes a twentieth of the start. The node enables it again.
    gc.disable()
    folder = os.path.dirname(os.path.abspath(__file__))  # noqa: PTH100, PTH120
    sys.path[0] = os.path.join(os.path.dirname(folder), "src")  # noqa: PTH118, PTH120
    _import_asyncio_without_ssl()
    platform = importlib.import_module("rosemarysaddle.platform")
    node = importlib.import_module("rosemarysaddle.node")
    status: int = node.run_node(platform.UsersPlatform())
    return status


def _import_asyncio_without_ssl() -> None:
    """Import asyncio as on a Python without OpenSSL.

    The links between the hosts of the platform are plain TCP. Without
    OpenSSL, a host starts sooner and takes 1.5 MB less. Later imports
    of ``ssl`` succeed.
    """
    if "ssl" in sys.modules:
        return
    # An entry of None makes an import fail; asyncio then does without.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    try:
        importlib.import_module("asyncio")
    finally:
        del sys.modules["ssl"]


if __name__ == "__main__":
    sys.exit(main())
