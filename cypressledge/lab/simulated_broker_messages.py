"""What a capacity run and a process of simulated brokers send each other, as JSON lines."""

import msgspec


class MembersSettings(msgspec.Struct, frozen=True):
    """How simulated brokers are members of a fleet: their ping interval, voters and leases."""

    ping_s: float
    term_s: float
    voters: list[str]
    leases: list[str]


class StartCommand(msgspec.Struct, frozen=True, tag_field="do", tag="start"):
    """Starts one broker. `settings`, `record`: files; `address`: of its fleet socket."""

    broker: str
    zone: str
    region: str
    address: str
    settings: str
    record: str
    members: MembersSettings | None = None


class KillCommand(msgspec.Struct, frozen=True, tag_field="do", tag="kill"):
    """Ends one broker without a word to anyone."""

    broker: str


class CutCommand(msgspec.Struct, frozen=True, tag_field="do", tag="cut"):
    """Lets nothing pass between members in different regions."""


class HealCommand(msgspec.Struct, frozen=True, tag_field="do", tag="heal"):
    """Lets everything pass between members again."""


Command = StartCommand | KillCommand | CutCommand | HealCommand


class BrokerStarted(msgspec.Struct, frozen=True, tag_field="event", tag="started"):
    """A broker was started at `at`, µs; `run`: its instance id."""

    broker: str
    run: int
    at: int


class BrokerKilled(msgspec.Struct, frozen=True, tag_field="event", tag="killed"):
    """A broker was killed at `at`, µs; `run`: its instance id."""

    broker: str
    run: int
    at: int


class MembersFigures(msgspec.Struct, frozen=True, array_like=True):
    """The fewest members that any broker of the process has for alive, and the leases held in it."""

    fewest_alive: int
    leases_held: int


class ProcessFigures(msgspec.Struct, frozen=True, tag_field="event", tag="figures"):
    """What a process has done by `at`, µs. `late`: the most that it has lately woken up late, s."""

    at: int
    brokers: int
    counts: dict[str, int]
    members: MembersFigures
    bytes: int
    late: float


Report = BrokerStarted | BrokerKilled | ProcessFigures
