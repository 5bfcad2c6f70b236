"""Walks the lease through all interleavings of a small world, for two holders or a shrinking token. No I/O.

The network is the set of all messages ever sent: each may be delivered at any time, again, in any order, or
never, so loss, delay, copies and reordering are all of its behaviours. Real time moves in ticks; each
process's clock moves by its own rate. Voters and claimants may restart, and brokers reread the voter sets,
at any moment, as often as the bounds say. Nothing else is bounded: states are kept with spans in place of
moments, so a walk ends when no new state is left. The world runs the program's own `Voter`, `Claim` and
`Electorate`.
"""

import contextlib
from collections import deque
from dataclasses import dataclass, field, replace

from cypressledge.fleet.clock import NEVER
from cypressledge.fleet.leases.acquisition import LeaseAcquisition
from cypressledge.fleet.leases.electorate import Electorate, VoterSetError
from cypressledge.fleet.leases.voter import Voter
from cypressledge.fleet.messages import ReleaseLease, VoteGranted, VoteRequest

LEASE = "l"
TICK = {"slow": 4, "true": 5, "fast": 6}  # µs of a clock in a tick of real time: drift of one part in five
DRIFT = 200_000
RESTARTED_BASE = 100  # what a wall clock adds to the lowest token from one start to the next


@dataclass(frozen=True)
class Bounds:
    """One bounded world. `clocks`: by process, slow, true, fast or stopped; `rereads`: by process, how many
    versions of the voter sets it may still take; `versions`: the version each starts with."""

    name: str
    sets: dict[int, tuple[str, ...]]
    claimants: tuple[str, ...] = ("p", "q")
    term: int = 6
    clocks: dict[str, str] = field(default_factory=dict)
    asks: int | dict[str, int] = 2  # rounds of each claimant
    backs: int = 0  # givings back, all claimants together
    backers: tuple[str, ...] = ()  # who may give back; all, if none is named
    restarts: int = 0  # of voters
    reborn: int = 0  # of claimants
    versions: dict[str, int] = field(default_factory=dict)
    rereads: dict[str, int] = field(default_factory=dict)
    known: dict[str, tuple[int, ...]] = field(default_factory=dict)  # sets that a process's file still names
    tells: int = 0  # times that a process hears from which version on a voter that rereads answers
    heard: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by process: whose version it knows
    floors: tuple[int, ...] = ()  # by claimant: the highest token it has heard of


@dataclass(frozen=True)
class Made:
    """The classes under the walk; mutants take the place of one."""

    voter: type[Voter] = Voter
    claim: type[LeaseAcquisition] = LeaseAcquisition
    electorate: type[Electorate] = Electorate
    same_run: bool = False  # a claimant that starts anew is taken for its former self
    base: int = RESTARTED_BASE


@dataclass
class Found:
    """What a walk found: how many states and steps, and the trace of the first failure."""

    states: int
    steps: int
    fault: str = ""
    trace: list[str] = field(default_factory=list)
    whole: bool = True  # no state was left out
    held: int = 0  # states in which somebody holds the lease: a walk without any means nothing


