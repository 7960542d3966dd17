"""Framing of the connections between borrowers and lenders.

A frame holds either an encoded message or raw bytes of the connection
to the target.
"""

from __future__ import annotations

import abc
import asyncio
import struct
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.connection._connection import set_socket_options
from rosemarysaddle.link import DecodeFault, decode, encode
from rosemarysaddle.schema import Envelope

if TYPE_CHECKING:
    from rosemarysaddle.schema import Message

__all__ = ("FrameReader", "FramedProtocol", "frame_bytes", "frame_message")

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
_LENGTH: Final = struct.Struct(">I")
# Bit of the length prefix that marks a message rather than raw bytes.
_IS_MESSAGE: Final = 1 << 31


def frame_message(message: Message) -> bytes:
    """Encode a message as a frame."""
    data = encode(Envelope(source="", request_id=0, body=message))
    return _LENGTH.pack(len(data) | _IS_MESSAGE) + data


def frame_bytes(data: bytes) -> bytes:
    """Encode raw bytes as a frame.

    A frame without bytes serves as a keep-alive of the loan.
    """
    return _LENGTH.pack(len(data)) + data


@attrs.define(kw_only=True)
class FrameReader:
    """Splits a byte stream into frames; does no I/O itself."""

    _buffer: bytes = attrs.field(default=b"", init=False)

    def feed(self, data: bytes) -> list[Message | bytes] | None:
        """Decode received bytes.

        :return: the frames that are complete now, or None if the bytes
            are malformed
        """
        buffer = self._buffer + data if self._buffer else data
        frames: list[Message | bytes] = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (header,) = _LENGTH.unpack_from(buffer, start)
            body_bytes = header & ~_IS_MESSAGE
            if body_bytes > MAX_FRAME_BYTES:
                return None
            end = start + _LENGTH.size + body_bytes
            if end > len(buffer):
                break
            body = buffer[start + _LENGTH.size : end]
            start = end
            if not header & _IS_MESSAGE:
                frames.append(body)
                continue
            envelope = decode(body)
            if isinstance(envelope, DecodeFault):
                return None
            frames.append(envelope.body)
        self._buffer = buffer[start:]
        return frames


@attrs.define(kw_only=True, eq=False)
class FramedProtocol(asyncio.Protocol, abc.ABC):
    """One side of a connection between a borrower and a lender."""

    _transport: asyncio.Transport | None = attrs.field(
        default=None, init=False
    )
    _reader: FrameReader = attrs.field(factory=FrameReader, init=False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket of a newly established connection."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Handle the complete frames; close on malformed data."""
        frames = self._reader.feed(data)
        if frames is None:
            self.abort()
            return
        for frame in frames:
            self.handle_frame(frame)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that wait to be sent."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def send(self, frame: bytes) -> None:
        """Send a frame if the connection is open."""
        if self._transport is not None:
            self._transport.write(frame)

    @abc.abstractmethod
    def handle_frame(self, frame: Message | bytes) -> None:
        """Handle one received frame."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once."""
