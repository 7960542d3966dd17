from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

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
from rosemarysaddle.platform import CallerLineCodec, TargetLineCodec

SCRIPT = (
    b"START db u1\r\nQUERY 5c AFTER\r\nQUERY 5c READ 1a4\r\n"
    b"QUERY 5d PREPARE s1 WRITE q2c\r\nQUERY 5e EXECUTE s1 1a4 xk q\r\nBYE\r\n"
)
ANSWERS = (
    b"READY I 3.1207\r\nROW a b\r\nROW c\r\nDONE 7.1f\r\nREADY I 3.9\r\n"
    b"ERROR BEHIND i-7\r\nREADY E -\r\nDONE -\r\nREADY T 4.1\r\n"
)


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("BEGIN", StatementKind.BEGIN),
        ("BEGIN READ", StatementKind.BEGIN_READ),
        ("BEGIN WRITE", StatementKind.UNKNOWN),
        ("COMMIT", StatementKind.COMMIT),
        ("ROLLBACK", StatementKind.ROLLBACK),
        ("READ 1a", StatementKind.READ),
        ("READ", StatementKind.UNKNOWN),
        ("WRITE 1a data", StatementKind.WRITE),
        ("SET n v w", StatementKind.SET),
        ("PREPARE s READ q", StatementKind.PREPARE),
        ("PREPARE s DROP q", StatementKind.UNKNOWN),
        ("PREPARE s READ", StatementKind.UNKNOWN),
        ("EXECUTE s 1a", StatementKind.EXECUTE),
        ("FORGET s", StatementKind.FORGET),
        ("AFTER 3.1 READ 1a", StatementKind.UNKNOWN),
        ("DROP", StatementKind.UNKNOWN),
    ],
)
def test_caller_codec_parses_statement_kinds(
    text: str, kind: StatementKind
) -> None:
    messages = CallerLineCodec().feed(f"QUERY 5c {text}\r\n".encode())

    assert messages is not None
    (statement,) = messages
    assert isinstance(statement, Statement)
    assert (statement.kind, statement.text) == (kind, text)


def test_caller_codec_preserves_the_rest_of_a_line() -> None:
    messages = CallerLineCodec().feed(
        b"QUERY 5c SET n  v w\r\nSTART d a b\r\n"
    )

    assert messages is not None
    setting, opening = messages
    assert isinstance(setting, Statement)
    assert (setting.name, setting.argument) == ("n", " v w")
    assert opening == OpenSession(database="d", label="a b")


@pytest.mark.parametrize("line", [b"NOTHING\r\n", b"QUERY \r\n", b"\xff\r\n"])
def test_caller_codec_rejects_invalid_messages(line: bytes) -> None:
    assert CallerLineCodec().feed(line) is None


def test_caller_codec_rejects_overlong_message() -> None:
    assert CallerLineCodec().feed(b"QUERY 5c " + b"x" * 1_100_000) is None


@given(st.lists(st.integers(0, len(SCRIPT)), max_size=12))
def test_caller_codec_reassembles_split_messages(cuts: list[int]) -> None:
    codec, expected = CallerLineCodec(), CallerLineCodec().feed(SCRIPT)
    edges = [0, *sorted(cuts), len(SCRIPT)]
    messages = []
    for first, last in itertools.pairwise(edges):
        messages.extend(codec.feed(SCRIPT[first:last]) or [])

    assert messages == expected
    assert messages[-1] == CloseSession()


@given(st.lists(st.integers(0, len(ANSWERS)), max_size=12))
def test_target_codec_reassembles_split_answers(cuts: list[int]) -> None:
    codec = TargetLineCodec()
    edges = [0, *sorted(cuts), len(ANSWERS)]
    answers = []
    for first, last in itertools.pairwise(edges):
        answers.extend(codec.feed(ANSWERS[first:last]) or [])

    assert [a.point for a in answers] == [
        LogPoint(term=3, position=1207),
        LogPoint(term=3, position=9),
        None,
        LogPoint(term=4, position=1),
    ]
    assert answers[1].rows == ("a b", "c")
    assert answers[1].signature == "7.1f"
    assert answers[2].fault is FaultCode.BEHIND
    assert answers[3].state is SessionState.TRANSACTION


