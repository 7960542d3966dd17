"""Line protocol of the platform for callers and targets.

Each line is a keyword followed by fields; a space separates them.
"""

from __future__ import annotations

from typing import Final

import attrs

from rosemarysaddle._formats import parse_number
from rosemarysaddle.decide import (
    Answer,
    CloseSession,
    FaultCode,
    LogPoint,
    OpenSession,
    Outcome,
    PreparedStatement,
    Reason,
    Refusal,
    SessionState,
    Statement,
    StatementKind,
    Step,
    shared_name,
)

__all__ = ("CallerLineCodec", "TargetLineCodec", "parse_point")

MAX_MESSAGE_BYTES: Final = 1024 * 1024
_LINE_END: Final = b"\r\n"
_NO_ID: Final = "-"
_NO_POINT: Final = "-"
_STATE_CODES: Final = {
    SessionState.IDLE: "I",
    SessionState.TRANSACTION: "T",
    SessionState.FAILED: "E",
}
_STATE_BY_CODE: Final = {text: state for state, text in _STATE_CODES.items()}
_FAULT_CODES: Final = {
    "BUSY": FaultCode.BUSY,
    "BEHIND": FaultCode.BEHIND,
    "READONLY": FaultCode.READ_ONLY,
    "UNNAMED": FaultCode.UNNAMED,
    "WRONGHOST": FaultCode.WRONG_TARGET,
    "TOOMANY": FaultCode.TOO_MANY_CONNECTIONS,
    "FAILED": FaultCode.FAILED,
    "TIMEOUT": FaultCode.TIMEOUT,
}
# Codes for the outcome not-run: they promise that nothing was stored.
# Other reasons with this outcome are sent as BUSY. Any other outcome is
# sent as UNSURE, or as TIMEOUT once the deadline has passed.
_NOT_RUN_CODES: Final = {
    Reason.UNKNOWN_DATABASE: "NODATABASE",
    Reason.UNKNOWN_PREPARED: "UNNAMED",
    Reason.BAD_REQUEST: "MALFORMED",
    Reason.TOO_LARGE: "TOOLARGE",
    Reason.TRANSACTION_ENDED: "ABORTED",
    Reason.STATEMENT_FAILED: "FAILED",
    Reason.UNKNOWN_KEY: "NOACCESS",
    Reason.KEY_REVOKED: "NOACCESS",
}
_BUSY: Final = "BUSY"
_UNSURE: Final = "UNSURE"
_TIMEOUT: Final = "TIMEOUT"
_ABORTED: Final = "ABORTED"


@attrs.define(kw_only=True)
class _LineBuffer:
    """Splits a byte stream into lines.

    :param is_broken: whether the stream held a line that is too long or
        not UTF-8
    """

    is_broken: bool = False
    _partial_line: bytes = b""

    def feed(self, data: bytes) -> list[str]:
        """Add received bytes and return the complete lines."""
        if self._partial_line:
            data = self._partial_line + data
        *complete, self._partial_line = data.split(_LINE_END)
        if len(self._partial_line) > MAX_MESSAGE_BYTES:
            self.is_broken = True
        try:
            return [line.decode() for line in complete]
        except UnicodeDecodeError:
            self.is_broken = True
            return []


