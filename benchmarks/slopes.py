"""Slopes of the decision core, the codec and the journal.

Run ``python benchmarks/slopes.py``; it prints a table, and with
``--report FILE`` also writes the fits as JSON.  Every slope is taken at
three sizes or more, with the largest deviation from its line.
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
from rosemarysaddle.decide._neighbours import NeighbourLists
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
GATHERED_NS: Final = 10_000_000_000
ENTRY_SIZES: Final = (1_000, 5_000, 25_000)
SAMPLE_SIZES: Final = (4, 64, 256)
CONNECTION_SIZES: Final = (1_000, 2_500, 4_615)
REPEATS: Final = 200
MAX_BODY_BYTES: Final = 65_536
MS: Final = 1_000_000


@attrs.frozen(kw_only=True)
class Slope:
    """One measured slope.

    :param each: change of the value for one more unit
    :param base: value of the line at zero units
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


def fit(
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
    """Build one group with three instances."""
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
    """Build the entry of a patch of one group."""
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
    """Build the state of a number of groups with open terms."""
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
        _apply(state, EntryKind.CHANGE, payload)
    for number in range(groups):
        opened = {
            "group": f"db-{number}",
            "term": 1,
            "primary": f"db-{number}a",
            "start": 0,
        }
        _apply(state, EntryKind.OPEN, opened)
    return state


def build_view(groups: int) -> list[GroupView]:
    """Build what a host knows of a number of groups."""
    views = []
    for number in range(groups):
        view = GroupView(group=f"db-{number}", random_below=lambda n: n - 1)
        for letter in "abc":
            name = f"db-{number}{letter}"
            view.targets[name] = TargetView(name=name, data_center="dc-1")
        views.append(view)
    return views


def bytes_of(build: Callable[[], object]) -> float:
    """Measure the memory that an object holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(held)


def us_of(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Measure the median time of a call, in microseconds."""
    times = []
    for _ in range(repeats):
        began = time.perf_counter_ns()
        work()
        times.append((time.perf_counter_ns() - began) / 1_000)
    return statistics.median(times)


def wire_bytes(message: Message) -> int:
    """Size of a message on the wire, with its length prefix."""
    envelope = Envelope(source="entry-0001", request_id=9, body=message)
    return 4 + len(encode(envelope))


def measure_groups() -> list[Slope]:
    """Measure what grows with the number of databases."""
    held = [bytes_of(functools.partial(build_state, n)) for n in GROUP_SIZES]
    viewed = [bytes_of(functools.partial(build_view, n)) for n in GROUP_SIZES]
    changed, dumped, loaded, sizes, ticked = [], [], [], [], []
    announced = []
    for groups in GROUP_SIZES:
        state = build_state(groups)
        changed.append(_us_of_patch(state))
        text = state.dump()
        sizes.append(float(len(text)))
        dumped.append(us_of(state.dump, 3))
        loaded.append(us_of(functools.partial(ClusterState.load, text), 3))
        leader = build_leader(state)
        now_ns = time.monotonic_ns()
        heard = functools.partial(
            leader.receive, "h", _announcement(groups - 1), now_ns
        )
        announced.append(us_of(heard))
        ticked.append(us_of(functools.partial(leader.tick, now_ns)))
    rows = (
        ("state of a database at a host", "B", held),
        ("watch view of a database", "B", viewed),
        ("patch applied, by databases", "us", changed),
        ("snapshot size", "B", sizes),
        ("snapshot written", "us", dumped),
        ("snapshot read", "us", loaded),
        ("leader tick, by databases", "us", ticked),
        ("announcement at the leader, by databases", "us", announced),
    )
    return [fit(n, u, GROUP_SIZES, v) for n, u, v in rows]


def measure_hosts() -> list[Slope]:
    """Measure what grows with the number of entry hosts."""
    renewed, held, spread = [], [], []
    for hosts in HOST_SIZES:
        leader = build_leader(build_state(100))
        for number in range(hosts):
            _renew(leader, number)
        renewed.append(us_of(functools.partial(_renew, leader, hosts - 1)))
        held.append(bytes_of(functools.partial(_leases, hosts)))
        spread.append(_us_of_spread(leader, hosts))
    rows = (
        ("lease renewal at the leader", "us", renewed),
        ("lease of a host at the leader", "B", held),
        ("change spread to all hosts, without sockets", "us", spread),
    )
    return [fit(n, u, HOST_SIZES, v) for n, u, v in rows]


def measure_lending() -> list[Slope]:
    """Measure what grows with the entry hosts of one data centre."""
    sizes, rendered, ranked = [], [], []
    for count in NEIGHBOUR_SIZES:
        ask = _known_neighbours(count)
        instants = itertools.count(GATHERED_NS, GATHERED_NS)
        sizes.append(wire_bytes(ask(next(instants))))
        rendered.append(us_of(functools.partial(_at_next, ask, instants), 20))
        addresses = [f"10.1.{n // 250}.{n % 250}:7455" for n in range(count)]
        ranking = LenderRanking(own=addresses[0])
        ranking.replace(addresses)
        targets = map(str, itertools.count())
        ranked.append(us_of(functools.partial(_rank, ranking, targets), 50))
    rows = (
        ("neighbour list", "B", sizes),
        ("neighbour list rendered at the leader", "us", rendered),
        ("lender of a target, asked first", "us", ranked),
    )
    return [fit(n, u, NEIGHBOUR_SIZES, v) for n, u, v in rows]


def _at_next(
    ask: Callable[[int], Neighbours], instants: Iterator[int]
) -> None:
    ask(next(instants))


def _rank(ranking: LenderRanking, targets: Iterator[str]) -> None:
    ranking.lender(next(targets), 0)


def _known_neighbours(count: int) -> Callable[[int], Neighbours]:
    """Let all hosts of a data centre renew; give the next question."""
    lists = NeighbourLists()
    lists.on_elected(-GATHERED_NS)
    names = [f"entry-{number:04d}" for number in range(count)]
    centers = dict.fromkeys(names, "dc")

    def ask(number: int, now_ns: int) -> Neighbours:
        address = f"10.1.{number // 250}.{number % 250}:7455"
        renewal = attrs.evolve(
            _renewal(0), data_center="dc", lending_address=address
        )
        found = lists.list_if_changed(
            names[number],
            renewal,
            centers=centers,
            present=names,
            now_ns=now_ns,
        )
        assert found is not None  # noqa: S101
        return found

    for number in range(count):
        ask(number, 0)
    return functools.partial(ask, 0)


def _pass_loan() -> None:
    """Render and read the messages of one loan, and its statement."""
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
        frame_message(build_loan_return(setup)),
    ):
        reader.feed(frame)


