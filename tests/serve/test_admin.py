from __future__ import annotations

import hashlib
import io
import json
from typing import Any

import attrs
import cherrypy
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarysaddle.link import decode, encode
from rosemarysaddle.observe import Metrics
from rosemarysaddle.schema import (
    Announcement,
    ChangeProposal,
    ChangeReply,
    Envelope,
)
from rosemarysaddle.serve._admin import AdminApp, AnnouncementApp
from rosemarysaddle.serve._admin_requests import (
    BodyFault,
    read_announcement,
    read_change,
)

CHANGE = {"change_id": "c-1", "base_version": 3, "document": {"a": 1}}
ANNOUNCEMENT: dict[str, Any] = {
    "target": "db-1a",
    "group": "db-1",
    "data_center": "dc-1",
    "address": "127.0.0.1:3306",
    "role": "replica",
    "term": 2,
    "position": 7,
    "leaving": False,
    "identity": "",
    "slots": 8,
    "incarnation_ms": 5,
    "gone": False,
    "sequence": 1,
}


@attrs.define(kw_only=True)
class FakeSettings:
    """Settings with the credential that the tests send."""

    admin_credential_sha256: str = hashlib.sha256(b"secret").hexdigest()


@attrs.define(kw_only=True)
class FakeDaemon:
    """Daemon that keeps what it is given."""

    settings: FakeSettings = attrs.field(factory=FakeSettings)
    given: list[Any] = attrs.field(factory=list)

    def propose_from_thread(
        self, change: ChangeProposal, *, deadline_ns: int
    ) -> ChangeReply:
        """Accept a change."""
        del deadline_ns
        self.given.append(change)
        return ChangeReply(
            change_id=change.change_id,
            accepted=True,
            version=change.base_version + 1,
            reason="",
            path="",
        )

    def announce(self, announcement: Announcement) -> None:
        """Accept an announcement."""
        self.given.append(announcement)

    def post(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a request to the applications over WSGI."""
        tree = cherrypy._cptree.Tree()
        app = AdminApp(daemon=self, metrics=Metrics())  # type: ignore[arg-type]
        tree.mount(app, "/admin")
        tree.mount(
            AnnouncementApp(daemon=self),  # type: ignore[arg-type]
            "/announcements",
        )
        for mounted in tree.apps.values():
            mounted.log.access_log.disabled = True
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "POST",
            "SCRIPT_NAME": "",
            "PATH_INFO": path,
            "QUERY_STRING": "",
            "SERVER_NAME": "127.0.0.1",
            "SERVER_PORT": "80",
            "SERVER_PROTOCOL": "HTTP/1.1",
            "REMOTE_ADDR": "127.0.0.1",
            "REMOTE_PORT": "1",
            "CONTENT_LENGTH": str(len(body)),
            "CONTENT_TYPE": "application/json",
            "HTTP_HOST": "127.0.0.1",
            "HTTP_AUTHORIZATION": "Bearer secret",
            "wsgi.version": (1, 0),
            "wsgi.url_scheme": "http",
            "wsgi.input": io.BytesIO(body),
            "wsgi.errors": io.StringIO(),
            "wsgi.multithread": True,
            "wsgi.multiprocess": False,
            "wsgi.run_once": False,
        }
        answer = tree(environ, lambda status, *_: statuses.append(status))
        data = b"".join(answer)
        return int(statuses[0].split()[0]), data


def test_change_is_proposed_as_sent() -> None:
    daemon = FakeDaemon()

    status, body = daemon.post(
        "/admin/documents/rules", json.dumps(CHANGE).encode()
    )

    assert status == 200
    assert json.loads(body)["version"] == 4
    (change,) = daemon.given
    assert (change.change_id, change.base_version) == ("c-1", 3)
    assert json.loads(change.payload) == {"a": 1}


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"[" * 100_000, id="nested lists"),
        pytest.param(b"{", id="no JSON"),
        pytest.param(b"[]", id="no object"),
        pytest.param(b"\xff", id="no text"),
        pytest.param(
            b'{"change_id":"c","base_version":1,"document":'
            + b"[" * 100
            + b"]" * 100
            + b"}",
            id="document nested too deep",
        ),
        pytest.param(
            b'{"change_id":"c","base_version":1,"document":{"a":1e999}}',
            id="infinite number",
        ),
        pytest.param(
            b'{"change_id":"\\ud800","base_version":1}', id="lone surrogate"
        ),
        pytest.param(b'{"base_version":1}', id="no id"),
        pytest.param(
            b'{"change_id":"' + b"c" * 65 + b'","base_version":1}',
            id="long id",
        ),
        pytest.param(b'{"change_id":"c"}', id="no version"),
        pytest.param(
            b'{"change_id":"c","base_version":"x"}', id="version is text"
        ),
        pytest.param(
            b'{"change_id":"c","base_version":1.5}', id="part of a version"
        ),
        pytest.param(
            b'{"change_id":"c","base_version":-1}', id="negative version"
        ),
        pytest.param(
            b'{"change_id":"c","base_version":' + b"9" * 30 + b"}",
            id="large version",
        ),
    ],
)
def test_change_that_cannot_be_sent_is_refused_at_once(body: bytes) -> None:
    """Guards against 500, and against waiting for hosts never asked."""
    daemon = FakeDaemon()

    status, _ = daemon.post("/admin/documents/rules", body)

    assert status == 400
    assert not daemon.given


def test_announcement_is_passed_on() -> None:
    daemon = FakeDaemon()

    status, _ = daemon.post(
        "/announcements/", json.dumps(ANNOUNCEMENT).encode()
    )

    assert status == 200
    assert daemon.given == [Announcement(**ANNOUNCEMENT)]


@pytest.mark.parametrize(
    "field",
    [
        {"target": ""},
        {"target": "\ud800"},
        {"group": "a b"},
        {"address": "nonsense"},
        {"address": "127.0.0.1:70000"},
        {"role": "\ud800"},
        {"term": -1},
        {"position": 1 << 64},
        {"identity": "\ud800"},
        {"slots": 1 << 32},
        {"sequence": -1},
        {"sequence": None},
    ],
    ids=str,
)
def test_announcement_that_hosts_cannot_use_is_refused(
    field: dict[str, Any],
) -> None:
    """Guards against announcements accepted but never registered."""
    daemon = FakeDaemon()

    status, _ = daemon.post(
        "/announcements/", json.dumps({**ANNOUNCEMENT, **field}).encode()
    )

    assert status == 400
    assert not daemon.given


def test_announcement_that_is_nested_deeply_is_refused() -> None:
    daemon = FakeDaemon()

    status, _ = daemon.post("/announcements/", b"[" * 100_000)

    assert status == 400


_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(alphabet=st.characters(codec=None), max_size=70),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(
    body=st.fixed_dictionaries(
        {}, optional=dict.fromkeys((*CHANGE, *ANNOUNCEMENT), _VALUES)
    )
)
def test_what_is_read_from_a_body_can_be_sent(body: dict[str, Any]) -> None:
    """Guards against messages that no host gets."""
    for defaults in (CHANGE, ANNOUNCEMENT):
        data = json.dumps({**defaults, **body}).encode()
        for message in (
            read_change(data, kind="rules", author="someone"),
            read_announcement(data),
        ):
            if isinstance(message, BodyFault):
                continue
            envelope = Envelope(source="h1", request_id=1, body=message)
            assert decode(encode(envelope)) == envelope
