"""The leader's registry of brokers: which ones are registered and removed, and when none is removed."""

import pytest

from cypressledge.config import ConfigError
from cypressledge.controlplane.applied_versions import AppliedVersions
from cypressledge.controlplane.broker_registry import (
    DISPLACEABLE_AFTER_US,
    MAX_REGISTRATIONS,
    OBSERVATION_INTERVAL_US,
    RETRY_INTERVAL_US,
    BrokerRegistry,
)
from cypressledge.controlplane.messages import MAX_OPS_PER_CHANGE, AppliedReport, Op
from cypressledge.controlplane.settings import read_control_settings
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import validate_change
from cypressledge.controlplane.state_values import Broker, encode_value

SECOND_US = 1_000_000
EXPIRE_AFTER = 3_600 * SECOND_US


def at(name: str, address: str) -> Op:
    return Op(f"broker/{name}", encode_value(Broker(address)))


class RegistryHarness:
    """A registry, the state after its changes, and the connected brokers.

    `connected` is None while a control process can't be reached.
    """

    def __init__(self, expire_after: int = EXPIRE_AFTER, **brokers: str) -> None:
        self.registry, self.state, self.now = BrokerRegistry(expire_after), FleetState("line"), 0
        self.connected: set[str] | None = set()
        self.apply([at(name, address) for name, address in brokers.items()] + [Op("engine/e", b"\x80")])

    def apply(self, ops: list[Op]) -> None:
        self.state.apply(self.state.draft_change(1, ops))

    def step(self, *ops: Op, after: int = 0) -> tuple[list[str], list[str]]:
        """Advance the time, and use the registry as `leader_reports.py` does.

        Returns the keys set ("+") and removed ("-"), and why registrations were rejected.
        """
        registry = self.registry
        self.now += after
        registry.request(ops)
        ops = registry.take_unsent(self.now, self.state)
        if not ops and not registry.is_observation_due(self.now):
            return [], []
        registry.observe(self.now, self.state, self.connected, ops)
        registry.mark_sent(self.now, ops)
        change, rejections = registry.resolve(self.now, self.state, ops)
        changed_keys = []
        for part in (change, registry.expired(self.now, self.state)):
            if part:
                validate_change(self.state, part)
                self.apply(part)
                changed_keys += [("+" if op.value else "-") + op.key.partition("/")[2] for op in part]
        return changed_keys, rejections

    def run_for(self, span: int) -> list[str]:
        """Run one step per second over a span; return all keys set and removed."""
        return [word for _ in range(span // SECOND_US) for word in self.step(after=SECOND_US)[0]]

    @property
    def names(self) -> set[str]:
        return {key[7:] for key in self.state.entries if key.startswith("broker/")}


def test_brokers_absent_for_long_are_removed():
    harness = RegistryHarness(a="h:1", b="h:2", c="h:3")
    harness.connected = {"c"}
    assert harness.run_for(EXPIRE_AFTER - SECOND_US) == []
    harness.connected = {"b", "c"}  # b is connected for a moment
    harness.step(after=SECOND_US)
    harness.connected = {"c"}
    before = harness.state.version
    assert harness.run_for(5 * SECOND_US) == ["-a"]
    assert harness.state.version == before + 1
    assert harness.run_for(EXPIRE_AFTER - 10 * SECOND_US) == []
    assert harness.run_for(10 * SECOND_US) == ["-b"]
    assert harness.names == {"c"}
    assert "engine/e" in harness.state.entries
    assert harness.step(at("a", "h:1")) == (["+a"], [])  # it connects again


def test_expired_brokers_are_removed_in_at_most_one_change_per_second():
    harness = RegistryHarness(
        expire_after=10 * SECOND_US, **{f"b{i}": f"h:{i + 1}" for i in range(MAX_OPS_PER_CHANGE - 1)}
    )
    harness.apply([at(f"x{i}", f"x:{i + 1}") for i in range(9)])
    harness.run_for(10 * SECOND_US)
    changed_keys = harness.step(after=SECOND_US)[0]
    assert len(changed_keys) == MAX_OPS_PER_CHANGE
    assert len(harness.names) == 8
    # A registration is not delayed by the removals.
    assert harness.step(at("new", "y:1"), after=RETRY_INTERVAL_US // 2) == (["+new"], [])
    assert len(harness.names) == 9
    harness.connected = {"new"}
    harness.step(after=OBSERVATION_INTERVAL_US)
    assert harness.names == {"new"}


def test_no_broker_is_removed_while_a_control_process_is_unreachable():
    harness = RegistryHarness(a="h:1")
    assert harness.run_for(EXPIRE_AFTER - 10 * SECOND_US) == []
    harness.connected = None
    assert harness.run_for(3 * EXPIRE_AFTER) == []
    harness.connected = set()  # it can be reached again; its brokers may not have reconnected yet
    assert harness.run_for(EXPIRE_AFTER - 10 * SECOND_US) == []
    assert harness.run_for(12 * SECOND_US) == ["-a"]


def test_absences_start_anew_after_a_leader_change_or_a_pause():
    harness = RegistryHarness(a="h:1")
    harness.run_for(EXPIRE_AFTER - 10 * SECOND_US)
    harness.registry.clear()
    assert harness.run_for(EXPIRE_AFTER - 10 * SECOND_US) == []
    assert harness.step(after=2 * EXPIRE_AFTER) == ([], [])
    assert harness.run_for(EXPIRE_AFTER - 10 * SECOND_US) == []
    assert harness.run_for(12 * SECOND_US) == ["-a"]
    never = RegistryHarness(expire_after=0, a="h:1")
    assert never.run_for(2 * EXPIRE_AFTER) == []


def test_address_of_an_absent_broker_is_taken_over_in_one_change():
    harness = RegistryHarness(old="h:1", other="h:2")
    harness.connected = {"other"}
    # It may only be switching to another control process.
    changed_keys, rejections = harness.step(at("new", "h:1"), after=SECOND_US)
    assert changed_keys == []
    assert rejections == ["broker/new is at the address of broker/old"]
    harness.run_for(DISPLACEABLE_AFTER_US - 2 * SECOND_US)
    assert harness.step(at("new", "h:1"), after=SECOND_US)[0] == []
    before = harness.state.version
    assert harness.step(at("new", "h:1"), after=SECOND_US) == (["-old", "+new"], [])
    assert harness.state.version == before + 1
    assert harness.names == {"new", "other"}


@pytest.mark.parametrize("connected", [{"old"}, None])
def test_address_of_a_possibly_connected_broker_is_not_taken_over(connected):
    harness = RegistryHarness(old="h:1")
    harness.connected = connected
    for _ in range(100):
        changed_keys, rejections = harness.step(at("new", "h:1"), after=SECOND_US)
        assert changed_keys == []
        assert rejections == ["broker/new is at the address of broker/old"]
    harness.connected = set()  # the absence of the old broker is known only from now on
    assert harness.step(at("new", "h:1"), after=SECOND_US)[0] == []


def test_broker_that_requests_registration_counts_as_present():
    """Its registration may arrive before the report that it is connected."""
    harness = RegistryHarness(old="h:1")
    harness.run_for(20 * SECOND_US)
    changed_keys, rejections = harness.step(at("new", "h:1"), at("old", "h:9"), after=SECOND_US)
    assert (changed_keys, rejections) == (["+new", "+old"], [])  # "old" frees its address by moving
    assert harness.names == {"new", "old"}
    harness = RegistryHarness(old="h:1")
    harness.run_for(EXPIRE_AFTER - SECOND_US)
    changed_keys, rejections = harness.step(
        at("new", "h:1"), at("old", "h:9"), at("bad", "nowhere"), after=3 * SECOND_US
    )
    assert changed_keys == ["+old"]
    assert len(rejections) == 2
    harness.connected = {"old"}
    assert harness.step(at("new", "h:1"), after=SECOND_US) == (["+new"], [])


def test_brokers_at_one_address_do_not_block_other_registrations():
    harness = RegistryHarness(held="h:1", gone="h:2")
    harness.connected = {"held"}
    harness.run_for(20 * SECOND_US)
    many = [at(f"b{i}", f"x:{i + 1}") for i in range(20)]
    changed_keys, rejections = harness.step(
        at("n1", "h:1"),
        at("n2", "h:2"),
        at("n3", "h:2"),
        at("bad", "nowhere"),
        *many,
        at("n4", "x:1"),
        after=SECOND_US,
    )
    assert changed_keys == ["-gone", "+n2", *(f"+b{i}" for i in range(20))]
    assert rejections[:2] == [
        "broker/n1 is at the address of broker/held",
        "broker/n3 is at the address of broker/n2",
    ]
    assert rejections[2].startswith("broker/bad: ")
    assert rejections[3:] == ["broker/n4 is at the address of broker/b0"]


def test_registration_is_resent_once_a_second_until_it_is_in_the_state():
    registry, op = BrokerRegistry(EXPIRE_AFTER), at("a", "h:1")
    state = FleetState("line")

    def taken(now: int, *ops: Op) -> int:
        registry.request(ops)
        got = registry.take_unsent(now, state)
        registry.mark_sent(now, got)
        return len(got)

    assert [
        taken(now, op) for now in (0, RETRY_INTERVAL_US - 1, RETRY_INTERVAL_US, RETRY_INTERVAL_US + 1)
    ] == [1, 0, 1, 0]
    assert taken(RETRY_INTERVAL_US + 2, at("a", "h:2")) == 1  # another address
    registry.resend_all()
    assert taken(RETRY_INTERVAL_US + 3, at("a", "h:2")) == 1
    state.apply(state.draft_change(1, [op]))
    assert taken(5 * RETRY_INTERVAL_US, op, Op("engine/e", b""), Op("broker/x")) == 0
    for number in range(3):
        assert (
            taken((9 + number) * RETRY_INTERVAL_US, *(at(f"b{number}-{i}", "h:1") for i in range(2_000)))
            == MAX_REGISTRATIONS
        )
    assert len(registry.sent) == MAX_REGISTRATIONS  # only those of the last second


def test_connected_brokers_are_known_only_after_all_control_processes_reported():
    table, servers = AppliedVersions(), ["c1", "c2"]
    table.report(1, "c1", AppliedReport(True, [("a", 1, 1)]))
    assert table.connected(servers, servers) is None
    table.report(1, "c2", AppliedReport(True, [("b", 1, 1)]))
    assert table.connected(servers, servers) == {"a", "b"}
    assert table.connected(servers, ["c1"]) is None
    table.drop("c2")
    assert table.connected(servers, servers) is None


def test_forget_s_is_read_from_the_settings_file(tmp_path):
    assert read_control_settings("deploy/control.yaml").forget_s == 3_600
    file = tmp_path / "control.yaml"
    with open("deploy/control.yaml", encoding="utf-8") as good:
        lines = [line for line in good if not line.startswith("forget_s")]
    file.write_text("".join(lines))
    assert read_control_settings(str(file)).forget_s == 3_600
    file.write_text("".join([*lines, "forget_s: -1\n"]))
    with pytest.raises(ConfigError, match="forget_s"):
        read_control_settings(str(file))