def measure_log() -> list[Slope]:
    """Measure what grows with the number of log entries."""
    held, proposed, replayed = [], [], []
    for entries in ENTRY_SIZES:
        held.append(bytes_of(functools.partial(_log, entries)))
        log = _log(entries)
        kind = EntryKind.CLOSE
        proposed.append(us_of(functools.partial(log.propose, kind, "{}", 0)))
        replayed.append(_us_of_replay(entries))
    rows = (
        ("log entry in memory", "B", held),
        ("entry appended", "us", proposed),
        ("journal read at the start", "us", replayed),
    )
    return [fit(n, u, ENTRY_SIZES, v) for n, u, v in rows]


def measure_route() -> list[Slope]:
    """Measure a route by the number of kept samples."""
    near, far = [], []
    for samples in SAMPLE_SIZES:
        view = build_view(1)[0]
        now_ns = time.monotonic_ns()
        for number in range(1, samples + 1):
            _observe(view, "db-0a", number, now_ns, is_primary=True)
        for name in ("db-0b", "db-0c"):
            _observe(view, name, samples, now_ns, is_primary=False)
        near.append(us_of(functools.partial(_route, view, now_ns)))
        for name in ("db-0b", "db-0c"):
            _observe(view, name, 1, now_ns, is_primary=False)
        far.append(us_of(functools.partial(_route, view, now_ns)))
    rows = (
        ("route, replicas caught up", "us", near),
        ("route, replicas far behind", "us", far),
    )
    return [fit(n, u, SAMPLE_SIZES, v) for n, u, v in rows]


