from __future__ import annotations

import random
from typing import TYPE_CHECKING

from rosemarysaddle.soak._keys import KeyRemoval, TeamKeys

if TYPE_CHECKING:
    from pathlib import Path


async def _change() -> bool:
    return True


def _keys() -> TeamKeys:
    return TeamKeys(
        names=("a1", "b1"),
        change=_change,
        rng=random.Random(1),  # noqa: S311
    )


def test_statements_under_a_removed_key_are_found(tmp_path: Path) -> None:
    keys = _keys()
    keys.removals.append(KeyRemoval(team="a1", from_s=10, until_s=20))
    statements = [
        (14.9, "a1-1"),
        (15.1, "a1-2"),
        (15.1, "b1-2"),
        (20.1, "a1-3"),
    ]

    assert keys.find_violations(statements, tmp_path) == [
        "a1-2 ran 5.1 s after its key was removed"
    ]


def test_key_in_a_log_is_found(tmp_path: Path) -> None:
    for name, text in (("e1", "START own key-of-a1"), ("e2", "START own")):
        (tmp_path / name).mkdir()
        (tmp_path / name / "log").write_text(text)

    assert _keys().find_violations([], tmp_path) == [
        f"{tmp_path}/e1/log: has a key"
    ]
