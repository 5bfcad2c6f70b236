"""The steps that are possible in a state of a small world: each has a text and changes the world. No I/O."""

import contextlib
from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from cypressledge.fleet.leases.electorate import VoterSetError
from cypressledge.fleet.messages import ReleaseLease, VoteGranted, VoteRequest
from cypressledge.lab.lease_model.bounds import DRIFT_PPM, LEASE, TICK_US, Bounds, Implementation
from cypressledge.lab.lease_model.world import LeaseMessage, SentMessage, World, copy_electorate

NEXT_INSTANCE = 10  # added to a requester's instance id at each restart


class Step(NamedTuple):
    """A possible step: its text in traces, and the function that applies it to a copy of the world."""

    text: str
    change: Callable[[World], None]


def possible_steps(world: World, bounds: Bounds, implementation: Implementation) -> Iterator[Step]:
    """Yield every step that is possible in this state."""
    yield Step("a tick passes", partial(_tick, bounds=bounds))
    yield from _requester_steps(world, bounds, implementation)
    if world.voter_restarts:
        for name in world.voters:
            restart = partial(_restart_voter, name=name, implementation=implementation)
            yield Step(f"voter {name} restarts", restart)
    for name in world.reloads:
        if world.reloads[name]:
            yield Step(f"{name} reloads its file", partial(_reload, name=name, bounds=bounds))
    if world.version_observations:
        yield from _observations(world)
    for message in world.sent:
        text = f"{message.to} gets {_describe_message(message.content)} from {message.source}"
        yield Step(text, partial(_deliver, message=message))


def _requester_steps(world: World, bounds: Bounds, implementation: Implementation) -> Iterator[Step]:
    for name, acquisition in world.acquisitions.items():
        if world.rounds[name]:
            yield Step(f"{name} requests votes", partial(_start_round, name=name))
        if world.releases and acquisition.round and (not bounds.releasers or name in bounds.releasers):
            yield Step(f"{name} releases the lease", partial(_release, name=name))
        if world.requester_restarts and acquisition.round:
            restart = partial(_restart_requester, name=name, bounds=bounds, implementation=implementation)
            yield Step(f"{name} restarts", restart)


def _observations(world: World) -> Iterator[Step]:
    """Yield the steps in which a process receives the oldest version that a reloading voter accepts."""
    for voter in world.voters:
        if voter not in world.reloads:
            continue
        for observer in (*world.acquisitions, *world.voters):
            if observer != voter:
                observe = partial(_observe_version, voter=voter, observer=observer)
                yield Step(f"{observer} receives the oldest version that {voter} accepts", observe)


def _describe_message(message: LeaseMessage) -> str:
    if isinstance(message, VoteRequest):
        return f"VoteRequest(round {message.round}, token {message.token})"
    if isinstance(message, VoteGranted):
        return f"VoteGranted(round {message.round}, token {message.token})"
    return type(message).__name__


def _tick(world: World, bounds: Bounds) -> None:
    world.now = {
        name: now + TICK_US.get(bounds.clocks.get(name, "true"), 0) for name, now in world.now.items()
    }


def _send(world: World, source: str, to: str, message: LeaseMessage) -> None:
    world.sent = world.sent | {SentMessage(source, to, message)}


def _start_round(world: World, name: str) -> None:
    acquisition = world.mutable_acquisition(name)
    world.rounds = world.rounds | {name: world.rounds[name] - 1}
    request = acquisition.start_round(world.now[name])
    if request is not None:
        for voter in acquisition.electorate.voters:
            _send(world, name, voter, request)


def _release(world: World, name: str) -> None:
    acquisition = world.mutable_acquisition(name)
    world.releases -= 1
    release = acquisition.release()
    for voter in acquisition.electorate.voters:
        _send(world, name, voter, release)


def _restart_requester(world: World, name: str, bounds: Bounds, implementation: Implementation) -> None:
    world.requester_restarts -= 1
    old = world.acquisitions[name]
    keeps_id = implementation.keeps_instance_id
    instance_id = old.instance_id if keeps_id else old.instance_id + NEXT_INSTANCE
    electorate = copy_electorate(old.electorate)
    fresh = implementation.acquisition(LEASE, instance_id, bounds.term, DRIFT_PPM, electorate)
    fresh.observe_token(old.highest_token - 1 if keeps_id else world.highest_held[0])
    world.acquisitions = world.acquisitions | {name: fresh}


def _restart_voter(world: World, name: str, implementation: Implementation) -> None:
    world.voter_restarts -= 1
    old = world.voters[name]
    electorate = copy_electorate(old.electorate)
    electorate.oldest_accepted_by.clear()
    base_token = old.base_token + implementation.restart_token_step
    world.voters = world.voters | {name: implementation.voter(electorate, world.now[name], base_token)}


def _reload(world: World, name: str, bounds: Bounds) -> None:
    """Let a process adopt the next version of the voter set, unless its electorate rejects it for now."""
    world.reloads = world.reloads | {name: world.reloads[name] - 1}
    electorate = world.mutable_electorate(name)
    version = electorate.version + 1
    known = {known: voters for known, voters in bounds.voter_sets.items() if known <= version}
    with contextlib.suppress(VoterSetError):
        electorate.adopt(world.now[name], version, known)


def _observe_version(world: World, voter: str, observer: str) -> None:
    world.version_observations -= 1
    oldest = world.voters[voter].electorate.oldest_accepted(world.now[voter])
    world.mutable_electorate(observer).observe(world.now[observer], voter, oldest)


def _deliver(world: World, message: SentMessage) -> None:
    source, to, content = message
    now = world.now[to]
    if to in world.acquisitions:
        assert isinstance(content, VoteGranted)  # requesters receive no other messages
        world.mutable_acquisition(to).record_vote(now, source, content)
        return
    voter = world.mutable_voter(to)
    if isinstance(content, ReleaseLease):
        voter.release(content)
        return
    assert isinstance(content, VoteRequest)
    answer = voter.vote(now, source, content)
    if isinstance(answer, VoteGranted):  # rejections only carry tokens: `known_tokens` models that
        _send(world, to, source, answer)
