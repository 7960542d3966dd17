"""Frames between a borrower and a lender: messages and raw bytes."""

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
_IS_MESSAGE: Final = 1 << 31


def frame_message(message: Message) -> bytes:
    """Render a message between the two hosts."""
    data = encode(Envelope(source="", request_id=0, body=message))
    return _LENGTH.pack(len(data) | _IS_MESSAGE) + data


def frame_bytes(data: bytes) -> bytes:
    """Render bytes of the target's connection; none keep it alive."""
    return _LENGTH.pack(len(data)) + data


@attrs.define(kw_only=True)
class FrameReader:
    """Cuts a stream into frames, without input or output."""

    _buffer: bytes = attrs.field(default=b"", init=False)

    def feed(self, data: bytes) -> list[Message | bytes] | None:
        """Take bytes.

        :return: the frames that are whole now, or None where the bytes
            make no sense
        """
        buffer = self._buffer + data if self._buffer else data
        found: list[Message | bytes] = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (head,) = _LENGTH.unpack_from(buffer, start)
            size = head & ~_IS_MESSAGE
            if size > MAX_FRAME_BYTES:
                return None
            end = start + _LENGTH.size + size
            if end > len(buffer):
                break
            body = buffer[start + _LENGTH.size : end]
            start = end
            if not head & _IS_MESSAGE:
                found.append(body)
                continue
            envelope = decode(body)
            if isinstance(envelope, DecodeFault):
                return None
            found.append(envelope.body)
        self._buffer = buffer[start:]
        return found


@attrs.define(kw_only=True, eq=False)
class FramedProtocol(asyncio.Protocol, abc.ABC):
    """One end of a connection that carries frames."""

    _transport: asyncio.Transport | None = attrs.field(
        default=None, init=False
    )
    _frames: FrameReader = attrs.field(factory=FrameReader, init=False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection over."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take the frames that are whole; end at what is none."""
        frames = self._frames.feed(data)
        if frames is None:
            self.abort()
            return
        for frame in frames:
            self.handle_frame(frame)

    def send(self, frame: bytes) -> None:
        """Send a frame, while the connection stands."""
        if self._transport is not None:
            self._transport.write(frame)

    @abc.abstractmethod
    def handle_frame(self, frame: Message | bytes) -> None:
        """Take one frame."""

    @abc.abstractmethod
    def abort(self) -> None:
        """End the connection at once."""