def measure_connections() -> list[Slope]:
    """Measure the memory of silent caller connections."""
    server = HttpServer(
        address=Address(ip="127.14.1.1", port=18_200),
        threads=16,
        max_body_bytes=MAX_BODY_BYTES,
    )
    server.start()
    kept: list[socket.socket] = []
    values = []
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for size in CONNECTION_SIZES:
        while len(kept) < size:
            kept.append(socket.create_connection(("127.14.1.1", 18_200)))
        time.sleep(1.0)
        now, _ = tracemalloc.get_traced_memory()
        values.append(float(now - before))
    tracemalloc.stop()
    for sock in kept:
        sock.close()
    server.stop()
    return [fit("caller connection", "B", CONNECTION_SIZES, values)]


def measure_peers() -> float:
    """Measure the CPU of one message and its answer, both ends.

    :return: microseconds
    """
    return asyncio.run(_us_of_peers())


def measure_status() -> float:
    """Measure the CPU that reading a target's status costs the reader.

    :return: microseconds
    """
    with tempfile.TemporaryDirectory() as folder:
        loop = asyncio.new_event_loop()
        threading.Thread(target=loop.run_forever, daemon=True).start()
        started = _stand_in(Path(folder))
        asyncio.run_coroutine_threadsafe(started, loop).result()
        connector = MySqlConnector(user="u", password="p")
        session = connector.connect(
            "t",
            Address(ip="127.14.2.1", port=13_306),
            deadline_ns=time.monotonic_ns() + 5_000 * MS,
        )
        if isinstance(session, TargetFault):
            raise SystemExit(session.detail)
        session.set_deadline(time.monotonic_ns() + 60_000 * MS)
        began = time.thread_time_ns()
        for _ in range(2_000):
            session.status(after=0, wait_ms=0)
        spent_us = (time.thread_time_ns() - began) / 2_000 / 1_000
        session.close()
        loop.call_soon_threadsafe(loop.stop)
        return spent_us


def measure_constants() -> dict[str, float]:
    """Measure single calls and message sizes."""
    tokens = TokenCodec(keys=(b"k" * 32,))
    token = SessionToken().advance("db-1", LogPoint(term=3, position=12_345))
    text = tokens.encode(token)
    renewal = _renewal(7)
    delta = ViewDelta(entries=(patch_entry(9_000, 7, 8_999),))
    entry = EntryNode(host="h", data_center="dc", address="", control=("a",))
    entry.state = build_state(1)
    entry.lease.deadline_ns = 1 << 62
    framed = encode(Envelope(source="h", request_id=1, body=renewal))
    found = {
        "renewal B": wire_bytes(renewal),
        "grant B": wire_bytes(_grant()),
        "change of one database B": wire_bytes(delta),
        "announcement B": wire_bytes(_announcement(12_345)),
        "suspicion B": wire_bytes(_suspicion()),
        "log append of one change B": wire_bytes(_append(delta.entries)),
        "log heartbeat B": wire_bytes(_append(())),
        "session token chars": len(text),
        "message and answer, both ends us": measure_peers(),
        "status of a target, reader us": measure_status(),
        "resident B of the benchmark at its start": _START_BYTES,
        "encode us": us_of(
            lambda: encode(Envelope(source="h", request_id=1, body=renewal))
        ),
        "decode us": us_of(lambda: decode(framed)),
        "token signed us": us_of(lambda: tokens.encode(token)),
        "token verified us": us_of(lambda: tokens.decode(text)),
        "write begun and ended us": us_of(lambda: _write(entry)),
        "journal append and sync us": _us_of_sync(),
        "frames of a loan, both ends us": us_of(_pass_loan),
    }
    return {name: float(value) for name, value in found.items()}


