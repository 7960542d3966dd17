from __future__ import annotations

import concurrent.futures
import hashlib
import json
import time
from typing import Any

import attrs
import pytest

from rosemarysaddle.daemon import SharedEntryNode
from rosemarysaddle.decide import (
    ClusterState,
    EntryNode,
    GroupTerm,
    InventoryTable,
    LogPoint,
    TokenCodec,
)
from rosemarysaddle.link import Address
from rosemarysaddle.observe import Metrics
from rosemarysaddle.schema import (
    Group,
    Instance,
    Inventory,
    RequestClass,
    Rules,
    Tenant,
)
from rosemarysaddle.serve import ApiPath, StatementService
from rosemarysaddle.target import FaultKind, InstanceStatus, TargetPool
from tests.helpers import NS_PER_MS, FakeTarget

NAMES = ("db-1a", "db-1b", "db-1c")
FAR_FUTURE_NS = 1 << 62
INSERT = {"sql": "INSERT INTO t VALUES (%s)", "args": [1]}
SELECT = {"sql": "SELECT 1"}


@attrs.define(kw_only=True)
class Harness:
    """Statement service with three fake targets."""

    targets: dict[str, FakeTarget]
    shared_node: SharedEntryNode
    service: StatementService

    @classmethod
    def build(cls, *, replicas_caught_up: bool = True) -> Harness:
        """Build a harness whose first target is the primary.

        :param replicas_caught_up: whether the replicas report a
            position beyond the next writes
        """
        node = EntryNode(
            host="h1",
            data_center="dc-1",
            address="127.0.0.1:8100",
            control=["a"],
            state=_build_state(),
        )
        node.lease.deadline_ns = FAR_FUTURE_NS
        node.ready = True
        shared_node = SharedEntryNode(node=node, held_per_group=2, seed=1)
        targets = {n: FakeTarget(name=n, role="replica") for n in NAMES}
        targets["db-1a"].role = "primary"
        harness = cls(
            targets=targets,
            shared_node=shared_node,
            service=StatementService(
                shared_node=shared_node,
                tokens=TokenCodec(keys=(b"k" * 32,)),
                metrics=Metrics(),
            ),
        )
        harness._add_targets()
        harness.observe("db-1a", 5)
        for name in NAMES[1:]:
            harness.observe(name, 100 if replicas_caught_up else 5)
        return harness

    def observe(self, name: str, position: int, term: int = 1) -> None:
        """Report the status of a target to the entry node."""
        role = "primary" if name == "db-1a" else "replica"
        point = LogPoint(term=term, position=position)
        status = InstanceStatus(role=role, point=point)
        self.shared_node.observe(name, status, time.monotonic_ns())

    def call(
        self, path: str = ApiPath.STATEMENTS, **body: Any
    ) -> dict[str, Any]:
        """Send a request; return the body and ``http``, its status."""
        fields = {"group": "db-1", "deadline_ms": 150, **body}
        reply = self.service.handle(
            path,
            json.dumps(fields).encode(),
            tenant="sample",
            credential="secret",
        )
        answer: dict[str, Any] = json.loads(reply.body)
        answer["http"] = reply.status
        return answer

    def write(self, **body: Any) -> dict[str, Any]:
        """Write one row."""
        return self.call(write=True, statements=[INSERT], **body)

    def write_with_key(
        self, key: str = "key-0001", **body: Any
    ) -> dict[str, Any]:
        """Write one row under an idempotency key."""
        expires_at_ms = int(time.time() * 1_000) + 60_000
        return self.write(key=key, key_expires_at_ms=expires_at_ms, **body)

    def _add_targets(self) -> None:
        group = self.shared_node.node.state.inventory.groups["db-1"]
        for instance in group.instances:
            self.shared_node.add_target(group, instance)
            self.shared_node.pools[instance.name] = TargetPool(
                name=instance.name,
                address=Address.parse(instance.address),
                connector=self.targets[instance.name],
                limit=2,
            )