class World:
    """One state of the world."""

    __slots__ = (
        "now",
        "voters",
        "claims",
        "sent",
        "asks",
        "backs",
        "restarts",
        "reborn",
        "rereads",
        "top",
        "alike",
        "tells",
    )

    def __init__(self, b: Bounds, made: Made) -> None:
        names = sorted({v for s in b.sets.values() for v in s})
        self.now = {n: 0 for n in (*names, *b.claimants)}
        self.voters = {n: made.voter(self._electorate(b, made, n), -b.term, 0) for n in names}
        self.claims = {
            n: made.claim(LEASE, i + 1, b.term, DRIFT, self._electorate(b, made, n))
            for i, n in enumerate(b.claimants)
        }
        for i, c in enumerate(self.claims.values()):
            c.observe_token(b.floors[i] if b.floors else i)
        self.alike = {n: n if b.tells else _part(b, n) for n in names}
        for n in (*names, *b.claimants):
            for voter in b.heard.get(n, ()):
                part = self.voters.get(n) or self.claims[n]
                part.electorate.observe(-10 * b.term, voter, b.versions.get(voter, min(b.sets)))
        self.sent: frozenset = frozenset()
        self.asks = dict(b.asks) if isinstance(b.asks, dict) else dict.fromkeys(b.claimants, b.asks)
        self.backs, self.restarts, self.reborn = b.backs, b.restarts, b.reborn
        self.rereads, self.tells = dict(b.rereads), b.tells
        self.top = (0, 0)

    @staticmethod
    def _electorate(b: Bounds, made: Made, name: str) -> Electorate:
        version = b.versions.get(name, min(b.sets))
        known = b.known.get(name, tuple(v for v in b.sets if v <= version))
        return made.electorate(name, b.term, {v: b.sets[v] for v in known}, version, -10 * b.term)

    def copy(self) -> "World":
        """Another world in the same state. Processes are shared until a step touches one (`own`)."""
        w = object.__new__(World)
        w.now, w.sent, w.top, w.alike = self.now, self.sent, self.top, self.alike
        w.voters, w.claims, w.asks, w.rereads = self.voters, self.claims, self.asks, self.rereads
        w.tells = self.tells
        w.backs, w.restarts, w.reborn = self.backs, self.restarts, self.reborn
        return w

    def own_voter(self, n: str) -> Voter:
        """A voter that this world alone has."""
        self.voters = self.voters | {n: _copy_voter(self.voters[n])}
        return self.voters[n]

    def own_claim(self, n: str) -> LeaseAcquisition:
        """A claim that this world alone has."""
        self.claims = self.claims | {n: _copy_claim(self.claims[n])}
        return self.claims[n]

    def key(self) -> tuple:
        """The state, with spans in place of moments. Where there is one voter set, voters with clocks of one
        rate are interchangeable: each stands with all that concerns it, and they stand in order."""
        by: dict[str, list] = {n: [] for n in self.voters}
        for source, to, item in self.sent:
            if source in by:
                by[source].append((1, to, _item_key(item)))
            else:
                by[to].append((0, source, _item_key(item)))
        each = []
        for n, v in self.voters.items():
            votes = tuple(
                max(0, c.vote_expirations.get(n, NEVER) - self.now[who]) for who, c in self.claims.items()
            )
            state = _voter_key(v, self.now[n])
            each.append((self.alike[n], state, self.rereads.get(n, 0), votes, sorted(by[n])))
        each.sort()
        return (
            repr(each),
            tuple(_claim_key(c, self.now[n]) for n, c in self.claims.items()),
            tuple(self.asks.values()),
            self.backs,
            self.restarts,
            self.reborn,
            self.tells,
            tuple(self.rereads.get(n, 0) for n in self.claims),
            self.top,
        )

    def fault(self) -> str:
        """What is wrong with this state; the ghost `top` remembers the highest token that was held."""
        holders = [(n, c) for n, c in self.claims.items() if c.is_held(self.now[n])]
        if len(holders) > 1:
            return "two holders: " + ", ".join(f"{n} with token {c.token}" for n, c in holders)
        for n, c in holders:
            if (c.token, c.instance_id) != self.top and c.token <= self.top[0]:
                return f"token {c.token} of {n} is not above {self.top[0]}, which was held before"
            self.top = (c.token, c.instance_id)
        return ""


def _part(b: Bounds, n: str) -> str:
    """What tells a voter from others: those with the same part are interchangeable."""
    return repr((b.clocks.get(n), b.versions.get(n), b.rereads.get(n), [n in s for s in b.sets.values()]))


def _copy_electorate(e: Electorate) -> Electorate:
    return type(e)(
        e.name,
        e.max_term,
        dict(e.voter_sets),
        e.version,
        e.adopted_at,
        e.grace,
        {n: list(h) for n, h in e.oldest_accepted_by.items()},
    )