@attrs.define(kw_only=True)
class CallerLineCodec:
    """Codec for the connection of one caller."""

    _lines: _LineBuffer = attrs.field(factory=_LineBuffer)

    def feed(
        self, data: bytes
    ) -> list[OpenSession | CloseSession | Statement] | None:
        """Decode bytes from the caller.

        :return: the complete messages, or None if the caller violates
            the protocol
        """
        messages: list[OpenSession | CloseSession | Statement] = []
        for line in self._lines.feed(data):
            message = _parse_caller_message(line)
            if message is None:
                return None
            messages.append(message)
        return None if self._lines.is_broken else messages

    def encode_ready(self, state: SessionState) -> bytes:
        """Encode that the session is ready for the next statement."""
        return f"READY {_STATE_CODES[state]} {_NO_POINT}\r\n".encode()

    def encode_answer(self, answer: Answer, state: SessionState) -> bytes:
        """Encode the answer of a target or of this host."""
        rows = "".join(f"ROW {row}\r\n" for row in answer.rows)
        done = answer.signature or _NO_ID
        ready = f"READY {_STATE_CODES[state]} {_NO_POINT}\r\n"
        return f"{rows}DONE {done}\r\n{ready}".encode()

    def encode_refusal(
        self, refusal: Refusal, state: SessionState | None
    ) -> bytes:
        """Encode the refusal of a statement.

        The text names the reason, the step and the peer that it
        concerns and, if known, after how many milliseconds a retry may
        succeed.

        :param state: state of the session, or None if the session ends
        """
        text = f"{refusal.reason} {refusal.step} {refusal.peer or '-'}"
        if refusal.retry_after_ms:
            text += f" retry-after-ms={refusal.retry_after_ms}"
        line = f"ERROR {_refusal_code(refusal)} {text}\r\n".encode()
        return line if state is None else line + self.encode_ready(state)


def _refusal_code(refusal: Refusal) -> str:
    if refusal.outcome is not Outcome.NOT_RUN:
        has_timed_out = refusal.reason is Reason.DEADLINE_PASSED
        return _TIMEOUT if has_timed_out else _UNSURE
    if (
        refusal.reason is Reason.KEY_REVOKED
        and refusal.step is not Step.AUTHORIZE
    ):
        # The key was removed while a transaction was open.
        return _ABORTED
    return _NOT_RUN_CODES.get(refusal.reason, _BUSY)


def _parse_caller_message(
    line: str,
) -> OpenSession | CloseSession | Statement | None:
    keyword, _, rest = line.partition(" ")
    if keyword == "QUERY":
        request_id, _, text = rest.partition(" ")
        return _parse_statement(request_id, text) if request_id else None
    if keyword == "START":
        database, _, label = rest.partition(" ")
        return OpenSession(database=database, label=label)
    return CloseSession() if keyword == "BYE" else None


def _parse_statement(request_id: str, text: str) -> Statement:
    verb, _, rest = text.partition(" ")
    name, _, argument = rest.partition(" ")
    kind, shape = _STATEMENT_KINDS.get(verb, StatementKind.UNKNOWN), None
    if kind is StatementKind.BEGIN and rest:
        is_read = rest == "READ"
        kind = StatementKind.BEGIN_READ if is_read else StatementKind.UNKNOWN
    if kind is StatementKind.PREPARE:
        access, _, shape_text = argument.partition(" ")
        if access in {"READ", "WRITE"} and shape_text:
            shape = PreparedStatement(
                writes=access == "WRITE", text=shape_text
            )
        else:
            kind = StatementKind.UNKNOWN
    if kind in _NAMED_KINDS and not name:
        kind = StatementKind.UNKNOWN
    return Statement(
        request_id=request_id,
        kind=kind,
        text=text,
        name=name,
        argument=argument,
        shape=shape,
    )


_STATEMENT_KINDS: Final = {
    "BEGIN": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "READ": StatementKind.READ,
    "WRITE": StatementKind.WRITE,
    "SET": StatementKind.SET,
    "PREPARE": StatementKind.PREPARE,
    "EXECUTE": StatementKind.EXECUTE,
    "FORGET": StatementKind.FORGET,
}
_NAMED_KINDS: Final = {
    StatementKind.READ,
    StatementKind.WRITE,
    StatementKind.SET,
    StatementKind.PREPARE,
    StatementKind.EXECUTE,
    StatementKind.FORGET,
}