@given(st.binary(max_size=200))
def test_codecs_do_not_fail_on_arbitrary_bytes(data: bytes) -> None:
    CallerLineCodec().feed(data)
    TargetLineCodec().feed(data)


@pytest.mark.parametrize(
    "data",
    [
        b"READY I -\r\nREADY I -\r\n",
        b"READY X -\r\n",
        b"HELLO\r\n",
        b"READY I -\r\nROW a\r\nREADY I -\r\n",
    ],
    ids=["ready-twice", "state", "keyword", "cut-off-rows"],
)
def test_target_codec_rejects_invalid_answers(data: bytes) -> None:
    assert TargetLineCodec().feed(data) is None


def test_target_codec_reports_refused_start() -> None:
    answers = TargetLineCodec().feed(b"ERROR WRONGHOST i-1\r\n")

    assert answers is not None
    assert answers[0].fault is FaultCode.WRONG_TARGET


def test_target_codec_passes_statement_text_unchanged() -> None:
    statement = Statement(
        request_id="5c", kind=StatementKind.READ, text="READ 1a4", name="1a4"
    )
    after = LogPoint(term=3, position=7)
    codec = TargetLineCodec()

    plain = codec.encode_statement(statement, shared="", after=None)
    fresh = codec.encode_statement(statement, shared="", after=after)

    assert plain == b"QUERY 5c READ 1a4\r\n"
    assert fresh == b"QUERY 5c AFTER 3.7 READ 1a4\r\n"


def test_target_codec_names_prepared_statements_by_content() -> None:
    statement = Statement(
        request_id="5c",
        kind=StatementKind.EXECUTE,
        text="EXECUTE s1 1a4 x",
        name="s1",
        argument="1a4 x",
    )
    name = shared_name(PreparedStatement(writes=True, text="q2c"))

    data = TargetLineCodec().encode_statement(
        statement, shared=name, after=None
    )

    assert data == f"QUERY 5c EXECUTE {name} 1a4 x\r\n".encode()
    assert name != shared_name(PreparedStatement(writes=False, text="q2c"))


@pytest.mark.parametrize(
    ("reason", "outcome", "code"),
    [
        (Reason.TARGET_BUSY, Outcome.NOT_RUN, "BUSY"),
        (Reason.NO_PRIMARY, Outcome.NOT_RUN, "BUSY"),
        (Reason.TRANSACTION_ENDED, Outcome.NOT_RUN, "ABORTED"),
        (Reason.UNKNOWN_DATABASE, Outcome.NOT_RUN, "NODATABASE"),
        (Reason.BAD_REQUEST, Outcome.NOT_RUN, "MALFORMED"),
        (Reason.CONNECTION_LOST, Outcome.UNKNOWN, "UNSURE"),
        (Reason.LEASE_ENDED, Outcome.UNKNOWN, "UNSURE"),
        (Reason.PRIMARY_REPLACED, Outcome.UNKNOWN, "UNSURE"),
        (Reason.DEADLINE_PASSED, Outcome.UNKNOWN, "TIMEOUT"),
    ],
)
def test_caller_codec_sends_code_for_reason_and_outcome(
    reason: Reason, outcome: Outcome, code: str
) -> None:
    refusal = Refusal(
        reason=reason, step=Step.EXECUTE, peer="t", outcome=outcome
    )

    data = CallerLineCodec().encode_refusal(refusal, SessionState.IDLE)

    assert data.startswith(f"ERROR {code} {reason}".encode())
    assert data.endswith(b"\r\nREADY I -\r\n")


def test_caller_codec_encodes_complete_answer() -> None:
    answer = Answer(rows=("a", "b"), signature="7.1f")

    data = CallerLineCodec().encode_answer(answer, SessionState.TRANSACTION)

    assert data == b"ROW a\r\nROW b\r\nDONE 7.1f\r\nREADY T -\r\n"
