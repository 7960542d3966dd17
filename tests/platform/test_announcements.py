"""Entries of any writer, from bytes to the view of an entry host."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.connection import TargetConnection, open_connection
from rosemarysaddle.decide import (
    NS_PER_MS,
    Answer,
    ClusterState,
    FaultCode,
    Send,
)
from rosemarysaddle.decide.primaries._registry import record_of
from rosemarysaddle.link import Address
from rosemarysaddle.link._codec import decode, encode
from rosemarysaddle.platform import CallerLineCodec, TargetLineCodec
from rosemarysaddle.platform._announcements import (
    read_announcement,
    read_json_object,
)
from rosemarysaddle.platform._http import ControlApp, read_status
from rosemarysaddle.schema import Announcement, Envelope, ViewDelta
from tests.decide.announced_group import PLAN, Harness
from tests.helpers import make_leader

NOW_MS = 1_800_000_000_000
TARGET = "i-1"
HEARTBEAT = {
    "group": "g",
    "address": "10.1.0.9:8080",
    "data_center": "dc",
    "version": "v1",
    "slots": 5,
    "state": "ready",
    "coldRemainingMs": 0,
    "replication_role": "replica",
    "seq": 4,
    "born": NOW_MS - 1,
}
ODD_VALUES: list[Any] = [
    None,
    True,
    [],
    {},
    -1,
    0.5,
    "",
    " ",
    "a b",
    "a\r\nQUERY - DEMOTE 9",
    "\ud800",
    "x" * 256,
    1 << 63,
    1 << 64,
    10**4_000,
]
ODD_ADDRESSES = [
    "10.1.0.9:80800",
    "10.1.0.9:0",
    "10.1.0.9:-1",
    "10.1.0.9:+80",
    "10.1.0.9: 80",
    "10.1.0.9:٨٠",
    "10.1.0.9:" + "9" * 5_000,
    "10.1.0.256:80",
    "10.1.9:80",
    "010.1.0.9:80",
    "host:80",
    "10.1.0.9",
    "[::1]:80",
]
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters())
    | st.sampled_from(ODD_VALUES[7:]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)
_ADDRESS = st.builds(
    lambda ip, port: f"{ip}:{port}",
    st.ip_addresses(v=4),
    st.integers(-10, 70_000),
)


def _read(body: Any, target: str = TARGET) -> Announcement | None:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return read_announcement(target, data, now_ms=NOW_MS)


def test_complete_heartbeat_is_read() -> None:
    found = _read(HEARTBEAT)

    assert found is not None
    assert (found.address, found.sequence) == ("10.1.0.9:8080", 4)


@pytest.mark.parametrize("field", HEARTBEAT)
def test_heartbeat_without_a_field_names_no_target(field: str) -> None:
    """Guards against entries of other writers that are believed."""
    body = {k: v for k, v in HEARTBEAT.items() if k != field}

    assert _read(body) is None


@pytest.mark.parametrize("field", sorted(set(HEARTBEAT) - {"version"}))
@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda v: repr(v)[:12])
def test_heartbeat_with_an_odd_value_names_no_target(
    field: str, value: Any
) -> None:
    """Guards against values that a message or a line cannot hold."""
    assert _read({**HEARTBEAT, field: value}) is None


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda a: a[:16])
def test_heartbeat_with_an_odd_address_names_no_target(address: str) -> None:
    """Guards against addresses that nothing can connect to."""
    assert _read({**HEARTBEAT, "address": address}) is None


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"[" * 100_000, id="nested lists"),
        pytest.param(b'{"a":' * 100_000, id="nested objects"),
        pytest.param(b'{"seq":' + b"9" * 10_000 + b"}", id="long number"),
        pytest.param(b"\xff\xfe\x00", id="no text"),
        pytest.param(b"", id="empty"),
        pytest.param(b"[]", id="no object"),
    ],
)
def test_body_that_cannot_be_read_names_no_target(body: bytes) -> None:
    """Guards against exceptions at the edge, such as RecursionError."""
    assert _read(body) is None
    assert read_json_object(body) is None


def test_start_in_the_future_is_not_believed() -> None:
    """Guards against a claim that hides all later words of a target."""
    assert _read({**HEARTBEAT, "born": NOW_MS + 3_600_000}) is None
    assert _read({**HEARTBEAT, "born": NOW_MS + 5_000}) is not None


@pytest.mark.parametrize("target", ["", "a b", "a\r\n", "\udcff", "x" * 300])
def test_odd_name_in_the_path_names_no_target(target: str) -> None:
    assert _read(HEARTBEAT, target) is None


def _bodies() -> st.SearchStrategy[bytes]:
    """Bodies near those of a heartbeat, as JSON or as any bytes."""
    values = {
        name: st.just(value) | _JSON for name, value in HEARTBEAT.items()
    }
    values["address"] = _ADDRESS | values["address"]
    values["slots"] = st.integers(-1, 100_000) | values["slots"]
    near = st.fixed_dictionaries({}, optional=values).map(
        lambda body: json.dumps(body).encode()
    )
    changed = st.tuples(
        st.sampled_from(sorted(HEARTBEAT)), _ADDRESS | _JSON
    ).map(lambda f: json.dumps({**HEARTBEAT, f[0]: f[1]}).encode())
    return st.binary(max_size=60) | near | changed


@settings(max_examples=300, deadline=None)
@given(
    target=st.just(TARGET) | st.text(st.characters(), max_size=20),
    body=_bodies(),
)
def test_what_is_read_reaches_the_view_of_an_entry_host(
    target: str, body: bytes
) -> None:
    """Guards against entries that some hosts take and others cannot."""
    found = _read(body, target)
    if found is None:
        return
    envelope = Envelope(source="c", request_id=1, body=found)
    assert decode(encode(envelope)) == envelope
    harness = Harness()
    harness.plan(PLAN.replace('"g"', json.dumps(found.group)), version=4)
    effects = harness.leader.receive("c", found, harness.now_ns)
    for effect in effects:
        if isinstance(effect, Send):
            encode(Envelope(source="c", request_id=1, body=effect.message))
    record = record_of(found)
    assert harness.leader.state.targets.records == {found.target: record}
    entries = harness.leader.log.entries_after(0)
    assert entries
    delta = Envelope(source="c", request_id=1, body=ViewDelta(entries=entries))
    received = decode(encode(delta))
    assert received == delta
    view = ClusterState()
    for entry in entries:
        view.apply(entry)
    assert view.faults == []
    for state in (view, ClusterState.load(view.dump())):
        assert state.targets.records == {found.target: record}
    Address.parse(found.address)


@pytest.mark.parametrize("address", ["10.1.0.9:80800", "10.1.0.9:-1"])
def test_address_that_no_target_can_have_is_unreachable(address: str) -> None:
    """Guards against statements without an answer, for old entries."""

    async def scenario() -> Answer:
        connection = TargetConnection(
            target="t", codec=TargetLineCodec(), on_lost=lambda _: None
        )
        return await open_connection(
            connection,
            Address.parse(address),
            b"",
            deadline_ns=clock_ns() + 1_000 * NS_PER_MS,
        )

    assert asyncio.run(scenario()).fault is FaultCode.LOST


def test_record_of_an_earlier_build_is_skipped() -> None:
    """Guards against logs that hold what was believed too early."""
    leader = make_leader()
    good = _read(HEARTBEAT)
    assert good is not None
    odd = attrs.evolve(record_of(good), target="x", address="1.2.3.4:80800")
    payload = json.dumps(attrs.asdict(odd))
    effects = leader.log.propose("target", payload, 0)
    leader._process_effects(effects, 0)

    assert leader.state.targets.records == {}
    assert len(leader.state.faults) == 1
    body = json.loads(leader.state.dump())
    body["targets"]["records"] = [attrs.asdict(odd)]
    assert ClusterState.load(json.dumps(body)).targets.records == {}


@given(row=st.text(st.characters(), max_size=40) | st.from_regex("[0-9. ]+"))
def test_status_row_never_raises(row: str) -> None:
    for text in (row, f"primary 1 {row}", f"primary 1 1.{row} 0"):
        read_status(Answer(rows=(text,)))


@pytest.mark.parametrize("number", ["9" * 5_000, "²", "٣", "-1", "1" * 20])
def test_status_with_an_odd_number_is_none(number: str) -> None:
    """Guards against int() of text that isdecimal() lets pass."""
    row = f"primary 1 1.{number} 0 0 0"

    assert read_status(Answer(rows=(row,))) is None


@given(data=st.binary(max_size=200))
def test_codecs_never_raise(data: bytes) -> None:
    lines = data.replace(b"\n", b"\r\n")
    CallerLineCodec().feed(lines)
    for prefix in (b"", b"READY I ", b"ROW x\r\nDONE -\r\nREADY I 1."):
        TargetLineCodec().feed(prefix + lines)


@given(data=st.binary(max_size=200))
def test_decoding_of_messages_never_raises(data: bytes) -> None:
    decode(data)


class _Host:
    """Control host that knows one target."""

    is_available = True

    def __init__(self) -> None:
        self.control = make_leader()
        self.announced: list[Announcement] = []

    def announce_from_thread(self, announcement: Announcement) -> bool:
        self.announced.append(announcement)
        return True


def _leave(host: _Host, body: bytes) -> str:
    answers: list[str] = []
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": f"/rosemarysaddle/instances/{TARGET}/leave",
        "wsgi.input": type("Input", (), {"read": lambda _: body})(),
    }
    ControlApp(host=host)(environ, lambda status, _: answers.append(status))
    return answers[0][:3]


@pytest.mark.parametrize(
    ("body", "leaving", "status"),
    [
        (b'{"born": 5}', False, "200"),
        (b"", True, "200"),
        (b"", False, "400"),
        (b'{"born": "5"}', True, "400"),
        (b'{"born": -1}', True, "400"),
        (b'{"born": 99999999999999999}', True, "400"),
        (b"[" * 100_000, True, "400"),
        (b"[]", True, "400"),
    ],
)
def test_leave_of_another_writer_removes_no_target(
    body: bytes, status: str, *, leaving: bool
) -> None:
    """Guards against a target that another writer takes away."""
    host = _Host()
    found = _read({**HEARTBEAT, "born": 5})
    assert found is not None
    record = attrs.evolve(record_of(found), leaving=leaving)
    host.control.state.targets.put(record)

    assert _leave(host, body) == status
    assert bool(host.announced) is (status == "200")


def test_status_tells_the_term_of_the_role_and_that_of_the_log() -> None:
    """Guards against a new primary that is taken for an old one."""
    status = read_status(Answer(rows=("primary 2 1.83 0 0 1 11",)))

    assert status is not None
    assert (status.role, status.term) == ("primary", 2)
    assert (status.log_term, status.position) == (1, 83)
