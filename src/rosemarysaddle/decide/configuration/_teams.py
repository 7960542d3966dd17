"""Directory of the teams of a route plan, by digests of their keys.

Only digests are kept, so that no key can get into a log line, an error
text or the dump of an object.
"""

from __future__ import annotations

import hashlib
import hmac
import math
import secrets
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemarysaddle.schema import Team

__all__ = ("TeamDirectory", "digest_key", "find_team_fault", "team_weight")

# 128 bits: two of a few million keys share a digest with a probability
# below 1e-24.
DIGEST_BYTES: Final = 16
# A digest read from the memory of one process is of no use to another.
_PROCESS_SECRET: Final = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)
# A share has to be positive, and fits in 32 bits as thousandths.
MIN_WEIGHT: Final = 0.001
MAX_WEIGHT: Final = 1_000_000.0


def digest_key(key: str) -> bytes:
    """Compute the digest under which this process knows a key."""
    return hashlib.blake2b(
        # JSON can hold lone surrogates, which plain UTF-8 refuses.
        key.encode(errors="surrogatepass"),
        digest_size=DIGEST_BYTES,
        key=_PROCESS_SECRET,
    ).digest()


def team_weight(team: Team | None) -> float:
    """Return the share of a team: its rate limit relative to 1/s.

    :param team: the team, or None for callers without one
    """
    if team is None or team.rate_per_s is None:
        return 1.0
    return min(MAX_WEIGHT, max(MIN_WEIGHT, team.rate_per_s))


@attrs.frozen(kw_only=True)
class _Credential:
    digest: bytes
    team: Team


@attrs.frozen(kw_only=True)
class TeamDirectory:
    """Teams of one plan; the teams in it have no keys.

    :param by_name: teams by name
    """

    by_name: dict[str, Team] = attrs.field(factory=dict)
    _by_digest: dict[bytes, _Credential] = attrs.field(
        factory=dict, repr=False
    )
    _digests: dict[str, tuple[bytes, ...]] = attrs.field(
        factory=dict, repr=False
    )

    @classmethod
    def of(cls, teams: Iterable[Team]) -> TeamDirectory:
        """Build the directory from the teams of a checked plan."""
        return cls().patched(remove=(), put=teams)

    def patched(
        self, *, remove: Iterable[str], put: Iterable[Team]
    ) -> TeamDirectory:
        """Build the directory of a plan that differs in some teams.

        :param remove: names of teams that the new plan lacks
        :param put: teams that are new or changed
        """
        added = {team.name: team for team in put}
        by_name = dict(self.by_name)
        by_digest = dict(self._by_digest)
        digests = dict(self._digests)
        # A key may move between teams, so old ones are removed first.
        for name in (*remove, *added):
            by_name.pop(name, None)
            for digest in digests.pop(name, ()):
                by_digest.pop(digest, None)
        for name, team in added.items():
            without_keys = attrs.evolve(team, api_keys=())
            by_name[name] = without_keys
            digests[name] = tuple(map(digest_key, team.api_keys))
            for digest in digests[name]:
                by_digest[digest] = _Credential(
                    digest=digest, team=without_keys
                )
        return TeamDirectory(
            by_name=by_name, by_digest=by_digest, digests=digests
        )

    @property
    def key_count(self) -> int:
        """Number of keys of all teams."""
        return len(self._by_digest)

    def teams_with_removed_keys(self, newer: TeamDirectory) -> set[str]:
        """Return the teams that lack a key in a newer plan."""
        return {
            credential.team.name
            for digest, credential in self._by_digest.items()
            if (now := newer._by_digest.get(digest)) is not credential
            and (now is None or now.team.name != credential.team.name)
        }

    def find(self, digest: bytes) -> Team | None:
        """Return the team that holds the key of a digest, or None."""
        # The hash table compares bytes only where 64 bits of a hash
        # agree, so its time says nothing about stored digests.
        credential = self._by_digest.get(digest)
        if credential is None:
            return None
        is_same = hmac.compare_digest(credential.digest, digest)
        return credential.team if is_same else None


def find_team_fault(teams: Iterable[Team]) -> tuple[str, str] | None:
    """Find the first fault of a plan's teams.

    :return: JSON path and reason, which contain no key and no name, or
        None
    """
    listed = tuple(teams)
    fault = _find_key_fault(listed)
    if fault is not None:
        return fault
    keys = {key for team in listed for key in team.api_keys}
    numbers: dict[str, int] = {}
    for number, team in enumerate(listed):
        path = f"$.teams[{number}]"
        other = numbers.setdefault(team.name, number)
        if other != number:
            return f"{path}.name", f"same name as $.teams[{other}]"
        if not team.name.isprintable() or " " in team.name:
            return f"{path}.name", "not one word of printable characters"
        if team.name in keys:
            # Targets are told the name, and never a key.
            return f"{path}.name", "the name is also a key"
        if not math.isfinite(team.rate_per_s or 0):
            return f"{path}.rate_per_s", "not a finite number"
        if not math.isfinite(team.burst_size):
            return f"{path}.burst_size", "not a finite number"
    return None


def _find_key_fault(teams: tuple[Team, ...]) -> tuple[str, str] | None:
    owners: dict[str, int] = {}
    for number, team in enumerate(teams):
        for position, key in enumerate(team.api_keys):
            other = owners.setdefault(key, number)
            if other != number:
                path = f"$.teams[{number}].api_keys[{position}]"
                return path, f"key of $.teams[{other}] as well"
    return None
