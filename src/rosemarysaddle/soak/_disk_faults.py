"""Disk of a control host that fails while a file says so.

Only the journal is affected.
"""

from __future__ import annotations

import enum
import errno
import os
import time
from typing import TYPE_CHECKING, Any, Final

import attrs

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ("FAULT_FILE_NAME", "DiskFault", "FaultyDisk")

FAULT_FILE_NAME: Final = "disk-fault"
SLOW_SYNC_S: Final = 0.15
POLL_INTERVAL_S: Final = 0.02


class DiskFault(enum.StrEnum):
    """What is wrong with a disk."""

    FULL = "full"
    SLOW = "slow"
    HANGING = "hanging"


@attrs.define(kw_only=True)
class FaultyDisk:
    """The module ``os`` for the journal, with faults of the disk.

    :param path: file that names the fault; there is none without it
    """

    path: Path

    def __getattr__(self, name: str) -> Any:
        """Return what does not use the disk's room or wait for it."""
        return getattr(os, name)

    @property
    def fault(self) -> str:
        """Present fault, or empty."""
        try:
            return self.path.read_text(encoding="utf-8")
        except FileNotFoundError:
            return ""

    def write(self, descriptor: int, data: memoryview) -> int:
        """Write data, of which a full disk takes only a part."""
        if self.fault != DiskFault.FULL:
            return os.write(descriptor, data)
        room = len(data) // 2
        if not room:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return os.write(descriptor, data[:room])

    def fsync(self, descriptor: int) -> None:
        """Sync a file, once the disk answers."""
        self._wait()
        os.fsync(descriptor)

    def fdatasync(self, descriptor: int) -> None:
        """Sync the data of a file, once the disk answers."""
        self._wait()
        os.fdatasync(descriptor)

    def _wait(self) -> None:
        if self.fault == DiskFault.SLOW:
            time.sleep(SLOW_SYNC_S)
        while self.fault == DiskFault.HANGING:
            time.sleep(POLL_INTERVAL_S)
