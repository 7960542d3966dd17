"""Command that runs a node: ``python -m rosemarysaddle.platform``."""

from __future__ import annotations

import sys

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.node import run_node
from rosemarysaddle.platform import UsersPlatform

if __name__ == "__main__":
    sys.exit(run_node(UsersPlatform(), started_ns=clock_ns()))
