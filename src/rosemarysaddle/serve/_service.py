"""Service of one entry host: checks, then reads and writes."""

from __future__ import annotations

import hashlib
import hmac
import http.client
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import (
    NS_PER_MS,
    Outcome,
    Reason,
    Refusal,
    SessionToken,
    Step,
    TokenCodec,
)
from rosemarysaddle.link import Address
from rosemarysaddle.observe import Stage
from rosemarysaddle.serve._answers import (
    Answer,
    problem,
    render,
    status_of,
)
from rosemarysaddle.serve._reads import ReadRunner
from rosemarysaddle.serve._requests import (
    StatementRequest,
    parse_body,
    read_request,
)
from rosemarysaddle.serve._transactions import (
    Owner,
    TransactionTable,
    owner_of,
)
from rosemarysaddle.serve._writes import WriteRunner

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.daemon import SharedEntryNode
    from rosemarysaddle.observe import Metrics

__all__ = ("Operation", "Reply", "StatementService")

FORWARD_EXTRA_MS: Final = 500
JSON_TYPE: Final = "application/json"
PROBLEM_TYPE: Final = "application/problem+json"


class Operation:
    """Paths of the callers' interface."""

    STATEMENTS: Final = "/v1/statements"
    BEGIN: Final = "/v1/transactions"
    EXECUTE: Final = "/v1/transactions/statements"
    COMMIT: Final = "/v1/transactions/commit"
    ROLLBACK: Final = "/v1/transactions/rollback"


@attrs.frozen(kw_only=True)
class Reply:
    """HTTP answer."""

    status: int
    content_type: str
    body: bytes
    retry_after_ms: int = 0


