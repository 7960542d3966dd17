from __future__ import annotations

from rosemarysaddle.decide._times import NS_PER_MS
from rosemarysaddle.decide.leases._neighbours import (
    GATHER_WINDOW_MS,
    RENDER_INTERVAL_MS,
    NeighbourLists,
)
from rosemarysaddle.schema import LeaseRenewal, Neighbours

GATHERED_NS = GATHER_WINDOW_MS * NS_PER_MS
CENTERS = {"a": "dc1", "b": "dc1", "c": "dc2"}


def _renew(
    lists: NeighbourLists,
    host: str,
    now_ns: int,
    tag: int = 0,
    *,
    with_remote: bool = False,
    present: frozenset[str] = frozenset(CENTERS),
) -> Neighbours | None:
    renewal = LeaseRenewal(
        host=host,
        data_center=CENTERS[host],
        sent_ns=0,
        applied_index=0,
        address="",
        lending_address=f"{host}:1",
        neighbours_tag=tag,
    )
    return lists.list_if_changed(
        host,
        renewal,
        centers=CENTERS,
        present=present,
        now_ns=now_ns,
        with_remote=with_remote,
    )


def _lists() -> NeighbourLists:
    lists = NeighbourLists()
    lists.on_elected(0)
    for host in CENTERS:
        assert _renew(lists, host, 0) is None
    return lists


def test_list_names_the_hosts_of_the_same_data_center() -> None:
    found = _renew(_lists(), "a", GATHERED_NS)

    assert found is not None
    assert [n.address for n in found.hosts] == ["a:1", "b:1"]


def test_list_is_not_sent_again_unchanged() -> None:
    lists = _lists()
    found = _renew(lists, "a", GATHERED_NS)

    assert found is not None
    assert _renew(lists, "a", GATHERED_NS, found.tag) is None


def test_new_leader_withholds_lists_until_all_have_renewed() -> None:
    lists = _lists()

    lists.on_elected(GATHERED_NS)

    assert _renew(lists, "a", GATHERED_NS + 1) is None


def test_list_drops_a_host_without_a_lease() -> None:
    lists = _lists()
    _renew(lists, "a", GATHERED_NS)
    later_ns = GATHERED_NS + RENDER_INTERVAL_MS * NS_PER_MS
    renewal = LeaseRenewal(
        host="a",
        data_center="dc1",
        sent_ns=0,
        applied_index=0,
        address="",
        lending_address="a:1",
    )

    found = lists.list_if_changed(
        "a", renewal, centers=CENTERS, present={"a"}, now_ns=later_ns
    )

    assert found is not None
    assert [n.address for n in found.hosts] == ["a:1"]


def test_lists_are_complete_once_nearly_all_hosts_have_renewed() -> None:
    lists = NeighbourLists()
    lists.on_elected(0, entry_hosts=3)
    assert _renew(lists, "a", 10) is None
    assert _renew(lists, "b", 20) is None

    found = _renew(lists, "c", 30)

    assert found is not None
    assert [n.address for n in found.hosts] == ["c:1"]


def test_complete_lists_are_sent_to_all_hosts_once() -> None:
    lists = NeighbourLists()
    lists.on_elected(0, entry_hosts=3)
    for host in CENTERS:
        _renew(lists, host, 10)

    sent = lists.lists_once_complete(
        centers=CENTERS, present=set(CENTERS), now_ns=10
    )
    again = lists.lists_once_complete(
        centers=CENTERS, present=set(CENTERS), now_ns=20
    )

    assert [a.address for a in sent["a"].hosts] == ["a:1", "b:1"]
    assert set(sent) == set(CENTERS)
    assert again == {}


def test_lists_are_not_sent_before_they_are_complete() -> None:
    lists = NeighbourLists()
    lists.on_elected(0, entry_hosts=30)
    _renew(lists, "a", 10)

    sent = lists.lists_once_complete(
        centers=CENTERS, present=set(CENTERS), now_ns=10
    )

    assert sent == {}


def test_list_names_lenders_of_other_data_centers_only_with_teams() -> None:
    lists = _lists()
    without = _renew(lists, "a", GATHERED_NS)
    found = _renew(lists, "a", GATHERED_NS, with_remote=True)

    assert without is not None
    assert found is not None
    assert without.remote == ()
    assert [(r.data_center, r.hosts[0].address) for r in found.remote] == [
        ("dc2", "c:1")
    ]
    assert found.tag != without.tag


def test_list_keeps_a_data_center_whose_hosts_are_gone() -> None:
    lists = _lists()

    found = _renew(
        lists,
        "a",
        GATHERED_NS,
        with_remote=True,
        present=frozenset({"a", "b"}),
    )

    assert found is not None
    assert [(r.data_center, r.hosts) for r in found.remote] == [("dc2", ())]
