"""Contract tests that every kind of target has to pass."""

from __future__ import annotations

import asyncio
import threading
import time
from typing import TYPE_CHECKING

import attrs
import pytest

from rosemarysaddle.link import Address, UnmodifiedNetwork
from rosemarysaddle.standin import (
    InstanceFaults,
    StandInGroup,
    StandInInstance,
    StandInServer,
)
from rosemarysaddle.target import (
    FaultKind,
    InstanceStatus,
    MySqlConnector,
    StatementResult,
    TargetFault,
)
from tests.helpers import TEST_NETWORK

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from rosemarysaddle.target import TargetSession

IP = f"{TEST_NETWORK}.0.1"
FIRST_PORT = 13306
SCHEMA = ("CREATE TABLE t (k VARCHAR(20) PRIMARY KEY, v INT)",)
INSERT = "INSERT INTO t (k, v) VALUES (%s, %s)"
SELECT = "SELECT k, v FROM t ORDER BY k"
TIMEOUT_NS = 5_000_000_000
MAX_SILENT_S = 4.0


@attrs.define(kw_only=True, eq=False)
class Targets:
    """Three stand-in instances that run in a separate event loop."""

    folder: Path
    lag_ms: float = 0.0
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.new_event_loop
    )
    instances: list[StandInInstance] = attrs.field(factory=list)
    servers: list[StandInServer] = attrs.field(factory=list)
    group: StandInGroup | None = None

    def start(self) -> None:
        """Start the instances."""
        self.loop.set_exception_handler(lambda *_: None)
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._start(), self.loop).result()

    def stop(self) -> None:
        """Stop the instances."""
        stopped = asyncio.run_coroutine_threadsafe(self._stop(), self.loop)
        stopped.result(timeout=20)
        self.loop.call_soon_threadsafe(self.loop.stop)

    def connect(self, number: int) -> TargetSession | TargetFault:
        """Try to open a connection to an instance."""
        connector = MySqlConnector(user="u", password="p")
        return connector.connect(
            f"t{number}",
            Address(ip=IP, port=FIRST_PORT + number),
            deadline_ns=time.monotonic_ns() + TIMEOUT_NS,
        )

    def session(self, number: int) -> TargetSession:
        """Open a connection to an instance, which must succeed."""
        session = self.connect(number)
        assert not isinstance(session, TargetFault)
        session.set_deadline(time.monotonic_ns() + TIMEOUT_NS)
        return session

    async def _start(self) -> None:
        for number in range(3):
            instance = StandInInstance(
                name=f"t{number}",
                group="g",
                data_center="dc",
                ip=IP,
                port=FIRST_PORT + number,
                folder=self.folder,
                schema=SCHEMA,
                connections=4,
                faults=InstanceFaults(lag_ms=self.lag_ms),
            )
            server = StandInServer(
                instance=instance,
                network_conditions=UnmodifiedNetwork(),
                user="u",
                password="p",
            )
            await server.start()
            self.instances.append(instance)
            self.servers.append(server)
        self.group = StandInGroup(
            instances=self.instances, network_conditions=UnmodifiedNetwork()
        )
        self.group.start()

    async def _stop(self) -> None:
        if self.group is not None:
            await self.group.stop()
        for server in self.servers:
            await server.stop()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        if others:
            await asyncio.wait(others, timeout=2.0)


@pytest.fixture
def targets(tmp_path: Path) -> Iterator[Targets]:
    """Three instances, the first of which is primary in term 1."""
    stand_ins = Targets(folder=tmp_path)
    stand_ins.start()
    assert stand_ins.session(0).promote(1, start=0) is None
    for number in (1, 2):
        session = stand_ins.session(number)
        assert session.follow(primary="t0", term=1, start=0) is None
    yield stand_ins
    stand_ins.stop()


def _status(session: TargetSession, after: int = -1) -> InstanceStatus:
    status = session.status(after=after, wait_ms=2_000 if after >= 0 else 0)
    assert isinstance(status, InstanceStatus)
    return status


def _wait_for(session: TargetSession, position: int) -> InstanceStatus:
    status = _status(session)
    while status.point.position < position:
        status = _status(session, status.point.position)
    return status


