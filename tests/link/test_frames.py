"""Tests of frames, and of what is decoded from them."""

from __future__ import annotations

import pytest

from rosemarysaddle.link import (
    Address,
    DecodeFault,
    PeerNetwork,
    UnmodifiedNetwork,
)
from rosemarysaddle.link._codec import decode, encode
from rosemarysaddle.schema import (
    Envelope,
    LeaseGrant,
    SnapshotInstall,
    ViewSnapshot,
)


def _network() -> PeerNetwork:
    return PeerNetwork(
        host="c1",
        listen=Address(ip="127.0.0.1", port=1),
        addresses={},
        receive=lambda _source, _message: None,
        network_conditions=UnmodifiedNetwork(),
    )


def test_view_is_encoded_once_beside_grants_of_each_host() -> None:
    """Guards against a leader that encodes the view for each host.

    Each of the hosts that start together gets a grant of its own too.
    """
    network = _network()
    state = "".join(f"{number:x}" for number in range(4_000))
    view = ViewSnapshot(index=7, state=state)

    frames = []
    for sent_ns in range(3):
        frames.append(network._frame(view))
        network._frame(
            LeaseGrant(
                sent_ns=sent_ns, lease_ms=4_000, min_index=7, closing=()
            )
        )

    assert frames[0] is frames[1] is frames[2]


@pytest.mark.parametrize("claimed_words", [0x60_0000, 0xF6_0000])
def test_size_that_a_message_claims_is_not_allocated(
    claimed_words: int,
) -> None:
    """Guards against two bytes that take 128 MB and 0.1 s."""
    # One segment of so many words: of the first word, packed, only the
    # highest byte of the size that is not zero.
    data = bytes([1 << 6, claimed_words >> 16])

    fault = decode(data)

    assert isinstance(fault, DecodeFault)
    assert "too large" in fault.reason


@pytest.mark.parametrize("length", [0, 1_000, 5_000_000])
def test_message_of_zeros_is_decoded(length: int) -> None:
    """Guards against a limit that what is packed best exceeds."""
    body = SnapshotInstall(
        term=1,
        leader="a",
        index=1,
        last_term=1,
        sent_ns=1,
        state="\0" * length,
        voters="",
    )
    envelope = Envelope(source="a", request_id=1, body=body)

    assert decode(encode(envelope)) == envelope