@attrs.define(kw_only=True, eq=False)
class StatementService:
    """Serves the callers of one entry host."""

    shared_node: SharedEntryNode
    tokens: TokenCodec
    metrics: Metrics
    transactions: TransactionTable = attrs.field(init=False)
    _reads: ReadRunner = attrs.field(init=False)
    _writes: WriteRunner = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the runners."""
        self._reads = ReadRunner(
            shared_node=self.shared_node, tokens=self.tokens
        )
        self._writes = WriteRunner(
            shared_node=self.shared_node, tokens=self.tokens
        )
        self.transactions = TransactionTable(runner=self._writes)

    def handle(
        self, path: str, data: bytes, *, tenant: str, credential: str
    ) -> Reply:
        """Serve one request.

        :param path: one of :class:`Operation`
        :param data: body of the request
        """
        now_ns = clock_ns()
        request = self._read(data, tenant, credential, now_ns)
        if isinstance(request, Refusal):
            return _refused(request)
        if request.transaction:
            owner = owner_of(request.transaction, self.tokens)
            if owner is None:
                return _refused(_refuse(Reason.BAD_REQUEST, "caller"))
            if owner.host != self.shared_node.node.host:
                return self._forward(path, data, request, owner)
        result = _admit_earlier_try(request, self._dispatch(path, request))
        self._note(request, result, now_ns)
        if isinstance(result, Refusal):
            return _refused(result)
        return Reply(status=200, content_type=JSON_TYPE, body=render(result))

    def _read(
        self, data: bytes, tenant: str, credential: str, now_ns: int
    ) -> StatementRequest | Refusal:
        body = parse_body(data)
        if isinstance(body, Refusal):
            return body
        request = read_request(
            body, tenant=tenant, credential=credential, now_ns=now_ns
        )
        if isinstance(request, Refusal):
            return request
        return self._authorize(request) or request

    def _authorize(self, request: StatementRequest) -> Refusal | None:
        state = self.shared_node.node.state
        if not self.shared_node.node.ready or not state.inventory_version:
            return _refuse(Reason.NO_CONFIGURATION, "inventory")
        tenant = state.tenant(request.tenant)
        if tenant is None:
            return _refuse(Reason.UNKNOWN_TENANT, request.tenant)
        digest = hashlib.sha256(request.credential.encode()).hexdigest()
        if not hmac.compare_digest(digest, tenant.credential_sha256):
            return _refuse(Reason.BAD_CREDENTIAL, request.tenant)
        if request.transaction:
            return None
        if state.group(request.group) is None:
            return _refuse(Reason.UNKNOWN_GROUP, request.group)
        if request.group not in tenant.groups:
            return _refuse(Reason.FORBIDDEN_GROUP, request.group)
        return None

    def _dispatch(
        self, path: str, request: StatementRequest
    ) -> Answer | Refusal:
        token = SessionToken()
        if request.token:
            decoded = self.tokens.decode(request.token)
            if isinstance(decoded, Refusal):
                return decoded
            token = decoded
        if path == Operation.STATEMENTS:
            return self._statements(request, token)
        handlers: dict[
            str,
            Callable[[StatementRequest, SessionToken], Answer | Refusal],
        ] = {
            Operation.BEGIN: self.transactions.begin,
            Operation.EXECUTE: self.transactions.execute,
            Operation.COMMIT: self.transactions.commit,
            Operation.ROLLBACK: self.transactions.rollback,
        }
        return handlers[path](request, token)

    def _statements(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        if not request.statements:
            return _refuse(Reason.BAD_REQUEST, "caller", "no statements")
        if request.write:
            return self._writes.run(request, token)
        stale_ms = self._stale_ms(request)
        if isinstance(stale_ms, Refusal):
            return stale_ms
        return self._reads.run(request, token, stale_ms)

    def _stale_ms(self, request: StatementRequest) -> int | Refusal:
        rule = self.shared_node.node.state.request_class(request.request_class)
        if rule is None and request.request_class:
            return _refuse(Reason.UNKNOWN_CLASS, request.request_class)
        allowed_ms = rule.stale_ms if rule else 0
        if request.stale_ms is None:
            return allowed_ms
        return request.stale_ms

    def _note(
        self,
        request: StatementRequest,
        result: Answer | Refusal,
        started_ns: int,
    ) -> None:
        spent_ns = clock_ns() - started_ns
        name = request.request_class or "none"
        self.metrics.time(request.tenant, name, Stage.TOTAL, spent_ns)
        if isinstance(result, Refusal):
            self.metrics.count_outcome(name, result.outcome, result.reason)
            return
        self.metrics.count_outcome(name, Outcome.DONE, None)
        if not request.write:
            self.metrics.count(f"reads.{name}.{result.served_by.role}")

    def _forward(
        self, path: str, data: bytes, request: StatementRequest, owner: Owner
    ) -> Reply:
        address = Address.parse(owner.address)
        left_ms = (request.deadline_ns - clock_ns()) // NS_PER_MS
        timeout_s = max(1, left_ms + FORWARD_EXTRA_MS) / 1_000
        connection = http.client.HTTPConnection(
            address.ip, address.port, timeout=timeout_s
        )
        try:
            connection.connect()
        except OSError as error:
            return _refused(_lost(owner.host, Outcome.NOT_RUN, error))
        try:
            headers = {
                "Authorization": f"Bearer {request.credential}",
                "X-Tenant": request.tenant,
                "Content-Type": JSON_TYPE,
            }
            connection.request("POST", path, body=data, headers=headers)
            answer = connection.getresponse()
            return Reply(
                status=answer.status,
                content_type=answer.getheader("Content-Type", JSON_TYPE),
                body=answer.read(),
            )
        except (OSError, http.client.HTTPException) as error:
            commits = path == Operation.COMMIT
            outcome = Outcome.UNKNOWN if commits else Outcome.NOT_RUN
            return _refused(_lost(owner.host, outcome, error))
        finally:
            connection.close()


def _admit_earlier_try(
    request: StatementRequest, result: Answer | Refusal
) -> Answer | Refusal:
    """Weaken "not-run" where an earlier try of the key may have run."""
    if isinstance(result, Answer) or request.key is None:
        return result
    if not request.key.resend or result.outcome is not Outcome.NOT_RUN:
        return result
    return attrs.evolve(result, outcome=Outcome.UNKNOWN)


def _lost(owner: str, outcome: Outcome, error: Exception) -> Refusal:
    return Refusal(
        reason=Reason.HOST_UNREACHABLE,
        step=Step.FORWARD,
        peer=owner,
        outcome=outcome,
        detail=str(error),
    )


def _refuse(reason: Reason, peer: str, detail: str = "") -> Refusal:
    return Refusal(
        reason=reason, step=Step.AUTHORIZE, peer=peer, detail=detail
    )


def _refused(refusal: Refusal) -> Reply:
    return Reply(
        status=status_of(refusal),
        content_type=PROBLEM_TYPE,
        body=problem(refusal),
        retry_after_ms=refusal.retry_after_ms,
    )
