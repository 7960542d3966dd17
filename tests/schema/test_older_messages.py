"""Messages between this build and one without the newest fields."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from rosemarysaddle.link._codec import decode, encode
from rosemarysaddle.schema import (
    Envelope,
    LeaseRenewal,
    Neighbour,
    Neighbours,
    RemoteHosts,
)

if TYPE_CHECKING:
    from rosemarysaddle.schema import Message

RENEWAL = LeaseRenewal(
    host="e#1",
    data_center="d",
    sent_ns=5,
    applied_index=7,
    address="10.0.0.1:1",
    lending_address="10.0.0.1:2",
    neighbours_tag=9,
)
NEIGHBOURS = Neighbours(
    tag=3,
    hosts=(Neighbour(address="10.0.0.1:2"),),
    remote=(
        RemoteHosts(data_center="x", hosts=(Neighbour(address="10.0.1.1:2"),)),
    ),
)


# The bytes were written by commit eb3ad48.
@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(
            "101350020201010105110512510403040173010501070109110d22110d1211"
            "0d5a11115a076523310164ff31302e302e302e3100033a31ff31302e302e30"
            "2e3100033a32",
            RENEWAL,
            id="renewal without an age",
        ),
        pytest.param(
            "101550020201010117110512510401020173010311050f1111174104011101"
            "5aff31302e302e302e3100033a3241040211051211050f017841040111015a"
            "ff31302e302e312e3100033a32",
            NEIGHBOURS,
            id="neighbours without a time",
        ),
    ],
)
def test_message_of_an_older_build_is_read(
    data: str, expected: Message
) -> None:
    """Guards against upgrades in which hosts ignore each other."""
    envelope = decode(bytes.fromhex(data))

    assert isinstance(envelope, Envelope)
    assert envelope.body == expected


@pytest.mark.parametrize("message", [RENEWAL, NEIGHBOURS])
def test_unknown_values_are_told_as_zero(message: Message) -> None:
    """Guards against times that an older build did not tell."""
    envelope = decode(encode(Envelope(source="s", request_id=1, body=message)))

    assert isinstance(envelope, Envelope)
    body = envelope.body
    if isinstance(body, LeaseRenewal):
        assert body.started_age_ms == 0
    if isinstance(body, Neighbours):
        assert body.uncounted_ms == 0
