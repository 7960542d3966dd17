"""Daemons: sockets, disk and timers around the decisions."""

from __future__ import annotations

from rosemarysaddle.daemon._gate import Gate
from rosemarysaddle.daemon._host import HostDaemon

__all__ = ("Gate", "HostDaemon")
