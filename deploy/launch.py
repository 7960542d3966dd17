"""Start of a node on the users' platform.

The package's folder is put first on the path, so that nothing beside it
can be imported in its place.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path


def main() -> int:
    """Run the node that the platform's settings describe."""
    sys.path[0] = str(Path(__file__).resolve().parent.parent / "src")
    platform = importlib.import_module("rosemarysaddle.platform")
    node = importlib.import_module("rosemarysaddle.node")
    status: int = node.run_node(platform.UsersPlatform())
    return status


if __name__ == "__main__":
    sys.exit(main())