@attrs.define(kw_only=True)
class TargetLineCodec:
    """Codec for one connection to a target."""

    _lines: _LineBuffer = attrs.field(factory=_LineBuffer)
    _rows: list[str] = attrs.field(factory=list)
    _signature: str | None = None
    _fault: FaultCode | None = None
    _text: str = ""
    _is_open: bool = False

    def feed(self, data: bytes) -> list[Answer] | None:
        """Decode bytes from the target.

        :return: the complete answers, or None if the target violates
            the protocol
        """
        answers: list[Answer] = []
        for line in self._lines.feed(data):
            keyword, _, rest = line.partition(" ")
            if keyword == "READY":
                answer = self._finish(rest)
                if answer is None:
                    return None
                answers.append(answer)
            elif not self._collect(keyword, rest):
                return None
            elif keyword == "ERROR" and not self._is_open:
                # The answer to a refused START has no READY line with a
                # state: the target closes the connection.
                answers.append(self._pop_answer(SessionState.FAILED, None))
        return None if self._lines.is_broken else answers

    def resume(self) -> None:
        """Continue on a connection whose START has been answered."""
        self._is_open = True

    def encode_open(self, *, group: str, label: str, target: str) -> bytes:
        """Encode the start of a connection."""
        return f"START {group} {label} {target}\r\n".encode()

    def encode_begin(
        self, *, is_read_only: bool, after: LogPoint | None
    ) -> bytes:
        """Encode the start of a transaction."""
        text = "BEGIN READ" if is_read_only else "BEGIN"
        return _internal_query(_after_prefix(after) + text)

    def encode_statement(
        self, statement: Statement, *, shared: str, after: LogPoint | None
    ) -> bytes:
        """Encode a statement of a caller under its request id.

        The text is passed on unchanged, except that a prepared
        statement is executed under its shared name.

        :param shared: shared name of the prepared statement, or empty
        :param after: log position that the target must have applied
        """
        text = statement.text
        if shared:
            text = f"EXECUTE {shared}"
            if statement.argument:
                text += f" {statement.argument}"
        return (
            f"QUERY {statement.request_id} {_after_prefix(after)}{text}\r\n"
        ).encode()

    def encode_rollback(self) -> bytes:
        """Encode the rollback of a transaction."""
        return _internal_query("ROLLBACK")

    def encode_reset(self) -> bytes:
        """Encode the reset of variables and prepared statements."""
        return _internal_query("RESET")

    def encode_set(self, name: str, value: str) -> bytes:
        """Encode the assignment of a variable."""
        return _internal_query(f"SET {name} {value}")

    def encode_prepare(self, shape: PreparedStatement) -> bytes:
        """Encode the preparation of a shape under its shared name."""
        access = "WRITE" if shape.writes else "READ"
        return _internal_query(
            f"PREPARE {shared_name(shape)} {access} {shape.text}"
        )

    def encode_status(self) -> bytes:
        """Encode a status request."""
        return _internal_query("STATUS")

    def encode_demote(self, term: int) -> bytes:
        """Encode the order to become a replica."""
        return _internal_query(f"DEMOTE {term}")

    def _collect(self, keyword: str, rest: str) -> bool:
        if keyword == "ROW":
            self._rows.append(rest)
        elif keyword == "DONE":
            self._signature = rest
        elif keyword == "ERROR":
            code, _, self._text = rest.partition(" ")
            self._fault = _FAULT_CODES.get(code, FaultCode.OTHER)
        else:
            return False
        return True

    def _finish(self, rest: str) -> Answer | None:
        state_text, _, point_text = rest.partition(" ")
        state = _STATE_BY_CODE.get(state_text)
        is_complete = self._signature is not None or self._fault is not None
        if state is None or (self._is_open and not is_complete):
            return None
        self._is_open = True
        return self._pop_answer(state, parse_point(point_text))

    def _pop_answer(
        self, state: SessionState, point: LogPoint | None
    ) -> Answer:
        answer = Answer(
            rows=tuple(self._rows),
            signature=self._signature or "",
            fault=self._fault,
            text=self._text,
            state=state,
            point=point,
        )
        self._rows = []
        self._signature, self._fault, self._text = None, None, ""
        return answer


def _internal_query(text: str) -> bytes:
    return f"QUERY {_NO_ID} {text}\r\n".encode()


def _after_prefix(point: LogPoint | None) -> str:
    return f"AFTER {point.term}.{point.position} " if point else ""


def parse_point(text: str) -> LogPoint | None:
    """Parse a log position, ``term.position``.

    :return: the position, or None if the text is anything else
    """
    term_text, _, position_text = text.partition(".")
    term, position = parse_number(term_text), parse_number(position_text)
    if term is None or position is None:
        return None
    return LogPoint(term=term, position=position)
