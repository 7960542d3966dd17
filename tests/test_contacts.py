from __future__ import annotations

from rosemarysaddle import _contacts
from rosemarysaddle._contacts import ContactKind, ContactLog, LinkKind
from tests.helpers import NS_PER_MS


def test_contact_log_reports_the_duration_and_the_link() -> None:
    # A loss without its duration does not tell a restart from a cut.
    lines: list[str] = []
    log = ContactLog(write=lambda kind, text: lines.append(f"{kind} {text}"))

    log.record_lost(ContactKind.LEASE, "", 1_000 * NS_PER_MS, reason="r")
    log.record_lost(ContactKind.LEASE, "", 2_000 * NS_PER_MS)
    lost_s = log.longest_lost_s(ContactKind.LEASE, 3_000 * NS_PER_MS)
    log.record_regained(
        ContactKind.LEASE, "", 6_500 * NS_PER_MS, link=LinkKind.RELAYED
    )
    log.record_regained(ContactKind.LEASE, "", 7_000 * NS_PER_MS)

    assert lines == [
        "contact-lost kind=lease peer=- link=direct reason=r",
        "contact-regained kind=lease peer=- link=relayed lost_ms=5500",
    ]
    assert lost_s == 2
    assert log.losses["lease", "direct"] == 1
    assert log.count_lost(ContactKind.LEASE) == 0


def test_peer_that_is_not_tried_any_longer_does_not_count_as_lost() -> None:
    # Control hosts are asked in turn only during an outage; a gauge
    # that stays up after it would be a false alarm.
    log = ContactLog(write=lambda _, __: None)
    log.record_lost(ContactKind.CONTROL_HOST, "c", 0)
    log.record_lost(ContactKind.CONTROL_HOST, "c", 8_000 * NS_PER_MS)

    log.forget_unused(12_000 * NS_PER_MS)
    assert log.count_lost(ContactKind.CONTROL_HOST) == 1
    log.forget_unused(18_000 * NS_PER_MS)
    assert log.count_lost(ContactKind.CONTROL_HOST) == 0


def test_contact_log_holds_a_bounded_number_of_contacts() -> None:
    # Peers that never return, such as replaced hosts, must not add up.
    log = ContactLog(write=lambda _, __: None)

    for number in range(_contacts.MAX_LOST_CONTACTS + 9):
        log.record_lost(ContactKind.LENDER, str(number), number)

    held = log.count_lost(ContactKind.LENDER)
    assert held == _contacts.MAX_LOST_CONTACTS
