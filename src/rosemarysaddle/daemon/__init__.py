"""Daemons: sockets, disk and timers around the decisions."""

from __future__ import annotations

from rosemarysaddle.daemon._host import HostDaemon
from rosemarysaddle.daemon._shared_node import SharedEntryNode

__all__ = ("HostDaemon", "SharedEntryNode")
