"""Measures how time and memory grow with the size of a deployment.

Run ``python benchmarks/slopes.py``.  It prints a table, and with
``--report FILE`` also writes the fitted lines as JSON.  Each line is
fitted to at least three sizes, and its largest deviation is reported.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import itertools
import json
import resource
import socket
import statistics
import tempfile
import threading
import time
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs
import defopt

from rosemarysaddle._limits import raise_file_limit
from rosemarysaddle.connection._frames import (
    FrameReader,
    frame_bytes,
    frame_message,
)
from rosemarysaddle.connection._setups import (
    build_loan_grant,
    build_loan_return,
)
from rosemarysaddle.decide import (
    ClusterState,
    ConnectionSetup,
    ControlNode,
    EntryKind,
    EntryNode,
    GroupView,
    LenderRanking,
    LogNode,
    LogPoint,
    ReadRequirements,
    SaveEntries,
    SessionToken,
    StoredLog,
    TargetView,
    TokenCodec,
)
from rosemarysaddle.decide.leases._neighbours import NeighbourLists
from rosemarysaddle.link import (
    Address,
    PeerNetwork,
    UnmodifiedNetwork,
    decode,
    encode,
)
from rosemarysaddle.schema import (
    Announcement,
    AppendRequest,
    Envelope,
    LeaseGrant,
    LeaseRenewal,
    LoanRequest,
    LogEntry,
    Suspicion,
    ViewDelta,
)
from rosemarysaddle.standin import StandInInstance, StandInServer
from rosemarysaddle.store import Journal
from rosemarysaddle.target import MySqlConnector, TargetFault
from rosemarysaddle.web import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from rosemarysaddle.schema import Message, Neighbours

GROUP_SIZES: Final = (2_000, 8_000, 32_000)
HOST_SIZES: Final = (100, 800, 2_600)
NEIGHBOUR_SIZES: Final = (11, 60, 200)
# Longer than the gathering window and the render interval of the
# neighbour lists, so that each query renders the list again.
GATHER_INTERVAL_NS: Final = 10_000_000_000
ENTRY_SIZES: Final = (1_000, 5_000, 25_000)
SAMPLE_SIZES: Final = (4, 64, 256)
CONNECTION_SIZES: Final = (1_000, 2_500, 4_615)
REPEATS: Final = 200
MAX_BODY_BYTES: Final = 65_536
NS_PER_MS: Final = 1_000_000


@attrs.frozen(kw_only=True)
class Slope:
    """Line fitted to the values measured at several sizes.

    :param unit: unit of the values
    :param each: increase of the value for one more unit of size
    :param base: value of the line at size zero
    :param error: largest deviation from the line, as a share of the
        largest value
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    each: float
    base: float
    error: float


def fit_line(
    name: str, unit: str, sizes: Sequence[int], values: Sequence[float]
) -> Slope:
    """Fit a line through the values."""
    line = statistics.linear_regression(sizes, values)
    errors = [
        abs(line.slope * s + line.intercept - v)
        for s, v in zip(sizes, values, strict=True)
    ]
    return Slope(
        name=name,
        unit=unit,
        sizes=tuple(sizes),
        values=tuple(values),
        each=line.slope,
        base=line.intercept,
        error=max(errors) / max(values),
    )


def group_json(number: int) -> dict[str, Any]:
    """Build the document of a group with three instances."""
    return {
        "name": f"db-{number}",
        "instances": [
            {
                "name": f"db-{number}{letter}",
                "data_center": f"dc-{number % 13}",
                "address": f"10.{number >> 8 & 255}.{number & 255}.{k}:3306",
            }
            for k, letter in enumerate("abc", 1)
        ],
    }


def patch_entry(index: int, number: int, version: int) -> LogEntry:
    """Build the log entry of a patch that adds one group."""
    payload = {
        "change_id": f"00000000-0000-0000-0000-{index:012d}",
        "kind": "inventory-patch",
        "base_version": version,
        "author": "operator",
        "payload": json.dumps({"put_groups": [group_json(number)]}),
    }
    return LogEntry(
        index=index,
        term=1,
        kind=EntryKind.CHANGE,
        payload=json.dumps(payload),
    )