def test_execute_takes_effect_at_commit(targets: Targets) -> None:
    writer, reader = targets.session(0), targets.session(0)
    done = writer.execute(INSERT, ("it's", 1))
    before = reader.read(SELECT, ())

    assert writer.commit() is None
    after = reader.read(SELECT, ())

    assert isinstance(done, StatementResult)
    assert done.affected_rows == 1
    assert isinstance(before, StatementResult)
    assert before.rows == ()
    assert isinstance(after, StatementResult)
    assert [tuple(r) for r in after.rows] == [("it's", 1)]


def test_rollback_discards_the_transaction(targets: Targets) -> None:
    session = targets.session(0)
    session.execute(INSERT, ("a", 1))

    assert session.rollback() is None

    result = session.read(SELECT, ())
    assert isinstance(result, StatementResult)
    assert result.rows == ()


def test_closed_connection_rolls_back(targets: Targets) -> None:
    writer = targets.session(0)
    writer.execute(INSERT, ("a", 1))
    writer.close()

    again = targets.session(0)
    result = again.execute(INSERT, ("a", 2))

    assert isinstance(result, StatementResult)
    assert again.commit() is None


def test_replica_refuses_writes(targets: Targets) -> None:
    fault = targets.session(1).execute(INSERT, ("a", 1))

    assert isinstance(fault, TargetFault)
    assert fault.kind is FaultKind.READ_ONLY


@pytest.mark.parametrize(
    ("sql", "kind"),
    [
        pytest.param("SELECT nothing", FaultKind.STATEMENT, id="syntax"),
        pytest.param("SELECT * FROM u", FaultKind.STATEMENT, id="no-table"),
        pytest.param("VACUUM", FaultKind.STATEMENT, id="not-supported"),
    ],
)
def test_bad_statement_leaves_the_connection_usable(
    targets: Targets, sql: str, kind: FaultKind
) -> None:
    session = targets.session(0)

    fault = session.read(sql, ())

    assert isinstance(fault, TargetFault)
    assert (fault.kind, fault.is_answer) == (kind, True)
    assert isinstance(session.read(SELECT, ()), StatementResult)


def test_second_row_of_a_key_is_a_duplicate(targets: Targets) -> None:
    session = targets.session(0)
    session.execute(INSERT, ("a", 1))

    fault = session.execute(INSERT, ("a", 2))

    assert isinstance(fault, TargetFault)
    assert fault.kind is FaultKind.DUPLICATE


def test_position_grows_and_reaches_replicas(targets: Targets) -> None:
    primary, replica = targets.session(0), targets.session(1)
    before = _status(primary).point
    primary.execute(INSERT, ("a", 1))
    primary.commit()

    after = _status(primary).point
    seen = _wait_for(replica, after.position)

    assert after > before
    assert (seen.role, seen.point) == ("replica", after)
    result = replica.read(SELECT, ())
    assert isinstance(result, StatementResult)
    assert len(result.rows) == 1


def test_promotion_is_idempotent_and_needs_a_newer_term(
    targets: Targets,
) -> None:
    session = targets.session(1)

    assert session.promote(2, start=0) is None
    assert session.promote(2, start=0) is None
    outdated = session.promote(1, start=0)

    assert isinstance(outdated, TargetFault)
    assert (_status(session).role, _status(session).point.term) == (
        "primary",
        2,
    )


def test_promotion_is_refused_by_an_instance_that_lacks_records(
    targets: Targets,
) -> None:
    session = targets.session(1)

    fault = session.promote(2, start=99)

    assert isinstance(fault, TargetFault)
    assert _status(session).role == "replica"


def test_instance_that_lost_its_disk_has_a_new_identity(
    targets: Targets,
) -> None:
    before = _status(targets.session(1)).identity
    targets.loop.call_soon_threadsafe(targets.instances[1].lose_disk)

    after = _status(targets.session(1))

    assert before
    assert after.identity != before
    assert (after.role, after.point.position) == ("replica", 0)


def test_old_primary_drops_records_that_were_not_replicated(
    targets: Targets,
) -> None:
    old, new = targets.session(0), targets.session(1)
    assert _wait_for(new, 1)
    assert new.promote(2, start=0) is None
    old.execute(INSERT, ("lost", 1))
    old.commit()
    new.execute(INSERT, ("kept", 1))
    new.commit()

    assert old.follow(primary="t1", term=2, start=1) is None
    _wait_for(old, _status(new).point.position)

    result = targets.session(0).read(SELECT, ())
    assert isinstance(result, StatementResult)
    assert [r[0] for r in result.rows] == ["kept"]
    assert [r.statements for r in targets.instances[0].discarded]


