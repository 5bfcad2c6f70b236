"""Versions of the voter set, and when leases may be requested and granted under the newest. No I/O.

All times are µs on the process's own clock. docs/leases.md argues why changes are safe.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from itertools import pairwise

MAX_VERSIONS_KEPT = 4  # versions kept per voter; one change has to settle before the next, so few are needed


class VoterSetError(ValueError):
    """Raised for voter sets that are inconsistent or must not replace those in force."""


@dataclass(slots=True)
class Electorate:
    """The voters of each version of the voter set, and the versions that other processes are known to accept.

    Neighbouring versions differ by one voter, so their majorities intersect. Majorities of versions further
    apart may not intersect. So a version is used only when, for each version between the first known one and
    it, a majority has been rejecting older versions for a complete longest term. `max_term`: the longest term
    of any lease, µs; `grace`: how long a process accepts the version before its own, µs.
    """

    name: str
    max_term: int
    voter_sets: dict[int, tuple[str, ...]]
    version: int
    adopted_at: int  # µs; when this process adopted `version`
    grace: int = 0
    # By voter, newest last: the oldest version that it accepts, and when a message first stated that, µs.
    oldest_accepted_by: dict[str, list[tuple[int, int]]] = field(default_factory=dict)

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the version that is in force at this process."""
        return self.voter_sets[self.version]

    @property
    def majority(self) -> int:
        """The number of votes that make a majority of the voters."""
        return len(self.voters) // 2 + 1

    def oldest_accepted(self, now: int) -> int:
        """Return the oldest version that this process accepts."""
        return self.version if now >= self.adopted_at + self.grace else self.version - 1

    def observe(self, now: int, name: str, oldest_accepted: int) -> None:
        """Record the oldest version that a broker accepts, as its messages state it."""
        known = self.oldest_accepted_by.setdefault(name, [])
        if not known or oldest_accepted > known[-1][0]:
            known.append((oldest_accepted, now))
            del known[:-MAX_VERSIONS_KEPT]

    def retain(self, names: Collection[str]) -> None:
        """Drop the records of brokers other than these and the voters of any version. Otherwise the map would
        grow with each replaced broker."""
        kept = set(names).union(*self.voter_sets.values())
        for name in self.oldest_accepted_by.keys() - kept:
            del self.oldest_accepted_by[name]

    def is_settled(self, now: int, version: int) -> bool:
        """Return whether a majority of this version's voters has rejected older versions for a complete
        longest term."""

        def rejects_older(voter: str) -> bool:
            """Return whether a voter is known to have rejected older versions for a longest term."""
            if voter == self.name:
                return version <= self.version and now >= self.adopted_at + self.grace + self.max_term
            known = self.oldest_accepted_by.get(voter, ())
            return any(oldest >= version and now >= since + self.max_term for oldest, since in known)

        voters = self.voter_sets[version]
        return sum(map(rejects_older, voters)) > len(voters) // 2

    def is_ready(self, now: int) -> bool:
        """Return whether leases may be requested and granted under the version in force."""
        between = [v for v in self.voter_sets if min(self.voter_sets) < v < self.version]
        return all(self.is_settled(now, v) for v in between)

    def accepts(self, now: int, version: int) -> bool:
        """Return whether this process accepts requests under a version."""
        return version >= self.oldest_accepted(now)

    def adopt(self, now: int, version: int, voter_sets: Mapping[int, tuple[str, ...]]) -> bool:
        """Adopt the voter sets of a file; return whether that changed the version. Raises `VoterSetError`,
        and changes nothing, if the file is older, is more than one change ahead, or the last change has not
        settled."""
        if version < self.version:
            raise VoterSetError(f"voters version {version} is older than {self.version}, which is in force")
        if version == self.version:
            if set(voter_sets[version]) != set(self.voters):
                raise VoterSetError(f"voters version {version} is already in force with other voters")
            return False
        check_voter_sets(voter_sets)
        if version > self.version + 1:
            raise VoterSetError(f"voters version {version} is more than one change ahead of {self.version}")
        check_voter_sets({self.version: self.voters, version: voter_sets[version]})
        if not self._is_change_allowed(now):
            raise VoterSetError(f"voters version {self.version} has not settled yet; retry after a term")
        self.voter_sets[version] = voter_sets[version]
        self.version, self.adopted_at = version, now
        return True

    def _is_change_allowed(self, now: int) -> bool:
        return self.version == min(self.voter_sets) or self.is_settled(now, self.version)


def check_voter_sets(voter_sets: Mapping[int, tuple[str, ...]]) -> None:
    """Check that the versions are consecutive and that each adds or removes exactly one voter. Raises
    `VoterSetError`."""
    versions = sorted(voter_sets)
    for old, new in pairwise(versions):
        if new != old + 1:
            raise VoterSetError(f"voters version {old + 1} is missing between {old} and {new}")
        if len(set(voter_sets[old]) ^ set(voter_sets[new])) != 1:
            raise VoterSetError(f"voters version {new} must add or remove exactly one voter of version {old}")
