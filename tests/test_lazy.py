from __future__ import annotations

import pytest

from rosemarysaddle import decide, node


@pytest.mark.parametrize("package", [decide, node])
def test_each_public_name_can_be_imported(package: object) -> None:
    """Guards against a name that only type checkers can import."""
    missing = [n for n in package.__all__ if not hasattr(package, n)]  # type: ignore[attr-defined]

    assert not missing


def test_unknown_name_is_refused() -> None:
    with pytest.raises(AttributeError, match="no attribute 'Absent'"):
        _ = decide.Absent