def test_transaction_of_a_replaced_primary_cannot_commit(
    targets: Targets,
) -> None:
    writer = targets.session(0)
    writer.execute(INSERT, ("a", 1))
    new = targets.session(1)
    assert new.promote(2, start=0) is None
    targets.session(0).follow(primary="t1", term=2, start=0)

    fault = writer.commit()

    assert isinstance(fault, TargetFault)
    assert fault.kind is FaultKind.READ_ONLY


def test_write_that_waited_for_a_replaced_primary_begins_nothing(
    targets: Targets,
) -> None:
    """Guards against a transaction that ends replication to it."""
    holder, waiter = targets.session(0), targets.session(0)
    holder.execute(INSERT, ("a", 1))
    results: list[StatementResult | TargetFault] = []
    thread = threading.Thread(
        target=lambda: results.append(waiter.execute(INSERT, ("b", 1)))
    )
    thread.start()
    time.sleep(0.2)
    new = targets.session(1)
    assert new.promote(2, start=0) is None
    assert targets.session(0).follow(primary="t1", term=2, start=0) is None

    assert isinstance(holder.commit(), TargetFault)

    thread.join()
    fault = results[0]
    assert isinstance(fault, TargetFault)
    assert fault.kind is FaultKind.READ_ONLY
    new.execute(INSERT, ("c", 1))
    assert new.commit() is None
    position = _status(new).point.position
    replica = targets.session(0)
    deadline_s = time.monotonic() + 5
    while _status(replica).point.position < position:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


def test_connections_are_limited(targets: Targets) -> None:
    sessions = [targets.connect(2) for _ in range(6)]

    faults = [s for s in sessions if isinstance(s, TargetFault)]
    assert faults
    assert {f.kind for f in faults} == {FaultKind.FULL}


def test_crashed_target_refuses_connections(targets: Targets) -> None:
    crash = targets.servers[0].crash()
    asyncio.run_coroutine_threadsafe(crash, targets.loop).result()

    fault = targets.connect(0)

    assert isinstance(fault, TargetFault)
    assert fault.kind is FaultKind.REFUSED


def test_frozen_connection_times_out_while_new_one_works(
    targets: Targets,
) -> None:
    frozen = targets.session(0)
    targets.servers[0].freeze_connections()
    frozen.set_deadline(time.monotonic_ns() + 100_000_000)

    fault = frozen.read(SELECT, ())

    assert isinstance(fault, TargetFault)
    assert fault.kind is FaultKind.TIMEOUT
    assert isinstance(targets.session(0).read(SELECT, ()), StatementResult)


def test_frozen_connections_count_for_a_bounded_time(
    targets: Targets,
) -> None:
    """Guards against a target that stays full after such a fault."""
    sessions = [targets.session(0) for _ in range(4)]
    assert not isinstance(sessions[0].execute(INSERT, ("a", 1)), TargetFault)
    targets.servers[0].freeze_connections()
    deadline_s = time.monotonic() + MAX_SILENT_S
    for session in sessions:
        session.set_deadline(time.monotonic_ns() + 50_000_000)
        assert isinstance(session.read(SELECT, ()), TargetFault)
        session.close()

    fault = targets.connect(0)

    assert isinstance(fault, TargetFault)
    assert fault.kind is FaultKind.FULL
    while isinstance(targets.connect(0), TargetFault):
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
    result = targets.session(0).read(INSERT, ("b", 2))
    assert not isinstance(result, TargetFault)
    rows = targets.session(0).read(SELECT, ())
    assert isinstance(rows, StatementResult)
    assert rows.rows == (("b", 2),)


def test_interrupt_ends_a_statement_of_another_thread(
    targets: Targets,
) -> None:
    session = targets.session(0)
    targets.servers[0].freeze_connections()
    timer = threading.Timer(0.1, session.interrupt)
    timer.start()

    fault = session.read(SELECT, ())

    assert isinstance(fault, TargetFault)
    assert fault.kind is FaultKind.LOST
    timer.join()
