"""Starts a node on the users' platform.

The folder of the package comes first on the path instead of this
script's folder, so that no other module is imported in its place.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path


def main() -> int:
    """Run the node that the platform's settings file describes."""
    sys.path[0] = str(Path(__file__).resolve().parent.parent / "src")
    platform = importlib.import_module("rosemarysaddle.platform")
    node = importlib.import_module("rosemarysaddle.node")
    status: int = node.run_node(platform.UsersPlatform())
    return status


if __name__ == "__main__":
    sys.exit(main())
