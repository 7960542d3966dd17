"""Chunked bodies of HTTP requests (RFC 9112, section 7.1)."""

from __future__ import annotations

import http
import io
import re
import sys
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


class IncompleteBodyError(BodyError):
    """Raised for a body that ends before its last line."""

    def __init__(self) -> None:
        super().__init__(http.HTTPStatus.BAD_REQUEST)


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
        line = _read_line(source)
        size = _chunk_size(line)
        if size is None:
            raise BodyError(http.HTTPStatus.BAD_REQUEST)
        left_bytes -= len(line) + size
        if left_bytes < 0:
            raise BodyError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if not size:
            break
        body += source.read(size)
        end = source.read(len(_CRLF))
        if not _CRLF.startswith(end):
            raise BodyError(http.HTTPStatus.BAD_REQUEST)
        if end != _CRLF:
            raise IncompleteBodyError
    while line != _CRLF:
        line = _read_line(source)
        left_bytes -= len(line)
        if left_bytes < 0:
            raise BodyError(http.HTTPStatus.BAD_REQUEST)
    return bytes(body)


def _read_line(source: Any) -> bytes:
    line: bytes = source.readline(MAX_LINE_BYTES)
    if line.endswith(_CRLF):
        return line
    if line.endswith(b"\n") or len(line) == MAX_LINE_BYTES:
        raise BodyError(http.HTTPStatus.BAD_REQUEST)
    raise IncompleteBodyError


def has_all_chunks(body: bytes, *, enough_bytes: int) -> bool:
    """Return whether a worker can read a chunked body without waiting.

    A malformed body counts as complete, so that a worker refuses it.

    :param body: what has arrived of it
    :param enough_bytes: number of bytes of a body that need not be
        complete
    """
    try:
        read_chunks(io.BytesIO(body), sys.maxsize)
    except IncompleteBodyError:
        return len(body) >= enough_bytes
    except BodyError:
        return True
    return True


def _chunk_size(line: bytes) -> int | None:
    """Return the size of a chunk by its first line, or None."""
    match = _CHUNK_SIZE.fullmatch(line.removesuffix(_CRLF))
    if match is None or len(match[1]) > MAX_SIZE_DIGITS:
        return None
    return int(match[1], 16)
