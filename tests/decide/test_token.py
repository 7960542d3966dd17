from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.decide import (
    LogPoint,
    Reason,
    Refusal,
    SessionToken,
    TokenCodec,
)

OLD = TokenCodec(keys=(b"a" * 32,))
ROTATED = TokenCodec(keys=(b"b" * 32, b"a" * 32))
NEW = TokenCodec(keys=(b"b" * 32,))
POINT = LogPoint(term=3, position=17)


def test_decode_returns_what_was_encoded() -> None:
    token = SessionToken().advance("db-1", POINT)

    decoded = OLD.decode(OLD.encode(token))

    assert isinstance(decoded, SessionToken)
    assert decoded.point("db-1") == POINT
    assert decoded.point("db-2") == LogPoint(term=0, position=0)


def test_decode_accepts_old_key_during_rotation() -> None:
    text = OLD.encode(SessionToken().advance("db-1", POINT))

    assert isinstance(ROTATED.decode(text), SessionToken)
    assert isinstance(NEW.decode(text), Refusal)


def test_advance_ignores_older_write() -> None:
    token = SessionToken().advance("db-1", POINT)

    older = token.advance("db-1", LogPoint(term=2, position=99))

    assert older.point("db-1") == POINT


@given(st.text(max_size=200))
def test_decode_refuses_unsigned_text(text: str) -> None:
    refusal = OLD.decode(text)

    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.BAD_TOKEN


@pytest.mark.parametrize("position", [0, 10, 20, 30])
def test_decode_and_verify_refuse_changed_text(position: int) -> None:
    text = OLD.encode(SessionToken().advance("db-1", POINT))
    flipped = "A" if text[position] != "A" else "B"

    forged = text[:position] + flipped + text[position + 1 :]

    assert isinstance(OLD.decode(forged), Refusal)
    assert OLD.verify(OLD.sign("x~y")) == "x~y"
    assert OLD.verify("x~y~" + "0" * 32) is None
