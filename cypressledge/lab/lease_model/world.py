"""One state of a small world: voters, requesters, clocks and all messages ever sent. No I/O."""

from dataclasses import replace
from typing import NamedTuple

from cypressledge.fleet.clock import NEVER
from cypressledge.fleet.leases.acquisition import LeaseAcquisition
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.voter import Vote, Voter
from cypressledge.fleet.messages import ReleaseLease, VoteGranted, VoteRequest
from cypressledge.lab.lease_model.bounds import DRIFT_PPM, LEASE, Bounds, Implementation

LeaseMessage = VoteRequest | VoteGranted | ReleaseLease
StateKey = tuple[object, ...]
LONG_AGO_TERMS = 10  # terms before the start of a world; nothing from that time is still in force
NOTHING_HELD = (0, 0)  # token and instance id before the lease was ever held


class SentMessage(NamedTuple):
    """A message on the network, with the names of its sender and receiver."""

    source: str
    to: str
    content: LeaseMessage


class World:
    """One state of a world, with the numbers of events that may still happen."""

    __slots__ = (
        "requester_restarts",
        "acquisitions",
        "highest_held",
        "now",
        "releases",
        "reloads",
        "rounds",
        "sent",
        "symmetry_classes",
        "version_observations",
        "voter_restarts",
        "voters",
    )

    def __init__(self, bounds: Bounds, implementation: Implementation) -> None:
        voters = sorted({voter for voter_set in bounds.voter_sets.values() for voter in voter_set})
        processes = (*voters, *bounds.requesters)
        self.now: dict[str, int] = dict.fromkeys(processes, 0)  # process -> reading of its clock
        self.voters: dict[str, Voter] = {
            name: implementation.voter(_electorate(bounds, implementation, name), -bounds.term, 0)
            for name in voters
        }
        self.acquisitions: dict[str, LeaseAcquisition] = {
            name: implementation.acquisition(
                LEASE, number, bounds.term, DRIFT_PPM, _electorate(bounds, implementation, name)
            )
            for number, name in enumerate(bounds.requesters, 1)
        }
        for index, acquisition in enumerate(self.acquisitions.values()):
            acquisition.observe_token(bounds.known_tokens[index] if bounds.known_tokens else index)
        for name in processes:
            self._observe_voters(bounds, name)
        # Voters of one class are interchangeable. With version observations, each voter has its own class.
        self.symmetry_classes = {
            name: name if bounds.version_observations else _symmetry_class(bounds, name) for name in voters
        }
        self.sent: frozenset[SentMessage] = frozenset()
        rounds = bounds.rounds
        self.rounds = dict(rounds) if isinstance(rounds, dict) else dict.fromkeys(bounds.requesters, rounds)
        self.releases = bounds.releases
        self.voter_restarts = bounds.voter_restarts
        self.requester_restarts = bounds.requester_restarts
        self.reloads = dict(bounds.reloads)
        self.version_observations = bounds.version_observations
        self.highest_held = NOTHING_HELD  # the highest token ever held, and its holder's instance id

    def _observe_voters(self, bounds: Bounds, name: str) -> None:
        process = self.voters.get(name) or self.acquisitions[name]
        for voter in bounds.observed_voters.get(name, ()):
            version = bounds.versions.get(voter, bounds.oldest_version)
            process.electorate.observe(-LONG_AGO_TERMS * bounds.term, voter, version)

    def copy(self) -> "World":
        """Return another world in the same state.

        Both worlds share the processes until a step changes one (`mutable_voter`, `mutable_acquisition`).
        """
        other = object.__new__(World)
        for name in World.__slots__:
            setattr(other, name, getattr(self, name))
        return other

    def mutable_voter(self, name: str) -> Voter:
        """Replace a voter by a copy that no other world shares, and return the copy."""
        self.voters = self.voters | {name: _copy_voter(self.voters[name])}
        return self.voters[name]

    def mutable_acquisition(self, name: str) -> LeaseAcquisition:
        """Replace a requester's acquisition by a copy that no other world shares, and return the copy."""
        self.acquisitions = self.acquisitions | {name: _copy_acquisition(self.acquisitions[name])}
        return self.acquisitions[name]

    def mutable_electorate(self, name: str) -> Electorate:
        """Replace a process by a copy that no other world shares, and return the copy's electorate."""
        return (
            self.mutable_acquisition(name) if name in self.acquisitions else self.mutable_voter(name)
        ).electorate

    def key(self) -> StateKey:
        """Return a key of the state that holds durations instead of points in time.

        With a single voter set, voters whose clocks run at one rate are interchangeable: each voter's entry
        holds everything that concerns it, and the entries are sorted.
        """
        messages: dict[str, list[StateKey]] = {name: [] for name in self.voters}  # from and to each voter
        for source, to, message in self.sent:
            if source in messages:
                messages[source].append((1, to, _message_key(message)))
            else:
                messages[to].append((0, source, _message_key(message)))
        voters = []
        for name, voter in self.voters.items():
            votes = tuple(
                max(0, acquisition.vote_expirations.get(name, NEVER) - self.now[requester])
                for requester, acquisition in self.acquisitions.items()
            )
            state = _voter_key(voter, self.now[name])
            reloads = self.reloads.get(name, 0)
            voters.append((self.symmetry_classes[name], state, reloads, votes, sorted(messages[name])))
        voters.sort()
        return (
            repr(voters),
            tuple(
                _acquisition_key(acquisition, self.now[name])
                for name, acquisition in self.acquisitions.items()
            ),
            tuple(self.rounds.values()),
            self.releases,
            self.voter_restarts,
            self.requester_restarts,
            self.version_observations,
            tuple(self.reloads.get(name, 0) for name in self.acquisitions),
            self.highest_held,
        )

    def check(self) -> str:
        """Return the fault of this state, or an empty string, and record the highest token held."""
        holders = [
            (name, acquisition)
            for name, acquisition in self.acquisitions.items()
            if acquisition.is_held(self.now[name])
        ]
        if len(holders) > 1:
            return "two holders: " + ", ".join(
                f"{name} with token {acquisition.token}" for name, acquisition in holders
            )
        for name, acquisition in holders:
            held = (acquisition.token, acquisition.instance_id)
            highest = self.highest_held[0]
            if held != self.highest_held and acquisition.token <= highest:
                return f"token {acquisition.token} of {name} is not above {highest}, which was held before"
            self.highest_held = held
        return ""


