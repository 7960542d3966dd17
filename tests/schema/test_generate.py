from __future__ import annotations

from rosemarysaddle.schema import generate


def test_render_messages_matches_committed_module() -> None:
    committed = (generate.FOLDER / "_messages.py").read_text()

    assert generate.render_messages() == committed


def test_render_documents_matches_committed_module() -> None:
    committed = (generate.FOLDER / "_documents.py").read_text()

    assert generate.render_documents() == committed


def test_render_readers_matches_committed_module() -> None:
    committed = (generate.FOLDER / "_readers.py").read_text()

    assert generate.render_readers() == committed