def _copy_voter(v: Voter) -> Voter:
    w = object.__new__(type(v))
    w.electorate, w.started_at, w.base_token = _copy_electorate(v.electorate), v.started_at, v.base_token
    w.leases = {n: replace(s, vote=s.vote and replace(s.vote)) for n, s in v.leases.items()}
    return w


def _copy_claim(c: LeaseAcquisition) -> LeaseAcquisition:
    d = object.__new__(type(c))
    d.__dict__.update(c.__dict__)
    d.electorate = _copy_electorate(c.electorate)
    d.open_rounds, d.vote_expirations, d.rejections = (
        dict(c.open_rounds),
        dict(c.vote_expirations),
        dict(c.rejections),
    )
    d.renewal_rounds = set(c.renewal_rounds)
    return d


def _item_key(m: VoteRequest | VoteGranted | ReleaseLease) -> tuple:
    if isinstance(m, ReleaseLease):
        return "back", m.instance_id, m.round
    if isinstance(m, VoteRequest):
        return "ask", m.instance_id, m.round, m.token, m.voters_version, m.renewal
    return "grant", m.instance_id, m.round, m.token, 0, False


def _electorate_key(e: Electorate, now: int) -> tuple:
    if len(e.voter_sets) == 1:
        return ()
    most = 2 * e.max_term
    return (
        e.version,
        min(now - e.adopted_at, most),
        tuple(
            (n, tuple((f, min(now - at, most)) for f, at in h))
            for n, h in sorted(e.oldest_accepted_by.items())
        ),
    )


def _voter_key(v: Voter, now: int) -> tuple:
    s = v.leases.get(LEASE)
    if s is None:
        inner = (v.base_token, (0, 0), ())
    else:
        x = s.vote
        # An ended vote still counts for its owner's token, so it stays in the key, with nothing left.
        inner = (
            s.highest_token,
            s.released,
            (x.instance_id, x.round, x.token, max(0, x.expires_at - now)) if x else (),
        )
    return (
        inner,
        v.base_token,
        min(now - v.started_at, v.electorate.max_term),
        _electorate_key(v.electorate, now),
    )


def _claim_key(c: LeaseAcquisition, now: int) -> tuple:
    began = tuple((r, min(now - at, c.term + 1), r in c.renewal_rounds) for r, at in c.open_rounds.items())
    return c.instance_id, c.round, c.token, c.highest_token, began, _electorate_key(c.electorate, now)


def _steps(w: World, b: Bounds, made: Made):
    """All that may happen next: a text and what does it, on a copy."""
    yield "a tick passes", lambda x: _tick(x, b)
    for n, c in w.claims.items():
        if w.asks[n]:
            yield f"{n} asks", lambda x, n=n: _ask(x, n)
        if w.backs and c.round and (not b.backers or n in b.backers):
            yield f"{n} gives back", lambda x, n=n: _back(x, n)
        if w.reborn and c.round:
            yield f"{n} starts anew", lambda x, n=n: _reborn(x, n, b, made)
    for n in w.voters:
        if w.restarts:
            yield f"voter {n} restarts", lambda x, n=n: _restart(x, n, made)
    for n in w.rereads:
        if w.rereads[n]:
            yield f"{n} rereads its file", lambda x, n=n: _reread(x, n, b)
    if w.tells:
        for n in (v for v in w.voters if v in w.rereads):
            for m in (*w.claims, *w.voters):
                if m != n:
                    yield f"{m} hears from which version on {n} answers", lambda x, n=n, m=m: _tell(x, n, m)
    for m in w.sent:
        source, to, item = m
        yield f"{to} gets {_words(item)} from {source}", lambda x, m=m: _deliver(x, m)


def _words(item: object) -> str:
    if isinstance(item, VoteRequest):
        return f"Ask(round {item.round}, token {item.token})"
    if isinstance(item, VoteGranted):
        return f"Grant(round {item.round}, token {item.token})"
    return type(item).__name__


def _tick(w: World, b: Bounds) -> None:
    w.now = {n: at + TICK.get(b.clocks.get(n, "true"), 0) for n, at in w.now.items()}


def _send(w: World, source: str, to: str, item: object) -> None:
    w.sent = w.sent | {(source, to, item)}


def _ask(w: World, n: str) -> None:
    c, now = w.own_claim(n), w.now[n]
    w.asks = w.asks | {n: w.asks[n] - 1}
    ask = c.start_round(now)
    if ask is not None:
        for v in c.electorate.voters:
            _send(w, n, v, ask)


def _back(w: World, n: str) -> None:
    c = w.own_claim(n)
    w.backs -= 1
    back = c.release()
    for v in c.electorate.voters:
        _send(w, n, v, back)


def _reborn(w: World, n: str, b: Bounds, made: Made) -> None:
    w.reborn -= 1
    old = w.claims[n]
    fresh = made.claim(
        LEASE,
        old.instance_id if made.same_run else old.instance_id + 10,
        b.term,
        DRIFT,
        _copy_electorate(old.electorate),
    )
    fresh.observe_token(w.top[0] if not made.same_run else old.highest_token - 1)
    w.claims = w.claims | {n: fresh}


def _restart(w: World, n: str, made: Made) -> None:
    w.restarts -= 1
    old = w.voters[n]
    fresh = _copy_electorate(old.electorate)
    fresh.oldest_accepted_by.clear()
    w.voters = w.voters | {n: made.voter(fresh, w.now[n], old.base_token + made.base)}


def _reread(w: World, n: str, b: Bounds) -> None:
    w.rereads = w.rereads | {n: w.rereads[n] - 1}
    e = w.own_voter(n).electorate if n in w.voters else w.own_claim(n).electorate
    with contextlib.suppress(VoterSetError):
        e.adopt(w.now[n], e.version + 1, {v: s for v, s in b.sets.items() if v <= e.version + 1})


def _tell(w: World, n: str, m: str) -> None:
    w.tells -= 1
    e = w.own_claim(m).electorate if m in w.claims else w.own_voter(m).electorate
    e.observe(w.now[m], n, w.voters[n].electorate.oldest_accepted(w.now[n]))


def _deliver(w: World, message: tuple) -> None:
    source, to, item = message
    now = w.now[to]
    if to in w.claims:
        c = w.own_claim(to)
        c.record_vote(now, source, item)
        return
    voter = w.own_voter(to)
    if isinstance(item, ReleaseLease):
        voter.release(item)
        return
    answer = voter.vote(now, source, item)
    if isinstance(answer, VoteGranted):  # refusals only tell of tokens, which `floors` does here
        _send(w, to, source, answer)


def explore(b: Bounds, made: Made | None = None, most: int = 1_000_000) -> Found:
    """Walk a world, nearest states first, until a failure or `most` states."""
    made = made or Made()
    first = World(b, made)
    seen = {hash(first.key()): (None, "")}
    queue = deque([first])
    found = Found(1, 0)
    while queue:
        w = queue.popleft()
        at = hash(w.key())
        for text, do in _steps(w, b, made):
            nxt = w.copy()
            do(nxt)
            found.steps += 1
            fault = nxt.fault()
            key = hash(nxt.key())
            if key in seen and not fault:
                continue
            seen[key] = (at, text)
            found.states += 1
            found.held += nxt.top != (0, 0)
            if fault:
                found.fault, found.trace = fault, _trace(seen, key)
                return found
            if len(seen) >= most:
                found.whole = False
                return found
            queue.append(nxt)
    return found


def _trace(seen: dict, key: tuple) -> list[str]:
    lines = []
    while key is not None:
        key, text = seen[key]
        lines.append(text)
    return lines[-2::-1]
