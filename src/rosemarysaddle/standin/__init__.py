"""Stand-in targets: SQLite databases behind the MySQL protocol."""

from __future__ import annotations

from rosemarysaddle.standin._daemon import (
    StandInDaemon,
    announce,
    announcement_of,
    load_stand_in,
)
from rosemarysaddle.standin._group import StandInGroup
from rosemarysaddle.standin._instance import (
    InstanceFaults,
    LogRecord,
    StandInInstance,
)
from rosemarysaddle.standin._server import StandInServer

__all__ = (
    "InstanceFaults",
    "LogRecord",
    "StandInDaemon",
    "StandInGroup",
    "StandInInstance",
    "StandInServer",
    "announce",
    "announcement_of",
    "load_stand_in",
)