def measure() -> tuple[list[Slope], dict[str, float]]:
    """Measure everything."""
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
    """Measure and print.

    :param report: file for the fits in JSON
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
    """Build a leader that is the only voter, with a state."""
    log = LogNode(
        host="a",
        voters=("a",),
        stored=StoredLog(),
        jitter_ms=itertools.repeat(0),
        started_ns=time.monotonic_ns() - 10_000 * MS,
    )
    leader = ControlNode(log=log, state=ClusterState(), data_center="dc-1")
    leader.tick(time.monotonic_ns())
    state.index = 0
    leader._replace_state(state)  # noqa: SLF001
    leader.tick(time.monotonic_ns())
    return leader


def _apply(state: ClusterState, kind: str, payload: Any) -> None:
    entry = LogEntry(
        index=state.index + 1, term=1, kind=kind, payload=json.dumps(payload)
    )
    state.apply(entry)


def _us_of_patch(state: ClusterState) -> float:
    entries = [
        patch_entry(state.index + 1 + k, k, state.inventory_version + k)
        for k in range(REPEATS)
    ]
    source = iter(entries)
    return us_of(lambda: state.apply(next(source)))


def _renewal(number: int) -> LeaseRenewal:
    return LeaseRenewal(
        host=f"entry-{number:04d}",
        data_center=f"dc-{number % 13}",
        sent_ns=time.monotonic_ns(),
        applied_index=1 << 20,
        address="10.1.2.3:8100",
    )


def _renew(leader: ControlNode, number: int) -> None:
    now_ns = time.monotonic_ns()
    leader.receive(f"entry-{number:04d}", _renewal(number), now_ns)


def _leases(hosts: int) -> ControlNode:
    leader = build_leader(ClusterState())
    for number in range(hosts):
        _renew(leader, number)
    return leader


def _us_of_spread(leader: ControlNode, hosts: int) -> float:
    closed = json.dumps({"group": "none", "term": 0})

    def spread() -> None:
        now_ns = time.monotonic_ns()
        leader._propose(EntryKind.CLOSE, closed, now_ns)  # noqa: SLF001

    for number in range(hosts):
        _renew(leader, number)
    return us_of(spread, 20)


def _log(entries: int) -> LogNode:
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
    log.tick(2_000 * MS)
    return log


def _us_of_replay(entries: int) -> float:
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
        again = Journal(folder=Path(folder))
        began = time.perf_counter_ns()
        again.open()
        spent_us = (time.perf_counter_ns() - began) / 1_000
        again.close()
        return spent_us


def _us_of_sync() -> float:
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

        found = us_of(save, 100)
        journal.close()
        return found


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


def _route(view: GroupView, now_ns: int) -> None:
    requirements = ReadRequirements(
        point=LogPoint(term=1, position=1), stale_ms=3_000, has_token=True
    )
    view.choose_replica(
        requirements, primary="db-0a", data_center="dc-1", now_ns=now_ns
    )


def _write(entry: EntryNode) -> None:
    ticket = entry.begin_write("db-0", 0)
    entry.end_write(ticket, 0)  # type: ignore[arg-type]


def _grant() -> LeaseGrant:
    return LeaseGrant(
        sent_ns=time.monotonic_ns(),
        lease_ms=1_500,
        min_index=25_000,
        closing=(),
    )


def _announcement(number: int) -> Announcement:
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


def _suspicion() -> Suspicion:
    return Suspicion(
        host="entry-0001",
        group="db-12345",
        target="db-12345a",
        term=12,
        refused=True,
    )


def _append(entries: tuple[LogEntry, ...]) -> AppendRequest:
    return AppendRequest(
        term=9,
        leader="control-01",
        prev_index=25_000,
        prev_term=9,
        commit_index=25_000,
        sent_ns=time.monotonic_ns(),
        entries=entries,
    )


async def _us_of_peers() -> float:
    addresses = {
        "p": Address(ip="127.14.3.1", port=18_301),
        "q": Address(ip="127.14.3.2", port=18_302),
    }
    left = 5_000
    done = asyncio.Event()

    def on_p(source: str, message: Message) -> None:
        nonlocal left
        left -= 1
        if left:
            first.send(source, message)
        else:
            done.set()

    def on_q(source: str, message: Message) -> None:
        second.send(source, message)

    first = _network("p", addresses, on_p)
    second = _network("q", addresses, on_q)
    await first.start()
    await second.start()
    began = time.process_time_ns()
    first.send("q", _renewal(1))
    await done.wait()
    spent_us = (time.process_time_ns() - began) / 5_000 / 1_000
    await first.stop()
    await second.stop()
    return spent_us


def _network(
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


async def _stand_in(folder: Path) -> None:
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


_START_BYTES: Final = float(_resident_bytes())


if __name__ == "__main__":
    defopt.run(main)
