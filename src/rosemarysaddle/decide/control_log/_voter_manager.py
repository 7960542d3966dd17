"""Changes of the control log's voters, driven by its leader.

A host with a new disk gets a new name, so that the votes and entries
acknowledged with an earlier disk never count for it.  It joins as a
learner, without a vote.  Once it has caught up, it replaces a voter
that is unreachable or stepping out, or adds a missing one.
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
        self._drop_silent_learners(now_ns)
        if not self.log.may_change_voters():
            return []
        if not self.log.has_recorded_voters:
            return self.log.record_voters(now_ns)
        outgoing = self._voters_to_remove(now_ns)
        voters = self.log.voters
        if len(voters) > self.wanted and outgoing:
            remaining = [v for v in voters if v != outgoing[0]]
            return self.log.set_voters(remaining, now_ns)
        learner = self._promotable_learner(now_ns)
        if learner and (outgoing or len(voters) < self.wanted):
            return self.log.set_voters([*voters, learner], now_ns)
        return []

    def _voters_to_remove(self, now_ns: int) -> list[str]:
        """List the voters to remove, in order of preference.

        A voter whose address has a newer name is the same host with an
        earlier disk.  It never answers again, so it comes first and is
        not waited for.
        """
        # Voters are listed in the order in which they were added.
        newest = {
            address_of(host): host
            for host in (*self.log.voters, *self.log.learners)
        }
        others = [v for v in self.log.voters if v != self.log.host]
        replaced = [v for v in others if newest[address_of(v)] != v]
        unavailable = [v for v in others if self._is_unavailable(v, now_ns)]
        return [*replaced, *(v for v in unavailable if v not in replaced)]

    def _is_unavailable(self, voter: str, now_ns: int) -> bool:
        if now_ns < self._leaving_until_ns.get(voter, 0):
            return True
        silent_ns = now_ns - self.log.last_heard_ns(voter)
        return silent_ns > VOTER_TIMEOUT_MS * NS_PER_MS

    def _promotable_learner(self, now_ns: int) -> str:
        for host in sorted(self.log.learners):
            silent_ns = now_ns - self.log.last_heard_ns(host)
            is_live = silent_ns < VOTER_TIMEOUT_MS * NS_PER_MS
            if is_live and self.log.lag(host) <= MAX_LEARNER_LAG_ENTRIES:
                return host
        return ""

    def _drop_silent_learners(self, now_ns: int) -> None:
        for host in self.log.learners:
            silent_ns = now_ns - self.log.last_heard_ns(host)
            if silent_ns > LEARNER_TIMEOUT_MS * NS_PER_MS:
                self.log.drop_learner(host)
