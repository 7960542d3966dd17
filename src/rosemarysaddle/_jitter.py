"""Jitter that keeps hosts from asking for votes at the same time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("election_jitter",)

ELECTION_JITTER_MS: Final = 400


def election_jitter(name: str) -> Iterator[int]:
    """Endless jitter of a host's elections, in milliseconds.

    :param name: seed; hosts differ by it
    """
    source = random.Random(name)  # noqa: S311
    while True:
        yield source.randrange(ELECTION_JITTER_MS)
