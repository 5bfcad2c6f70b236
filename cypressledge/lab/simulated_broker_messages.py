"""The messages between a capacity run and a process of simulated brokers, sent as JSON lines."""

import msgspec


class MembersSettings(msgspec.Struct, frozen=True):
    """Fleet settings of simulated brokers: ping interval, lease term, voters and leases."""

    ping_s: float
    term_s: float
    voters: list[str]
    leases: list[str]


class StartCommand(msgspec.Struct, frozen=True, tag_field="do", tag="start"):
    """Starts one broker. `settings`, `record`: file paths; `address`: address of its fleet socket."""

    broker: str
    zone: str
    region: str
    address: str
    settings: str
    record: str
    members: MembersSettings | None = None


class KillCommand(msgspec.Struct, frozen=True, tag_field="do", tag="kill"):
    """Kills one broker, which notifies neither its peers nor the control plane."""

    broker: str


class CutCommand(msgspec.Struct, frozen=True, tag_field="do", tag="cut"):
    """Drops all datagrams between members in different regions."""


class HealCommand(msgspec.Struct, frozen=True, tag_field="do", tag="heal"):
    """Ends a cut: datagrams pass between all members again."""


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
    """The smallest number of members that a broker of the process considers alive, and its leases.

    `leases_held`: number of leases that all brokers of the process hold together.
    """

    fewest_alive: int
    leases_held: int


class ProcessFigures(msgspec.Struct, frozen=True, tag_field="event", tag="figures"):
    """A process's totals at `at` (µs). `late`: its longest wake-up delay since the previous report, s."""

    at: int
    brokers: int
    counts: dict[str, int]
    members: MembersFigures
    bytes: int
    late: float


Report = BrokerStarted | BrokerKilled | ProcessFigures
