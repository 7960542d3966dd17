"""Changes of the control log's voters, driven by its leader.

A host with a new disk gets a new name, so that the votes and entries
acknowledged with an earlier disk never count for it.  It joins as a
learner, without a vote.  Once it has caught up, it replaces a voter
that is unreachable or stepping out, or adds a missing one.

The name of a lost disk never answers again, so its vote is removed
before the new name gets one: a dead name never makes up a majority, but
raises the number of votes that one needs.  A voter that is only silent
may come back, so it is removed after its replacement is added.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle.decide._times import NS_PER_MS

if TYPE_CHECKING:
    from rosemarysaddle.decide._effects import Effect
    from rosemarysaddle.decide.control_log._log import LogNode

__all__ = ("VoterManager", "address_of")

# Longer than an election plus the start of a host, so that a voter that
# restarts is not replaced.
VOTER_TIMEOUT_MS: Final = 2_500
LEARNER_TIMEOUT_MS: Final = 6_000
MAX_LEARNER_LAG_ENTRIES: Final = 16
# A voter counts as unavailable for this long after it steps out.
STEP_OUT_WINDOW_MS: Final = 8_000


def address_of(host: str) -> str:
    """Return the address part of a control host's name.

    A name is an address, or an address and a suffix that differs for
    each disk, separated by ``#``.
    """
    return host.partition("#")[0]


@attrs.define(kw_only=True)
class VoterManager:
    """Maintains the wanted number of live voters.

    :param log: log whose voters are managed
    :param wanted: number of voters to maintain
    """

    log: LogNode
    wanted: int
    _leaving_until_ns: dict[str, int] = attrs.field(factory=dict, init=False)

    def join(self, host: str, now_ns: int) -> list[Effect]:
        """Add a host that asks to join, as a learner."""
        if host in self.log.voters:
            return []
        return self.log.add_learner(host, now_ns)

    def step_out(self, host: str, now_ns: int) -> None:
        """Record that a voter is about to stop."""
        self._leaving_until_ns[host] = now_ns + STEP_OUT_WINDOW_MS * NS_PER_MS

    def tick(self, now_ns: int) -> list[Effect]:
        """Add or remove one voter if a change is due.

        :param now_ns: time of the decision, in nanoseconds
        """
        self._drop_ended_learners(now_ns)
        if not self.log.may_change_voters():
            return []
        if not self.log.has_recorded_voters:
            return self.log.record_voters(now_ns)
        voters = self.log.voters
        replaced = self._replaced_voters()
        if replaced:
            return self._remove_replaced(replaced[0], now_ns)
        unavailable = self._unavailable_voters(now_ns)
        if len(voters) > self.wanted and unavailable:
            remaining = [v for v in voters if v != unavailable[0]]
            return self.log.set_voters(remaining, now_ns)
        learner = self._promotable_learner(now_ns)
        if learner and (unavailable or len(voters) < self.wanted):
            return self.log.set_voters([*voters, learner], now_ns)
        return []

    def _replaced_voters(self) -> list[str]:
        """List the voters whose host has a newer name."""
        return [v for v in self.log.voters if self._is_replaced(v)]

    def _is_replaced(self, name: str) -> bool:
        """Tell whether a newer name of the same host has answered.

        One process at a time runs at an address.  A name that has
        answered a message sent after another one was last heard runs
        after it, in whatever order their messages have arrived.
        """
        if name == self.log.host:
            return False
        heard_ns = self.log.last_heard_ns(name)
        return any(
            self.log.last_acked_ns(other) >= heard_ns
            for other in self._other_names(name)
        )

    def _other_names(self, name: str) -> list[str]:
        address = address_of(name)
        known = {*self.log.voters, *self.log.learners}
        return [n for n in known if n != name and address_of(n) == address]

    def _remove_replaced(self, voter: str, now_ns: int) -> list[Effect]:
        remaining = [v for v in self.log.voters if v != voter]
        effects = self.log.set_voters(remaining, now_ns)
        self.log.drop_learner(voter)
        return effects

    def _unavailable_voters(self, now_ns: int) -> list[str]:
        return [
            v
            for v in self.log.voters
            if v != self.log.host and self._is_unavailable(v, now_ns)
        ]

    def _is_unavailable(self, voter: str, now_ns: int) -> bool:
        if now_ns < self._leaving_until_ns.get(voter, 0):
            return True
        silent_ns = now_ns - self.log.last_heard_ns(voter)
        return silent_ns > VOTER_TIMEOUT_MS * NS_PER_MS

    def _promotable_learner(self, now_ns: int) -> str:
        for host in sorted(self.log.learners):
            silent_ns = now_ns - self.log.last_heard_ns(host)
            is_live = silent_ns < VOTER_TIMEOUT_MS * NS_PER_MS
            # A request to join may arrive after its sender has ended.
            has_answered = self.log.has_answered_as_learner(host)
            is_close = self.log.lag(host) <= MAX_LEARNER_LAG_ENTRIES
            if (
                is_live
                and has_answered
                and is_close
                and not self._other_names(host)
            ):
                return host
        return ""

    def _drop_ended_learners(self, now_ns: int) -> None:
        for host in self.log.learners:
            silent_ns = now_ns - self.log.last_heard_ns(host)
            is_silent = silent_ns > LEARNER_TIMEOUT_MS * NS_PER_MS
            if is_silent or self._is_replaced(host):
                self.log.drop_learner(host)
