"""What a capacity run tells a process of simulated brokers (`simulated_broker.py`)."""

import msgspec


class MembersSettings(msgspec.Struct, frozen=True):
    """How simulated brokers are members of a fleet: their ping interval, voters and leases."""

    ping_s: float
    term_s: float
    voters: list[str]
    leases: list[str]


class StartCommand(msgspec.Struct, frozen=True):
    """The command that starts one broker. `settings`, `record`: files; `address`: of its fleet socket."""

    broker: str
    zone: str
    region: str
    address: str
    settings: str
    record: str
    members: MembersSettings | None = None
