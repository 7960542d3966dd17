"""Resource limits of the process."""

from __future__ import annotations

import resource

__all__ = ("raise_file_limit",)


def raise_file_limit() -> int:
    """Raise the limit of open files to the hard limit.

    :return: the limit now in force
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard
