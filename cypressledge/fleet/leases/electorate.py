"""Voter sets by version, and when leases may be requested and granted under the newest. No I/O.

All times are µs on the process's own clock. The argument for changes of the voter set is in docs/leases.md.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from itertools import pairwise

MAX_VERSIONS_KEPT = 4  # of each voter, newest last: more than one change at a time does not settle


class VoterSetError(ValueError):
    """A change of voters that is rejected."""


@dataclass(slots=True)
class Electorate:
    """The voters of each version of the voter set, and the versions that other processes are known to accept.

    Neighbouring versions differ by one voter, so their majorities intersect. Versions further apart need not:
    a version is used only once, for each version between the first known and it, a majority has been
    rejecting older ones for a complete longest term. `grace` is how long a process still accepts the version
    before its own.
    """

    name: str
    max_term: int
    voter_sets: dict[int, tuple[str, ...]]
    version: int
    adopted_at: int  # when this process adopted `version`
    grace: int = 0
    # By voter: the oldest version that it accepts, and when that was first heard.
    oldest_accepted_by: dict[str, list[tuple[int, int]]] = field(default_factory=dict)

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the version in force at this process."""
        return self.voter_sets[self.version]

    @property
    def majority(self) -> int:
        """The number of votes that make a majority of them."""
        return len(self.voters) // 2 + 1

    def oldest_accepted(self, now: int) -> int:
        """The oldest version that this process accepts."""
        return self.version if now >= self.adopted_at + self.grace else self.version - 1

    def observe(self, now: int, name: str, oldest_accepted: int) -> None:
        """Record the oldest version that a broker accepts, as its messages state it."""
        known = self.oldest_accepted_by.setdefault(name, [])
        if not known or oldest_accepted > known[-1][0]:
            known.append((oldest_accepted, now))
            del known[:-MAX_VERSIONS_KEPT]

    def retain(self, names: Collection[str]) -> None:
        """Drop what is known of brokers other than these and the voters of any version. Guards against a map
        that grows with each broker replaced."""
        kept = set(names).union(*self.voter_sets.values())
        for name in self.oldest_accepted_by.keys() - kept:
            del self.oldest_accepted_by[name]

    def is_settled(self, now: int, version: int) -> bool:
        """Whether a majority of this version's voters has rejected older ones for a complete longest term."""

        def rejects_older(voter: str) -> bool:
            """Whether a voter is known to have rejected older versions for so long."""
            if voter == self.name:
                return version <= self.version and now >= self.adopted_at + self.grace + self.max_term
            known = self.oldest_accepted_by.get(voter, ())
            return any(oldest >= version and now >= since + self.max_term for oldest, since in known)

        voters = self.voter_sets[version]
        return sum(map(rejects_older, voters)) > len(voters) // 2

    def is_ready(self, now: int) -> bool:
        """Whether leases may be requested and granted under the version in force."""
        between = [v for v in self.voter_sets if min(self.voter_sets) < v < self.version]
        return all(self.is_settled(now, v) for v in between)

    def accepts(self, now: int, version: int) -> bool:
        """Whether a request under this version is considered."""
        return version >= self.oldest_accepted(now)

    def adopt(self, now: int, version: int, voter_sets: Mapping[int, tuple[str, ...]]) -> bool:
        """Adopt the voter sets of a file; whether that changed the version. Raises `VoterSetError`, and
        changes nothing, where the file is older, is more than one change ahead, or the last change has not
        settled."""
        if version < self.version:
            raise VoterSetError(f"voters version {version} is older than {self.version}, which is in force")
        if version == self.version:
            if set(voter_sets[version]) != set(self.voters):
                raise VoterSetError(f"voters version {version} is in force with other voters")
            return False
        check_voter_sets(voter_sets)
        if version > self.version + 1:
            raise VoterSetError(f"voters version {version} is more than one change from {self.version}")
        check_voter_sets({self.version: self.voters, version: voter_sets[version]})
        if not self._is_change_allowed(now):
            raise VoterSetError(f"voters version {self.version} has not settled yet; wait a term, then again")
        self.voter_sets[version] = voter_sets[version]
        self.version, self.adopted_at = version, now
        return True

    def _is_change_allowed(self, now: int) -> bool:
        return self.version == min(self.voter_sets) or self.is_settled(now, self.version)


def check_voter_sets(voter_sets: Mapping[int, tuple[str, ...]]) -> None:
    """Check that neighbouring versions differ by one voter added or removed. Raises `VoterSetError`."""
    versions = sorted(voter_sets)
    for old, new in pairwise(versions):
        if new != old + 1:
            raise VoterSetError(f"voters version {old + 1} is missing between {old} and {new}")
        if len(set(voter_sets[old]) ^ set(voter_sets[new])) != 1:
            raise VoterSetError(f"voters version {new} changes more than one voter against version {old}")