def _build_state() -> ClusterState:
    instances = tuple(
        Instance(
            name=name,
            data_center=f"dc-{number}",
            address=f"127.0.0.{number}:3306",
        )
        for number, name in enumerate(NAMES, 1)
    )
    tenant = Tenant(
        name="sample",
        credential_sha256=hashlib.sha256(b"secret").hexdigest(),
        groups=("db-1",),
    )
    return ClusterState(
        inventory_version=1,
        inventory=InventoryTable.of(
            Inventory(
                groups=(
                    Group(name="db-1", instances=instances),
                    Group(name="db-2", instances=()),
                ),
                tenants=(tenant,),
            )
        ),
        rules=Rules(classes=(RequestClass(name="summary", stale_ms=2_000),)),
        terms={"db-1": GroupTerm(term=1, primary="db-1a", is_open=True)},
    )


def test_write_succeeds_when_replicas_confirm() -> None:
    harness = Harness.build()

    answer = harness.write()

    assert answer["outcome"] == "done"
    assert answer["served_by"]["position"] == 6
    assert harness.targets["db-1a"].stored == [INSERT["sql"]]


def test_write_not_confirmed_by_replicas_is_unknown() -> None:
    harness = Harness.build(replicas_caught_up=False)

    answer = harness.write()

    assert (answer["outcome"], answer["type"]) == (
        "unknown",
        "urn:rosemarysaddle:problem:unconfirmed",
    )


@pytest.mark.parametrize(
    ("step", "kind", "outcome", "stored"),
    [
        pytest.param("connect", FaultKind.REFUSED, "not-run", 0, id="connect"),
        pytest.param("connect", FaultKind.FULL, "not-run", 0, id="full"),
        pytest.param("execute", FaultKind.LOST, "not-run", 0, id="lost"),
        pytest.param("execute", FaultKind.TIMEOUT, "not-run", 0, id="silent"),
        pytest.param("execute", FaultKind.STATEMENT, "not-run", 0, id="sql"),
        pytest.param(
            "execute", FaultKind.READ_ONLY, "not-run", 0, id="read-only"
        ),
        pytest.param("commit", FaultKind.LOST, "unknown", 1, id="commit-lost"),
        pytest.param(
            "commit", FaultKind.TIMEOUT, "unknown", 1, id="commit-silent"
        ),
        pytest.param(
            "commit", FaultKind.READ_ONLY, "not-run", 0, id="commit-refused"
        ),
        pytest.param("status", FaultKind.LOST, "unknown", 1, id="position"),
    ],
)
def test_write_reports_outcome_of_fault(
    step: str, kind: FaultKind, outcome: str, stored: int
) -> None:
    harness = Harness.build()
    harness.targets["db-1a"].faults[step] = kind

    answer = harness.write()

    assert answer["outcome"] == outcome
    assert len(harness.targets["db-1a"].stored) == stored
    assert not harness.shared_node.node._running_writes


def test_read_is_refused_before_host_has_caught_up() -> None:
    harness = Harness.build()
    harness.shared_node.node.ready = False

    answer = harness.call(statements=[SELECT])

    assert answer["type"].endswith("no-configuration")
    assert answer["outcome"] == "not-run"


def test_write_is_refused_without_lease() -> None:
    harness = Harness.build()
    harness.shared_node.node.lease.deadline_ns = 0

    answer = harness.write()

    assert answer["type"].endswith("no-lease")
    assert (answer["outcome"], answer["http"]) == ("not-run", 503)
    assert answer["retry_after_ms"] > 0


def test_waiting_requests_per_group_are_limited() -> None:
    harness = Harness.build()
    harness.shared_node.node.lease.deadline_ns = 0
    with concurrent.futures.ThreadPoolExecutor(5) as pool:
        futures = [pool.submit(harness.write) for _ in range(5)]
        answers = [f.result() for f in futures]

    types = sorted(a["type"].rpartition(":")[2] for a in answers)
    assert types == ["no-lease"] * 2 + ["overloaded"] * 3
    assert {a["outcome"] for a in answers} == {"not-run"}
    assert all(a["retry_after_ms"] for a in answers)


def test_write_is_unknown_if_lease_ends_during_commit() -> None:
    harness = Harness.build(replicas_caught_up=False)
    harness.shared_node.node.lease.deadline_ns = (
        time.monotonic_ns() + 50 * NS_PER_MS
    )

    answer = harness.write()

    assert (answer["outcome"], answer["type"]) == (
        "unknown",
        "urn:rosemarysaddle:problem:lease-ended",
    )