def build_state(groups: int) -> ClusterState:
    """Build a state with a number of groups, each with an open term."""
    state = ClusterState()
    for start in range(0, groups, 1_000):
        numbers = range(start, min(groups, start + 1_000))
        patch = {"put_groups": [group_json(n) for n in numbers]}
        payload = {
            "change_id": f"c{start}",
            "kind": "inventory-patch",
            "base_version": state.inventory_version,
            "author": "operator",
            "payload": json.dumps(patch),
        }
        _apply_entry(state, EntryKind.CHANGE, payload)
    for number in range(groups):
        opened = {
            "group": f"db-{number}",
            "term": 1,
            "primary": f"db-{number}a",
            "start": 0,
        }
        _apply_entry(state, EntryKind.OPEN, opened)
    return state


def build_view(groups: int) -> list[GroupView]:
    """Build a host's views of a number of groups."""
    views = []
    for number in range(groups):
        view = GroupView(group=f"db-{number}", random_below=lambda n: n - 1)
        for letter in "abc":
            name = f"db-{number}{letter}"
            view.targets[name] = TargetView(name=name, data_center="dc-1")
        views.append(view)
    return views


def measure_bytes(build: Callable[[], object]) -> float:
    """Measure the memory of an object, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    traced, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(traced)


def measure_median_us(
    work: Callable[[], object], repeats: int = REPEATS
) -> float:
    """Measure the median time of a call, in microseconds."""
    times = []
    for _ in range(repeats):
        start_ns = time.perf_counter_ns()
        work()
        times.append((time.perf_counter_ns() - start_ns) / 1_000)
    return statistics.median(times)


def wire_bytes(message: Message) -> int:
    """Return the size of a message with its length prefix."""
    envelope = Envelope(source="entry-0001", request_id=9, body=message)
    return 4 + len(encode(envelope))


def measure_groups() -> list[Slope]:
    """Measure what grows with the number of databases."""
    state_bytes = [
        measure_bytes(functools.partial(build_state, n)) for n in GROUP_SIZES
    ]
    viewed = [
        measure_bytes(functools.partial(build_view, n)) for n in GROUP_SIZES
    ]
    changed, dumped, loaded, sizes, ticked = [], [], [], [], []
    announced = []
    for groups in GROUP_SIZES:
        state = build_state(groups)
        changed.append(_measure_patch_us(state))
        text = state.dump()
        sizes.append(float(len(text)))
        dumped.append(measure_median_us(state.dump, 3))
        loaded.append(
            measure_median_us(functools.partial(ClusterState.load, text), 3)
        )
        leader = build_leader(state)
        now_ns = time.monotonic_ns()
        receive = functools.partial(
            leader.receive, "h", _build_announcement(groups - 1), now_ns
        )
        announced.append(measure_median_us(receive))
        ticked.append(
            measure_median_us(functools.partial(leader.tick, now_ns))
        )
    rows = (
        ("state of a database at a host", "B", state_bytes),
        ("watch view of a database", "B", viewed),
        ("patch applied, by databases", "us", changed),
        ("snapshot size", "B", sizes),
        ("snapshot written", "us", dumped),
        ("snapshot read", "us", loaded),
        ("leader tick, by databases", "us", ticked),
        ("announcement at the leader, by databases", "us", announced),
    )
    return [fit_line(n, u, GROUP_SIZES, v) for n, u, v in rows]


def measure_hosts() -> list[Slope]:
    """Measure what grows with the number of entry hosts."""
    renewed, lease_bytes, broadcast = [], [], []
    for hosts in HOST_SIZES:
        leader = build_leader(build_state(100))
        for number in range(hosts):
            _renew(leader, number)
        renewed.append(
            measure_median_us(functools.partial(_renew, leader, hosts - 1))
        )
        lease_bytes.append(
            measure_bytes(functools.partial(_leader_with_leases, hosts))
        )
        broadcast.append(_measure_broadcast_us(leader, hosts))
    rows = (
        ("lease renewal at the leader", "us", renewed),
        ("lease of a host at the leader", "B", lease_bytes),
        ("change spread to all hosts, without sockets", "us", broadcast),
    )
    return [fit_line(n, u, HOST_SIZES, v) for n, u, v in rows]


def measure_lending() -> list[Slope]:
    """Measure what grows with the entry hosts of one data centre."""
    sizes, rendered, ranked = [], [], []
    for count in NEIGHBOUR_SIZES:
        query = _neighbour_query(count)
        times_ns = itertools.count(GATHER_INTERVAL_NS, GATHER_INTERVAL_NS)
        sizes.append(wire_bytes(query(next(times_ns))))
        rendered.append(
            measure_median_us(
                functools.partial(_query_at_next, query, times_ns), 20
            )
        )
        addresses = [f"10.1.{n // 250}.{n % 250}:7455" for n in range(count)]
        ranking = LenderRanking(own=addresses[0])
        ranking.replace(addresses)
        targets = map(str, itertools.count())
        ranked.append(
            measure_median_us(
                functools.partial(_choose_lender, ranking, targets), 50
            )
        )
    rows = (
        ("neighbour list", "B", sizes),
        ("neighbour list rendered at the leader", "us", rendered),
        ("lender of a target, asked first", "us", ranked),
    )
    return [fit_line(n, u, NEIGHBOUR_SIZES, v) for n, u, v in rows]


def _query_at_next(
    query: Callable[[int], Neighbours], times_ns: Iterator[int]
) -> None:
    query(next(times_ns))


def _choose_lender(ranking: LenderRanking, targets: Iterator[str]) -> None:
    ranking.lender(next(targets), 0)


def _neighbour_query(count: int) -> Callable[[int], Neighbours]:
    """Let all hosts of a data centre renew their leases.

    :return: a function that renews the first host's lease at a time
        and returns its list of neighbours
    """
    lists = NeighbourLists()
    lists.on_elected(-GATHER_INTERVAL_NS)
    names = [f"entry-{number:04d}" for number in range(count)]
    centers = dict.fromkeys(names, "dc")

    def query(number: int, now_ns: int) -> Neighbours:
        address = f"10.1.{number // 250}.{number % 250}:7455"
        renewal = attrs.evolve(
            _build_renewal(0), data_center="dc", lending_address=address
        )
        neighbours = lists.list_if_changed(
            names[number],
            renewal,
            centers=centers,
            present=names,
            now_ns=now_ns,
        )
        assert neighbours is not None  # noqa: S101
        return neighbours

    for number in range(count):
        query(number, 0)
    return functools.partial(query, 0)


def _exchange_loan_frames() -> None:
    """Encode and decode the frames of one loan and its statement."""
    setup = ConnectionSetup(values={"tz": "utc"})
    request = LoanRequest(
        target="t", wait_ms=500, values=(), priority=1, pinned=False
    )
    text = b"QUERY 5c0e7a21d94b36f8 READ 1a4\r\n"
    reader = FrameReader()
    for frame in (
        frame_message(request),
        frame_message(build_loan_grant(setup)),
        frame_bytes(text),
        frame_bytes(text),
        frame_message(
            build_loan_return(setup, was_busy=False, ran_nothing=False)
        ),
    ):
        reader.feed(frame)


def measure_log() -> list[Slope]:
    """Measure what grows with the number of log entries."""
    entry_bytes, proposed, replayed = [], [], []
    for entries in ENTRY_SIZES:
        entry_bytes.append(
            measure_bytes(functools.partial(_build_log, entries))
        )
        log = _build_log(entries)
        kind = EntryKind.CLOSE
        proposed.append(
            measure_median_us(functools.partial(log.propose, kind, "{}", 0))
        )
        replayed.append(_measure_replay_us(entries))
    rows = (
        ("log entry in memory", "B", entry_bytes),
        ("entry appended", "us", proposed),
        ("journal read at the start", "us", replayed),
    )
    return [fit_line(n, u, ENTRY_SIZES, v) for n, u, v in rows]


def measure_route() -> list[Slope]:
    """Measure the choice of a replica by the number of kept samples."""
    near, far = [], []
    for samples in SAMPLE_SIZES:
        view = build_view(1)[0]
        now_ns = time.monotonic_ns()
        for number in range(1, samples + 1):
            _observe(view, "db-0a", number, now_ns, is_primary=True)
        for name in ("db-0b", "db-0c"):
            _observe(view, name, samples, now_ns, is_primary=False)
        near.append(
            measure_median_us(functools.partial(_choose_replica, view, now_ns))
        )
        for name in ("db-0b", "db-0c"):
            _observe(view, name, 1, now_ns, is_primary=False)
        far.append(
            measure_median_us(functools.partial(_choose_replica, view, now_ns))
        )
    rows = (
        ("route, replicas caught up", "us", near),
        ("route, replicas far behind", "us", far),
    )
    return [fit_line(n, u, SAMPLE_SIZES, v) for n, u, v in rows]


def measure_connections() -> list[Slope]:
    """Measure the memory of idle caller connections."""
    server = HttpServer(
        address=Address(ip="127.14.1.1", port=18_200),
        threads=16,
        max_body_bytes=MAX_BODY_BYTES,
    )
    server.start()
    sockets: list[socket.socket] = []
    values = []
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for size in CONNECTION_SIZES:
        while len(sockets) < size:
            sockets.append(socket.create_connection(("127.14.1.1", 18_200)))
        time.sleep(1.0)
        now, _ = tracemalloc.get_traced_memory()
        values.append(float(now - before))
    tracemalloc.stop()
    for sock in sockets:
        sock.close()
    server.stop()
    return [fit_line("caller connection", "B", CONNECTION_SIZES, values)]


def measure_peers() -> float:
    """Measure the CPU time of a message and its answer at both ends.

    :return: microseconds
    """
    return asyncio.run(_measure_round_trip_cpu_us())


def measure_status() -> float:
    """Measure the reader's CPU time for the status of a target.

    :return: microseconds
    """
    with tempfile.TemporaryDirectory() as folder:
        loop = asyncio.new_event_loop()
        threading.Thread(target=loop.run_forever, daemon=True).start()
        started = _start_stand_in(Path(folder))
        asyncio.run_coroutine_threadsafe(started, loop).result()
        connector = MySqlConnector(user="u", password="p")
        session = connector.connect(
            "t",
            Address(ip="127.14.2.1", port=13_306),
            deadline_ns=time.monotonic_ns() + 5_000 * NS_PER_MS,
        )
        if isinstance(session, TargetFault):
            raise SystemExit(session.detail)
        session.set_deadline(time.monotonic_ns() + 60_000 * NS_PER_MS)
        start_ns = time.thread_time_ns()
        for _ in range(2_000):
            session.status(after=0, wait_ms=0)
        spent_us = (time.thread_time_ns() - start_ns) / 2_000 / 1_000
        session.close()
        loop.call_soon_threadsafe(loop.stop)
        return spent_us


def measure_constants() -> dict[str, float]:
    """Measure single calls and the sizes of messages."""
    tokens = TokenCodec(keys=(b"k" * 32,))
    token = SessionToken().advance("db-1", LogPoint(term=3, position=12_345))
    text = tokens.encode(token)
    renewal = _build_renewal(7)
    delta = ViewDelta(entries=(patch_entry(9_000, 7, 8_999),))
    entry_node = EntryNode(
        host="h", data_center="dc", address="", control=("a",)
    )
    entry_node.state = build_state(1)
    entry_node.lease.deadline_ns = 1 << 62
    encoded = encode(Envelope(source="h", request_id=1, body=renewal))
    values = {
        "renewal B": wire_bytes(renewal),
        "grant B": wire_bytes(_build_grant()),
        "change of one database B": wire_bytes(delta),
        "announcement B": wire_bytes(_build_announcement(12_345)),
        "suspicion B": wire_bytes(_build_suspicion()),
        "log append of one change B": wire_bytes(_build_append(delta.entries)),
        "log heartbeat B": wire_bytes(_build_append(())),
        "session token chars": len(text),
        "message and answer, both ends us": measure_peers(),
        "status of a target, reader us": measure_status(),
        "resident B of the benchmark at its start": _START_RESIDENT_BYTES,
        "encode us": measure_median_us(
            lambda: encode(Envelope(source="h", request_id=1, body=renewal))
        ),
        "decode us": measure_median_us(lambda: decode(encoded)),
        "token signed us": measure_median_us(lambda: tokens.encode(token)),
        "token verified us": measure_median_us(lambda: tokens.decode(text)),
        "write begun and ended us": measure_median_us(
            lambda: _run_write(entry_node)
        ),
        "journal append and sync us": _measure_append_us(),
        "frames of a loan, both ends us": measure_median_us(
            _exchange_loan_frames
        ),
    }
    return {name: float(value) for name, value in values.items()}


def measure() -> tuple[list[Slope], dict[str, float]]:
    """Measure all lines and all single values."""
    raise_file_limit()
    slopes = [
        *measure_groups(),
        *measure_hosts(),
        *measure_lending(),
        *measure_log(),
        *measure_route(),
        *measure_connections(),
    ]
    return slopes, measure_constants()


def main(*, report: str = "") -> None:
    """Measure and print the results.

    :param report: JSON file for the results; none if empty
    """
    slopes, constants = measure()
    for slope in slopes:
        values = ", ".join(f"{v:.4g}" for v in slope.values)
        print(
            f"{slope.name:<44} {slope.each:10.4g} {slope.unit} each"
            f"  base {slope.base:10.4g}  error {slope.error:6.1%}"
            f"  [{values}]"
        )
    for name, value in constants.items():
        print(f"{name:<44} {value:10.4g}")
    if report:
        body = {
            "slopes": [attrs.asdict(s) for s in slopes],
            "constants": constants,
        }
        Path(report).write_text(json.dumps(body, indent=2), encoding="utf-8")


def build_leader(state: ClusterState) -> ControlNode:
    """Build a control leader that is the only voter, with a state."""
    log = LogNode(
        host="a",
        voters=("a",),
        stored=StoredLog(),
        jitter_ms=itertools.repeat(0),
        started_ns=time.monotonic_ns() - 10_000 * NS_PER_MS,
    )
    leader = ControlNode(log=log, state=ClusterState(), data_center="dc-1")
    leader.tick(time.monotonic_ns())
    state.index = 0
    leader._replace_state(state)  # noqa: SLF001
    leader.tick(time.monotonic_ns())
    return leader


def _apply_entry(state: ClusterState, kind: str, payload: Any) -> None:
    entry = LogEntry(
        index=state.index + 1, term=1, kind=kind, payload=json.dumps(payload)
    )
    state.apply(entry)


def _measure_patch_us(state: ClusterState) -> float:
    entries = [
        patch_entry(state.index + 1 + k, k, state.inventory_version + k)
        for k in range(REPEATS)
    ]
    source = iter(entries)
    return measure_median_us(lambda: state.apply(next(source)))


def _build_renewal(number: int) -> LeaseRenewal:
    return LeaseRenewal(
        host=f"entry-{number:04d}",
        data_center=f"dc-{number % 13}",
        sent_ns=time.monotonic_ns(),
        applied_index=1 << 20,
        address="10.1.2.3:8100",
    )


def _renew(leader: ControlNode, number: int) -> None:
    now_ns = time.monotonic_ns()
    leader.receive(f"entry-{number:04d}", _build_renewal(number), now_ns)


def _leader_with_leases(hosts: int) -> ControlNode:
    leader = build_leader(ClusterState())
    for number in range(hosts):
        _renew(leader, number)
    return leader


def _measure_broadcast_us(leader: ControlNode, hosts: int) -> float:
    closed = json.dumps({"group": "none", "term": 0})

    def broadcast() -> None:
        now_ns = time.monotonic_ns()
        leader._propose(EntryKind.CLOSE, closed, now_ns)  # noqa: SLF001

    for number in range(hosts):
        _renew(leader, number)
    return measure_median_us(broadcast, 20)


def _build_log(entries: int) -> LogNode:
    stored = StoredLog(
        term=1,
        entries=tuple(
            patch_entry(index, index, index) for index in range(1, entries + 1)
        ),
    )
    log = LogNode(
        host="a",
        voters=("a",),
        stored=stored,
        jitter_ms=itertools.repeat(0),
        started_ns=0,
    )
    log.tick(2_000 * NS_PER_MS)
    return log


def _measure_replay_us(entries: int) -> float:
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(folder=Path(folder))
        journal.open()
        for start in range(0, entries, 100):
            batch = [
                patch_entry(index, index, index)
                for index in range(start + 1, start + 101)
            ]
            journal.save_entries(batch)
        journal.close()
        reopened = Journal(folder=Path(folder))
        start_ns = time.perf_counter_ns()
        reopened.open()
        spent_us = (time.perf_counter_ns() - start_ns) / 1_000
        reopened.close()
        return spent_us


def _measure_append_us() -> float:
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(folder=Path(folder))
        journal.open()
        numbers = itertools.count(1)

        def save() -> None:
            number = next(numbers)
            effect = SaveEntries(
                entries=(patch_entry(number, number, number),)
            )
            journal.save_entries(effect.entries)

        median_us = measure_median_us(save, 100)
        journal.close()
        return median_us


def _observe(
    view: GroupView,
    name: str,
    position: int,
    now_ns: int,
    *,
    is_primary: bool,
) -> None:
    view.observe(
        name,
        role="primary" if is_primary else "replica",
        point=LogPoint(term=1, position=position),
        asked_ns=now_ns,
        now_ns=now_ns,
        is_primary=is_primary,
    )


def _choose_replica(view: GroupView, now_ns: int) -> None:
    requirements = ReadRequirements(
        point=LogPoint(term=1, position=1), stale_ms=3_000, has_token=True
    )
    view.choose_replica(
        requirements, primary="db-0a", data_center="dc-1", now_ns=now_ns
    )


def _run_write(entry_node: EntryNode) -> None:
    ticket = entry_node.begin_write("db-0", 0)
    entry_node.end_write(ticket, 0)  # type: ignore[arg-type]


def _build_grant() -> LeaseGrant:
    return LeaseGrant(
        sent_ns=time.monotonic_ns(),
        lease_ms=1_500,
        min_index=25_000,
        closing=(),
    )


def _build_announcement(number: int) -> Announcement:
    group = group_json(number)
    return Announcement(
        target=f"db-{number}b",
        group=f"db-{number}",
        data_center="dc-11",
        address=group["instances"][1]["address"],
        role="replica",
        term=12,
        position=123_456_789,
        leaving=False,
        identity="",
    )


def _build_suspicion() -> Suspicion:
    return Suspicion(
        host="entry-0001",
        group="db-12345",
        target="db-12345a",
        term=12,
        refused=True,
    )


def _build_append(entries: tuple[LogEntry, ...]) -> AppendRequest:
    return AppendRequest(
        term=9,
        leader="control-01",
        prev_index=25_000,
        prev_term=9,
        commit_index=25_000,
        sent_ns=time.monotonic_ns(),
        entries=entries,
    )


async def _measure_round_trip_cpu_us() -> float:
    addresses = {
        "p": Address(ip="127.14.3.1", port=18_301),
        "q": Address(ip="127.14.3.2", port=18_302),
    }
    remaining = 5_000
    done = asyncio.Event()

    def on_p(source: str, message: Message) -> None:
        nonlocal remaining
        remaining -= 1
        if remaining:
            first.send(source, message)
        else:
            done.set()

    def on_q(source: str, message: Message) -> None:
        second.send(source, message)

    first = _build_network("p", addresses, on_p)
    second = _build_network("q", addresses, on_q)
    await first.start()
    await second.start()
    start_ns = time.process_time_ns()
    first.send("q", _build_renewal(1))
    await done.wait()
    spent_us = (time.process_time_ns() - start_ns) / 5_000 / 1_000
    await first.stop()
    await second.stop()
    return spent_us


def _build_network(
    host: str,
    addresses: dict[str, Address],
    receive: Callable[[str, Message], None],
) -> PeerNetwork:
    return PeerNetwork(
        host=host,
        listen=addresses[host],
        addresses=addresses,
        receive=receive,
        network_conditions=UnmodifiedNetwork(),
    )


async def _start_stand_in(folder: Path) -> None:
    instance = StandInInstance(
        name="t",
        group="g",
        data_center="dc",
        ip="127.14.2.1",
        port=13_306,
        folder=folder,
        schema=(),
    )
    server = StandInServer(
        instance=instance,
        network_conditions=UnmodifiedNetwork(),
        user="u",
        password="p",
    )
    await server.start()


def _resident_bytes() -> int:
    text = Path("/proc/self/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * resource.getpagesize()


_START_RESIDENT_BYTES: Final = float(_resident_bytes())


if __name__ == "__main__":
    defopt.run(main)
