"""Where brokers are, as the primary keeps it: who is registered, who is taken out, and when nobody is."""

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

S = 1_000_000  # µs
FORGET = 3_600 * S


def at(name: str, place: str) -> Op:
    return Op(f"broker/{name}", encode_value(Broker(place)))


class Primary:
    """A registry, the state that its changes become, and who is connected (none: not all can be seen)."""

    def __init__(self, forget: int = FORGET, **brokers: str) -> None:
        self.registry, self.state, self.now = BrokerRegistry(forget), FleetState("line"), 0
        self.connected: set[str] | None = set()
        self.take([at(name, place) for name, place in brokers.items()] + [Op("engine/e", b"\x80")])

    def take(self, ops: list[Op]) -> None:
        self.state.apply(self.state.draft_change(1, ops))

    def turn(self, *ops: Op, after: int = 0) -> tuple[list[str], list[str]]:
        """As `leader_reports.py` does it, so long later: keys set or removed, and why some are not."""
        registry = self.registry
        self.now += after
        registry.request(ops)
        ops = registry.take_unsent(self.now, self.state)
        if not ops and not registry.is_observation_due(self.now):
            return [], []
        registry.observe(self.now, self.state, self.connected, ops)
        registry.mark_sent(self.now, ops)
        change, refused = registry.resolve(self.now, self.state, ops)
        told = []
        for part in (change, registry.expired(self.now, self.state)):
            if part:
                validate_change(self.state, part)
                self.take(part)
                told += [("+" if op.value else "-") + op.key.partition("/")[2] for op in part]
        return told, refused

    def rest(self, span: int) -> list[str]:
        """Turns, one a second, over a span: all that they change."""
        return [word for _ in range(span // S) for word in self.turn(after=S)[0]]

    @property
    def names(self) -> set[str]:
        return {key[7:] for key in self.state.entries if key.startswith("broker/")}


def test_who_is_connected_nowhere_for_long_leaves_in_one_change():
    p = Primary(a="h:1", b="h:2", c="h:3")
    p.connected = {"c"}
    assert p.rest(FORGET - S) == []
    p.connected = {"b", "c"}  # b comes back for a moment
    p.turn(after=S)
    p.connected = {"c"}
    before = p.state.version
    assert p.rest(5 * S) == ["-a"]
    assert p.state.version == before + 1
    assert p.rest(FORGET - 10 * S) == []
    assert p.rest(10 * S) == ["-b"]
    assert p.names == {"c"}
    assert "engine/e" in p.state.entries
    assert p.turn(at("a", "h:1")) == (["+a"], [])  # it comes back


def test_all_who_are_due_leave_together_and_no_more_than_a_change_a_second():
    p = Primary(forget=10 * S, **{f"b{i}": f"h:{i + 1}" for i in range(MAX_OPS_PER_CHANGE - 1)})
    p.take([at(f"x{i}", f"x:{i + 1}") for i in range(9)])
    p.rest(10 * S)
    told = p.turn(after=S)[0]
    assert len(told) == MAX_OPS_PER_CHANGE
    assert len(p.names) == 8
    assert p.turn(at("new", "y:1"), after=RETRY_INTERVAL_US // 2) == (
        ["+new"],
        [],
    )  # a registration doesn't wait
    assert len(p.names) == 9
    p.connected = {"new"}
    p.turn(after=OBSERVATION_INTERVAL_US)
    assert p.names == {"new"}


def test_nobody_leaves_while_a_control_process_is_out_of_sight():
    p = Primary(a="h:1")
    assert p.rest(FORGET - 10 * S) == []
    p.connected = None
    assert p.rest(3 * FORGET) == []
    p.connected = set()  # it is back; its brokers may not be yet
    assert p.rest(FORGET - 10 * S) == []
    assert p.rest(12 * S) == ["-a"]


def test_a_new_primary_and_one_that_stood_still_know_no_absence():
    p = Primary(a="h:1")
    p.rest(FORGET - 10 * S)
    p.registry.clear()
    assert p.rest(FORGET - 10 * S) == []
    assert p.turn(after=2 * FORGET) == ([], [])
    assert p.rest(FORGET - 10 * S) == []
    assert p.rest(12 * S) == ["-a"]
    never = Primary(forget=0, a="h:1")
    assert never.rest(2 * FORGET) == []


def test_the_address_of_one_that_is_gone_is_taken_over_in_one_change():
    p = Primary(old="h:1", other="h:2")
    p.connected = {"other"}
    told, refused = p.turn(at("new", "h:1"), after=S)  # it may only be on its way to another control process
    assert told == []
    assert refused == ["broker/new is at the address of broker/old"]
    p.rest(DISPLACEABLE_AFTER_US - 2 * S)
    assert p.turn(at("new", "h:1"), after=S)[0] == []
    before = p.state.version
    assert p.turn(at("new", "h:1"), after=S) == (["-old", "+new"], [])
    assert p.state.version == before + 1
    assert p.names == {"new", "other"}


@pytest.mark.parametrize("connected", [{"old"}, None])
def test_the_address_of_one_that_may_be_there_is_not_taken(connected):
    p = Primary(old="h:1")
    p.connected = connected
    for _ in range(100):
        told, refused = p.turn(at("new", "h:1"), after=S)
        assert told == []
        assert refused == ["broker/new is at the address of broker/old"]
    p.connected = set()  # gone, or in sight again, but only now
    assert p.turn(at("new", "h:1"), after=S)[0] == []


def test_one_that_asks_for_its_place_is_there():
    """Its registration may come before the word that it is connected."""
    p = Primary(old="h:1")
    p.rest(20 * S)
    told, refused = p.turn(at("new", "h:1"), at("old", "h:9"), after=S)
    assert (told, refused) == (["+new", "+old"], [])  # it moves, and leaves its place
    assert p.names == {"new", "old"}
    p = Primary(old="h:1")
    p.rest(FORGET - S)
    told, refused = p.turn(at("new", "h:1"), at("old", "h:9"), at("bad", "nowhere"), after=3 * S)
    assert told == ["+old"]
    assert len(refused) == 2
    p.connected = {"old"}
    assert p.turn(at("new", "h:1"), after=S) == (["+new"], [])


def test_brokers_at_one_address_do_not_hold_up_the_others():
    p = Primary(held="h:1", gone="h:2")
    p.connected = {"held"}
    p.rest(20 * S)
    many = [at(f"b{i}", f"x:{i + 1}") for i in range(20)]
    told, refused = p.turn(
        at("n1", "h:1"),
        at("n2", "h:2"),
        at("n3", "h:2"),
        at("bad", "nowhere"),
        *many,
        at("n4", "x:1"),
        after=S,
    )
    assert told == ["-gone", "+n2", *(f"+b{i}" for i in range(20))]
    assert refused[:2] == [
        "broker/n1 is at the address of broker/held",
        "broker/n3 is at the address of broker/n2",
    ]
    assert refused[2].startswith("broker/bad: ")
    assert refused[3:] == ["broker/n4 is at the address of broker/b0"]


def test_a_registration_is_asked_once_a_second_until_it_is_so():
    p, op = BrokerRegistry(FORGET), at("a", "h:1")
    state = FleetState("line")

    def taken(now: int, *ops: Op) -> int:
        p.request(ops)
        got = p.take_unsent(now, state)
        p.mark_sent(now, got)
        return len(got)

    assert [
        taken(now, op) for now in (0, RETRY_INTERVAL_US - 1, RETRY_INTERVAL_US, RETRY_INTERVAL_US + 1)
    ] == [1, 0, 1, 0]
    assert taken(RETRY_INTERVAL_US + 2, at("a", "h:2")) == 1  # another one
    p.resend_all()
    assert taken(RETRY_INTERVAL_US + 3, at("a", "h:2")) == 1
    state.apply(state.draft_change(1, [op]))
    assert taken(5 * RETRY_INTERVAL_US, op, Op("engine/e", b""), Op("broker/x")) == 0
    for n in range(3):
        assert (
            taken((9 + n) * RETRY_INTERVAL_US, *(at(f"b{n}-{i}", "h:1") for i in range(2_000)))
            == MAX_REGISTRATIONS
        )
    assert len(p.sent) == MAX_REGISTRATIONS  # of the last second alone


def test_who_is_connected_is_known_only_where_all_have_spoken():
    table, all = AppliedVersions(), ["c1", "c2"]
    table.report(1, "c1", AppliedReport(True, [("a", 1, 1)]))
    assert table.connected(all, all) is None
    table.report(1, "c2", AppliedReport(True, [("b", 1, 1)]))
    assert table.connected(all, all) == {"a", "b"}
    assert table.connected(all, ["c1"]) is None
    table.drop("c2")
    assert table.connected(all, all) is None


def test_the_time_until_a_broker_is_forgotten_is_a_setting(tmp_path):
    assert read_control_settings("deploy/control.yaml").forget_s == 3_600
    file = tmp_path / "control.yaml"
    with open("deploy/control.yaml", encoding="utf-8") as good:
        lines = [line for line in good if not line.startswith("forget_s")]
    file.write_text("".join(lines))
    assert read_control_settings(str(file)).forget_s == 3_600
    file.write_text("".join([*lines, "forget_s: -1\n"]))
    with pytest.raises(ConfigError, match="forget_s"):
        read_control_settings(str(file))
