"""Jitter of election time-outs.

It makes it rare that several hosts start an election at the same time.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("election_jitter",)

ELECTION_JITTER_MS: Final = 400


def election_jitter(name: str) -> Iterator[int]:
    """Yield the jitter of successive election time-outs, without end.

    :param name: seed; must differ between hosts
    :return: delays in milliseconds
    """
    source = random.Random(name)  # noqa: S311
    while True:
        yield source.randrange(ELECTION_JITTER_MS)
