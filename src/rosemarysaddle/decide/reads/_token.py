"""Session tokens: the newest write of a session in each group.

A session sends its token with a read, so that the read includes its own
writes.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._reasons import Reason, Refusal, Step

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("LogPoint", "SessionToken", "TokenCodec")

MAX_TOKEN_CHARS: Final = 4_096
MAX_GROUPS: Final = 32
MAC_BYTES: Final = 16


@attrs.frozen(kw_only=True, order=True)
class LogPoint:
    """Position in the log of a group, ordered by term first.

    :param term: term of the group in which the position was reached
    :param position: position in the log
    """

    term: int
    position: int

    def __str__(self) -> str:
        """Return the position as the log of a host shows it."""
        return f"{self.term}.{self.position}"


@attrs.frozen(kw_only=True)
class SessionToken:
    """Newest write of a session in each group it wrote to.

    :param points: log position of the write, by name of the group
    """

    points: Mapping[str, LogPoint] = attrs.field(factory=dict)

    def point(self, group: str) -> LogPoint:
        """Return the position that a read in a group must include."""
        return self.points.get(group, LogPoint(term=0, position=0))

    def advance(self, group: str, point: LogPoint) -> SessionToken:
        """Add a write to the token.

        :param group: name of the group
        :param point: log position of the write
        :return: the token to return with the answer
        """
        if point <= self.point(group):
            return self
        points = {g: p for g, p in self.points.items() if g != group}
        points[group] = point
        return SessionToken(points=points)


@attrs.frozen(kw_only=True)
class TokenCodec:
    """Signs and verifies session tokens and short texts.

    :param keys: secret keys; the first signs, all verify
    """

    keys: tuple[bytes, ...]

    @classmethod
    def from_hex(cls, keys: tuple[str, ...]) -> TokenCodec:
        """Build a codec from the hexadecimal keys of the settings."""
        return cls(keys=tuple(bytes.fromhex(key) for key in keys))

    def encode(self, token: SessionToken) -> str:
        """Encode and sign a token.

        Only the ``MAX_GROUPS`` groups written to last are kept.
        """
        newest = list(token.points.items())[-MAX_GROUPS:]
        body = ";".join(f"{g}:{p.term}:{p.position}" for g, p in newest)
        data = body.encode()
        mac = _mac(self.keys[0], data)
        return base64.urlsafe_b64encode(mac + data).decode()

    def decode(self, text: str) -> SessionToken | Refusal:
        """Verify and decode a token.

        :param text: result of :meth:`encode` on this or another host
        :return: the token, or the refusal of a forged or damaged one
        """
        if len(text) > MAX_TOKEN_CHARS:
            return _refuse("session token is too long")
        try:
            raw = base64.b64decode(text, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return _refuse("session token is not base64")
        mac, data = raw[:MAC_BYTES], raw[MAC_BYTES:]
        if not any(hmac.compare_digest(mac, _mac(k, data)) for k in self.keys):
            return _refuse("signature of the session token does not match")
        return SessionToken(points=_parse_points(data.decode()))

    def sign(self, text: str) -> str:
        """Sign a short text of ASCII letters.

        :return: the text with its signature
        """
        return f"{text}~{_mac(self.keys[0], text.encode()).hex()}"

    def verify(self, signed_text: str) -> str | None:
        """Verify a text signed by :meth:`sign` on any host.

        :return: the text, or None if the signature does not match
        """
        text, _, mac = signed_text.rpartition("~")
        data = text.encode()
        for key in self.keys:
            if hmac.compare_digest(
                mac.encode(), _mac(key, data).hex().encode()
            ):
                return text
        return None


def _parse_points(body: str) -> dict[str, LogPoint]:
    points: dict[str, LogPoint] = {}
    for part in body.split(";") if body else ():
        group, term, position = part.split(":")
        points[group] = LogPoint(term=int(term), position=int(position))
    return points


def _mac(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, hashlib.sha256)[:MAC_BYTES]


def _refuse(detail: str) -> Refusal:
    return Refusal(
        reason=Reason.BAD_TOKEN,
        step=Step.AUTHORIZE,
        peer="caller",
        detail=detail,
    )