def test_write_is_refused_if_replicas_are_unreachable() -> None:
    harness = Harness.build()
    for name in NAMES[1:]:
        harness.shared_node.mark_unreachable(name)

    answer = harness.write()

    assert answer["outcome"] == "not-run"
    assert answer["type"].endswith("replicas-behind")
    assert harness.targets["db-1a"].opened == 0


def test_key_returns_result_of_first_attempt() -> None:
    harness = Harness.build()
    first = harness.write_with_key()

    again = harness.write_with_key(resend=True)

    assert again["repeated"] is True
    assert again["results"] == first["results"]
    assert len(harness.targets["db-1a"].stored) == 1


def test_key_returns_result_after_lost_commit_answer() -> None:
    harness = Harness.build()
    harness.targets["db-1a"].faults["commit"] = FaultKind.LOST
    assert harness.write_with_key()["outcome"] == "unknown"
    harness.targets["db-1a"].faults.clear()

    again = harness.write_with_key(resend=True)

    assert (again["outcome"], again["repeated"]) == ("done", True)
    assert len(harness.targets["db-1a"].stored) == 1


def test_key_reused_for_other_statements_is_refused() -> None:
    harness = Harness.build()
    harness.write_with_key()
    other = {"sql": "DELETE FROM t"}
    expires_at_ms = int(time.time() * 1_000) + 60_000

    answer = harness.call(
        write=True,
        statements=[other],
        key="key-0001",
        key_expires_at_ms=expires_at_ms,
    )

    assert (answer["outcome"], answer["http"]) == ("not-run", 409)
    assert len(harness.targets["db-1a"].stored) == 1


def test_expired_key_is_refused() -> None:
    answer = Harness.build().write(key="key-0001", key_expires_at_ms=1)

    assert answer["type"].endswith("key-expired")


def test_resend_that_cannot_run_is_unknown() -> None:
    harness = Harness.build()
    harness.shared_node.node.lease.deadline_ns = 0

    assert harness.write_with_key()["outcome"] == "not-run"
    assert harness.write_with_key(resend=True)["outcome"] == "unknown"


def test_read_without_token_goes_to_primary() -> None:
    harness = Harness.build()

    answer = harness.call(statements=[SELECT], **{"class": "summary"})

    assert answer["served_by"]["role"] == "primary"


def test_read_with_token_goes_to_replica() -> None:
    harness = Harness.build()
    token = harness.write()["token"]

    answer = harness.call(
        statements=[SELECT], token=token, **{"class": "summary"}
    )

    assert answer["served_by"]["role"] == "replica"
    assert answer["served_by"]["age_ms"] <= 2_000


def test_read_goes_to_primary_if_replicas_lack_own_write() -> None:
    harness = Harness.build()
    token = harness.write()["token"]
    for name in NAMES[1:]:
        harness.observe(name, 5)

    answer = harness.call(
        statements=[SELECT], token=token, **{"class": "summary"}
    )

    assert answer["served_by"]["role"] == "primary"


def test_read_avoids_leaving_replica() -> None:
    harness = Harness.build()
    token = harness.write()["token"]
    harness.shared_node.mark_leaving("db-1b")

    served = {
        harness.call(statements=[SELECT], token=token, **{"class": "summary"})[
            "served_by"
        ]["target"]
        for _ in range(20)
    }

    assert served == {"db-1c"}


@pytest.mark.parametrize(
    "kind", [FaultKind.LOST, FaultKind.TIMEOUT, FaultKind.STATEMENT]
)
def test_failed_read_is_not_run(kind: FaultKind) -> None:
    harness = Harness.build()
    harness.targets["db-1a"].faults["read"] = kind

    answer = harness.call(statements=[SELECT])

    assert answer["outcome"] == "not-run"


def test_transaction_stores_statements_only_at_commit() -> None:
    harness = Harness.build()
    handle = harness.call(ApiPath.BEGIN)["transaction"]
    for _ in range(2):
        done = harness.call(
            ApiPath.EXECUTE,
            transaction=handle,
            write=True,
            statements=[INSERT],
        )
        assert done["outcome"] == "done"
    assert harness.targets["db-1a"].stored == []

    answer = harness.call(ApiPath.COMMIT, transaction=handle)

    assert answer["outcome"] == "done"
    assert len(harness.targets["db-1a"].stored) == 2
    ended = harness.call(ApiPath.COMMIT, transaction=handle)
    assert ended["type"].endswith("unknown-transaction")


