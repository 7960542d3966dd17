from __future__ import annotations

from pathlib import Path

import pytest

from rosemarysaddle.run import check

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", ["control", "entry", "stand-in"])
def test_check_accepts_example_of_each_process(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = str(EXAMPLES / f"{name}.json")

    assert check(file) == 0
    assert capsys.readouterr().out == f"{file}: valid\n"


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ('{"seeds": [], "color": 1}', "color"),
        ('{"instances": [], "color": 1}', "color"),
        ('{"color": 1}', "color"),
        ("3", "object"),
        ("{", "Unclosed"),
    ],
    ids=["host", "stand-in", "entry", "number", "unreadable"],
)
def test_check_rejects_file(
    text: str, reason: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "settings.json"
    file.write_text(text, encoding="utf-8")

    assert check(str(file)) == 2
    assert reason in capsys.readouterr().err
