"""Tests of the frames that are sent to many hosts."""

from __future__ import annotations

from rosemarysaddle.link import Address, PeerNetwork, UnmodifiedNetwork
from rosemarysaddle.schema import LeaseGrant, ViewSnapshot


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
