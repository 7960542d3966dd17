from __future__ import annotations

from rosemarysaddle.schema import generate


def test_messages_match_their_schema() -> None:
    committed = (generate.FOLDER / "_messages.py").read_text()

    assert generate.render_messages() == committed


def test_documents_match_their_schemas() -> None:
    committed = (generate.FOLDER / "_documents.py").read_text()

    assert generate.render_documents() == committed