def _electorate(bounds: Bounds, implementation: Implementation, name: str) -> Electorate:
    version = bounds.versions.get(name, bounds.oldest_version)
    known = bounds.known_versions.get(name, tuple(v for v in bounds.voter_sets if v <= version))
    voter_sets = {known_version: bounds.voter_sets[known_version] for known_version in known}
    return implementation.electorate(name, bounds.term, voter_sets, version, -LONG_AGO_TERMS * bounds.term)


def _symmetry_class(bounds: Bounds, name: str) -> str:
    """Return the properties that distinguish a voter; voters with the same class are interchangeable."""
    memberships = [name in voter_set for voter_set in bounds.voter_sets.values()]
    return repr((bounds.clocks.get(name), bounds.versions.get(name), bounds.reloads.get(name), memberships))


def copy_electorate(electorate: Electorate) -> Electorate:
    """Return a copy of an electorate in the same state."""
    return type(electorate)(
        electorate.name,
        electorate.max_term,
        dict(electorate.voter_sets),
        electorate.version,
        electorate.adopted_at,
        electorate.grace,
        {name: list(history) for name, history in electorate.oldest_accepted_by.items()},
    )


def _copy_voter(voter: Voter) -> Voter:
    other = object.__new__(type(voter))
    other.electorate = copy_electorate(voter.electorate)
    other.started_at = voter.started_at
    other.base_token = voter.base_token
    other.leases = {
        name: replace(lease_state, vote=lease_state.vote and replace(lease_state.vote))
        for name, lease_state in voter.leases.items()
    }
    return other


def _copy_acquisition(acquisition: LeaseAcquisition) -> LeaseAcquisition:
    other = object.__new__(type(acquisition))
    other.__dict__.update(acquisition.__dict__)
    other.electorate = copy_electorate(acquisition.electorate)
    other.open_rounds = dict(acquisition.open_rounds)
    other.vote_expirations = dict(acquisition.vote_expirations)
    other.rejections = dict(acquisition.rejections)
    other.renewal_rounds = set(acquisition.renewal_rounds)
    return other


def _message_key(message: LeaseMessage) -> StateKey:
    if isinstance(message, ReleaseLease):
        return "release", message.instance_id, message.round
    if isinstance(message, VoteRequest):
        return (
            "request",
            message.instance_id,
            message.round,
            message.token,
            message.voters_version,
            message.renewal,
        )
    return "granted", message.instance_id, message.round, message.token, 0, False


def _electorate_key(electorate: Electorate, now: int) -> StateKey:
    if len(electorate.voter_sets) == 1:
        return ()
    longest = 2 * electorate.max_term  # ages beyond this are equivalent
    observed = tuple(
        (name, tuple((version, min(now - at, longest)) for version, at in history))
        for name, history in sorted(electorate.oldest_accepted_by.items())
    )
    return electorate.version, min(now - electorate.adopted_at, longest), observed


def _voter_key(voter: Voter, now: int) -> StateKey:
    lease_state = voter.leases.get(LEASE)
    if lease_state is None:
        inner: StateKey = (voter.base_token, (0, 0), ())
    else:
        inner = (lease_state.highest_token, lease_state.released, _vote_key(lease_state.vote, now))
    age = min(now - voter.started_at, voter.electorate.max_term)
    return inner, voter.base_token, age, _electorate_key(voter.electorate, now)


def _vote_key(vote: Vote | None, now: int) -> StateKey:
    """Return the key of a vote.

    An expired vote still affects which tokens its process may use, so it stays in the key, with no time left.
    """
    if vote is None:
        return ()
    return vote.instance_id, vote.round, vote.token, max(0, vote.expires_at - now)


def _acquisition_key(acquisition: LeaseAcquisition, now: int) -> StateKey:
    rounds = tuple(
        (number, min(now - began, acquisition.term + 1), number in acquisition.renewal_rounds)
        for number, began in acquisition.open_rounds.items()
    )
    electorate = _electorate_key(acquisition.electorate, now)
    return (
        acquisition.instance_id,
        acquisition.round,
        acquisition.token,
        acquisition.highest_token,
        rounds,
        electorate,
    )
