"""Limits of the process."""

from __future__ import annotations

import resource

__all__ = ("raise_file_limit",)


def raise_file_limit() -> int:
    """Allow as many open files as the system grants this process.

    :return: the limit in force
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard
