"""Chunked bodies of HTTP requests (RFC 9112, section 7.1)."""

from __future__ import annotations

import http
import re
from typing import Any, Final

__all__ = ("BodyError", "has_all_chunks", "read_chunks")

MAX_SIZE_DIGITS: Final = 12
MAX_LINE_BYTES: Final = 4_096
_CRLF: Final = b"\r\n"
_CHUNK_SIZE: Final = re.compile(
    rb"[ \t]*([0-9a-f]+)[ \t]*(?:;.*)?", re.IGNORECASE
)


class BodyError(Exception):
    """Raised for a body that is refused.

    :param status: status of the answer
    """

    def __init__(self, status: http.HTTPStatus) -> None:
        super().__init__(status)
        self.status = status


def read_chunks(source: Any, max_body_bytes: int) -> bytes:
    """Read a chunked body, and the trailer after it.

    The HTTP library takes more than digits for a size, and has no
    bound for the lines between the chunks.

    :param source: stream of the connection
    :param max_body_bytes: bound on the body and all lines around it
    :raises BodyError: if the body is malformed or too large
    """
    body = bytearray()
    left_bytes = max_body_bytes
    while True:
        line = source.readline(MAX_LINE_BYTES)
        size = _chunk_size(line.removesuffix(_CRLF))
        if size is None or not line.endswith(_CRLF):
            raise BodyError(http.HTTPStatus.BAD_REQUEST)
        left_bytes -= len(line) + size
        if left_bytes < 0:
            raise BodyError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if not size:
            break
        body += source.read(size)
        if source.read(len(_CRLF)) != _CRLF:
            raise BodyError(http.HTTPStatus.BAD_REQUEST)
    while line != _CRLF:
        line = source.readline(MAX_LINE_BYTES)
        left_bytes -= len(line)
        if left_bytes < 0 or not line.endswith(_CRLF):
            raise BodyError(http.HTTPStatus.BAD_REQUEST)
    return bytes(body)


def has_all_chunks(body: bytes, *, enough_bytes: int) -> bool:
    """Return whether a worker can read a chunked body without waiting.

    A malformed body counts as complete, so that a worker refuses it.

    :param body: what has arrived of it
    :param enough_bytes: number of bytes of a body that need not be
        complete
    """
    start = 0
    while start <= len(body):
        end = body.find(_CRLF, start)
        if end < 0:
            break
        size = _chunk_size(body[start:end])
        if size is None:
            return True
        if not size:
            if body.find(_CRLF * 2, end) >= 0:
                return True
            break
        start = end + len(_CRLF) + size
        if not _CRLF.startswith(body[start : start + len(_CRLF)]):
            return True
        start += len(_CRLF)
    return len(body) >= enough_bytes


def _chunk_size(line: bytes) -> int | None:
    """Return the size of a chunk by its first line, or None."""
    match = _CHUNK_SIZE.fullmatch(line)
    if match is None or len(match[1]) > MAX_SIZE_DIGITS:
        return None
    return int(match[1], 16)
