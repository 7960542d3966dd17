"""Runtime of a host in front of MySQL targets.

Connects the state machines of :mod:`rosemarysaddle.decide` to
sockets, disk, timers and worker threads.
"""

from __future__ import annotations

from rosemarysaddle.daemon._host import HostDaemon
from rosemarysaddle.daemon._shared_node import SharedEntryNode

__all__ = ("HostDaemon", "SharedEntryNode")