def test_transaction_of_closed_term_is_not_committed() -> None:
    harness = Harness.build()
    handle = harness.call(ApiPath.BEGIN)["transaction"]
    harness.call(
        ApiPath.EXECUTE,
        transaction=handle,
        write=True,
        statements=[INSERT],
    )
    harness.shared_node.node.lease.close("db-1", 1)

    answer = harness.call(ApiPath.COMMIT, transaction=handle)

    assert answer["outcome"] == "not-run"
    assert harness.targets["db-1a"].stored == []


def test_transaction_of_other_tenant_is_unknown() -> None:
    harness = Harness.build()
    handle = harness.call(ApiPath.BEGIN)["transaction"]
    open_transaction = next(
        iter(harness.service.transactions._transactions.values())
    )
    open_transaction.tenant = "other"

    answer = harness.call(ApiPath.COMMIT, transaction=handle)

    assert answer["http"] == 404


def test_idle_transaction_is_rolled_back() -> None:
    harness = Harness.build()
    harness.call(ApiPath.BEGIN)
    open_transaction = next(
        iter(harness.service.transactions._transactions.values())
    )
    open_transaction.idle_deadline_ns = 0

    assert harness.service.transactions.expire() == 1
    assert harness.service.transactions.count() == 0
    assert not harness.shared_node.node._running_writes


@pytest.mark.parametrize(
    ("body", "http", "problem"),
    [
        pytest.param({}, 400, "bad-request", id="no-statements"),
        pytest.param(
            {"statements": [{"sql": "DROP TABLE t"}]},
            400,
            "bad-request",
            id="verb",
        ),
        pytest.param(
            {"statements": [INSERT]}, 400, "bad-request", id="write-as-read"
        ),
        pytest.param(
            {"statements": [SELECT], "extra": 1},
            400,
            "bad-request",
            id="extra-field",
        ),
        pytest.param(
            {"statements": [SELECT] * 65}, 400, "bad-request", id="too-many"
        ),
        pytest.param(
            {"statements": [SELECT], "deadline_ms": "soon"},
            400,
            "bad-request",
            id="type",
        ),
        pytest.param(
            {"statements": [SELECT], "group": "db-9"},
            404,
            "unknown-group",
            id="group",
        ),
        pytest.param(
            {"statements": [SELECT], "group": "db-2"},
            403,
            "forbidden-group",
            id="forbidden",
        ),
        pytest.param(
            {"statements": [SELECT], "class": "gold"},
            400,
            "unknown-class",
            id="class",
        ),
        pytest.param(
            {"statements": [SELECT], "token": "forged"},
            400,
            "bad-token",
            id="token",
        ),
        pytest.param(
            {"statements": [INSERT], "write": True, "key": "key-00001"},
            400,
            "bad-request",
            id="key-without-expiry",
        ),
        pytest.param(
            {"transaction": "h9~127.0.0.1:1~aa~00"},
            400,
            "bad-request",
            id="forged-handle",
        ),
    ],
)
def test_invalid_request_is_refused(
    body: dict[str, Any], http: int, problem: str
) -> None:
    answer = Harness.build().call(**body)

    assert (answer["http"], answer["outcome"]) == (http, "not-run")
    assert answer["type"] == f"urn:rosemarysaddle:problem:{problem}"


@pytest.mark.parametrize(
    ("tenant", "credential", "problem"),
    [
        pytest.param("nobody", "secret", "unknown-tenant", id="tenant"),
        pytest.param("sample", "wrong", "bad-credential", id="credential"),
        pytest.param("", "", "unknown-tenant", id="none"),
    ],
)
def test_invalid_credential_is_refused(
    tenant: str, credential: str, problem: str
) -> None:
    body = json.dumps({"group": "db-1", "statements": [SELECT]}).encode()

    reply = Harness.build().service.handle(
        ApiPath.STATEMENTS, body, tenant=tenant, credential=credential
    )

    assert reply.status == 401
    assert json.loads(reply.body)["type"].endswith(problem)


@pytest.mark.parametrize(
    "data", [b"{", b"[]", b"\xff", b"[" * 100_000, b"3", b'"x"']
)
def test_body_that_is_not_an_object_is_refused(data: bytes) -> None:
    reply = Harness.build().service.handle(
        ApiPath.STATEMENTS, data, tenant="sample", credential="secret"
    )

    assert reply.status == 400
