"""Transactions that span several requests of one caller."""

from __future__ import annotations

import secrets
import threading
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS, Reason, Refusal, Step
from rosemarysaddle.serve._answers import Answer, ServedBy
from rosemarysaddle.serve._write_runner import run_statements, to_refusal
from rosemarysaddle.target import TargetFault

if TYPE_CHECKING:
    from rosemarysaddle.decide import (
        SessionToken,
        TokenCodec,
        WriteTicket,
    )
    from rosemarysaddle.serve._requests import StatementRequest
    from rosemarysaddle.serve._write_runner import WriteRunner
    from rosemarysaddle.target import TargetSession

__all__ = ("TransactionOwner", "TransactionTable", "find_owner")

IDLE_TIMEOUT_MS: Final = 10_000
MAX_OPEN_TRANSACTIONS: Final = 256


@attrs.frozen(kw_only=True)
class TransactionOwner:
    """Entry host that holds the connection of a transaction.

    :param address: ``ip:port`` of the host for callers
    """

    host: str
    address: str


@attrs.define(kw_only=True, eq=False)
class _OpenTransaction:
    """Transaction of one tenant, with its connection to the primary.

    :param idle_deadline_ns: monotonic time at which it is rolled back
        unless it is used before, in nanoseconds
    :param lock: held while a request uses the transaction
    """

    tenant: str
    ticket: WriteTicket
    session: TargetSession
    idle_deadline_ns: int
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    ended: bool = False


@attrs.define(kw_only=True, eq=False)
class TransactionTable:
    """Open transactions of one entry host, by handle.

    A handle is signed and names the entry host, so that any host can
    forward a request to the right one.
    """

    runner: WriteRunner
    _transactions: dict[str, _OpenTransaction] = attrs.field(
        factory=dict, init=False
    )
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    def begin(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Open a transaction.

        :return: an answer that contains the handle
        """
        if len(self._transactions) >= MAX_OPEN_TRANSACTIONS:
            return _refuse(Reason.OVERLOADED, request.group)
        started = self.runner.begin(
            request.group, deadline_ns=request.deadline_ns
        )
        if isinstance(started, Refusal):
            return started
        ticket, session = started
        handle = self._new_handle()
        with self._lock:
            self._transactions[handle] = _OpenTransaction(
                tenant=request.tenant,
                ticket=ticket,
                session=session,
                idle_deadline_ns=_idle_deadline_ns(),
            )
        return self._answer((), ticket, token, handle)

    def execute(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Run statements in a transaction.

        A lost connection ends the transaction; an error that the target
        reports does not.
        """
        open_transaction = self._find(request)
        if isinstance(open_transaction, Refusal):
            return open_transaction
        with open_transaction.lock:
            if open_transaction.ended:
                return _unknown_handle()
            open_transaction.idle_deadline_ns = _idle_deadline_ns()
            open_transaction.session.set_deadline(request.deadline_ns)
            results = run_statements(
                open_transaction.session, request.statements
            )
            if isinstance(results, TargetFault):
                if not results.is_answer:
                    self._end(request.transaction, open_transaction)
                    self.runner.roll_back(
                        open_transaction.ticket, open_transaction.session
                    )
                return to_refusal(results)
        return self._answer(
            results, open_transaction.ticket, token, request.transaction
        )

    def commit(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Commit a transaction and wait for its confirmation."""
        open_transaction = self._find(request)
        if isinstance(open_transaction, Refusal):
            return open_transaction
        with open_transaction.lock:
            if open_transaction.ended:
                return _unknown_handle()
            self._end(request.transaction, open_transaction)
            open_transaction.session.set_deadline(request.deadline_ns)
            point = self.runner.commit_and_confirm(
                open_transaction.ticket,
                open_transaction.session,
                deadline_ns=request.deadline_ns,
            )
        if isinstance(point, Refusal):
            return point
        return self.runner.answer((), open_transaction.ticket, point, token)

    def rollback(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Roll back a transaction."""
        open_transaction = self._find(request)
        if isinstance(open_transaction, Refusal):
            return open_transaction
        with open_transaction.lock:
            if open_transaction.ended:
                return _unknown_handle()
            self._end(request.transaction, open_transaction)
            self.runner.roll_back(
                open_transaction.ticket, open_transaction.session
            )
        return self._answer((), open_transaction.ticket, token, "")

    def expire(self) -> int:
        """Roll back the transactions that were idle for too long.

        :return: number of transactions found idle
        """
        now_ns = clock_ns()
        with self._lock:
            expired = [
                (handle, open_transaction)
                for handle, open_transaction in self._transactions.items()
                if now_ns >= open_transaction.idle_deadline_ns
            ]
        for handle, open_transaction in expired:
            with open_transaction.lock:
                if not open_transaction.ended:
                    self._end(handle, open_transaction)
                    self.runner.roll_back(
                        open_transaction.ticket, open_transaction.session
                    )
        return len(expired)

    def count(self) -> int:
        """Return the number of open transactions."""
        return len(self._transactions)

    def _new_handle(self) -> str:
        node = self.runner.shared_node.node
        text = f"{node.host}~{node.address}~{secrets.token_hex(12)}"
        return self.runner.tokens.sign(text)

    def _find(self, request: StatementRequest) -> _OpenTransaction | Refusal:
        with self._lock:
            open_transaction = self._transactions.get(request.transaction)
        if (
            open_transaction is None
            or open_transaction.tenant != request.tenant
        ):
            return _unknown_handle()
        return open_transaction

    def _end(self, handle: str, open_transaction: _OpenTransaction) -> None:
        open_transaction.ended = True
        with self._lock:
            self._transactions.pop(handle, None)

    def _answer(
        self,
        results: tuple[dict[str, object], ...],
        ticket: WriteTicket,
        token: SessionToken,
        handle: str,
    ) -> Answer:
        return Answer(
            results=results,
            token=self.runner.tokens.encode(token),
            served_by=ServedBy(
                host=self.runner.shared_node.node.host,
                target=ticket.primary,
                role="primary",
                term=ticket.term,
                position=0,
            ),
            transaction=handle,
        )


def find_owner(handle: str, tokens: TokenCodec) -> TransactionOwner | None:
    """Find the entry host that holds a transaction.

    :param handle: handle from the answer to the begin request
    :return: the host, or None if the signature is invalid
    """
    text = tokens.verify(handle)
    if text is None:
        return None
    host, address, _ = text.split("~")
    return TransactionOwner(host=host, address=address)


def _idle_deadline_ns() -> int:
    return clock_ns() + IDLE_TIMEOUT_MS * NS_PER_MS


def _unknown_handle() -> Refusal:
    return Refusal(
        reason=Reason.UNKNOWN_TRANSACTION,
        step=Step.ROUTE,
        peer="transaction",
        detail="unknown or ended transaction; rolled back unless committed",
    )


def _refuse(reason: Reason, peer: str) -> Refusal:
    return Refusal(reason=reason, step=Step.ADMIT, peer=peer)
