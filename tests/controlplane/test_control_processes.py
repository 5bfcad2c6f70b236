"""Control processes, and brokers that follow them, as processes: changes, a dead primary, nobody there."""

import json
import shutil
import signal
import time

import pytest
import yaml
from gevent import socket

from cypressledge.config import ConfigError
from cypressledge.controlplane.server_selection import Server, order
from cypressledge.controlplane.settings import read_control_settings
from cypressledge.lab.engines import LabEngine
from cypressledge.lab.processes import until
from cypressledge.lab.site import SETTINGS
from tests.fakes.command_line import run
from tests.fakes.control_plane import LEASE_TERM, WAIT, ControlPlane, local_address

ENGINE = {"address": "127.0.0.1:9", "kind": "node-8c", "zone": "room1"}


@pytest.fixture
def plane(request):
    """Three control processes, or as many and of them as many voters as a test asks for."""
    made = ControlPlane(**getattr(request, "param", {}))
    try:
        yield made
    finally:
        made.close()


def version_of(words):
    return int(words.split("taken as version ")[1].split()[0])


def test_a_change_comes_into_force_at_a_broker(plane):
    plane.start()
    engine = LabEngine("s-1", "room1")
    broker = plane.broker("n1")
    assert plane.broker_has_version(broker, 1), plane.log_text()
    port = engine.server.server_port
    code, words = plane.change(
        {
            "engines": {"s-1": ENGINE | {"address": f"127.0.0.1:{port}"}},
            "config": {"Customers": [{"Name": "sahel"}, {"Name": "dune"}]},
        }
    )
    assert code == 0, words + plane.log_text()
    assert "in force at 1 of 1 brokers" in words
    told = broker.status()
    assert (told["version"], told["refused"], told["engines_from_here"]) == (version_of(words), "", True)
    assert told["digest"] == plane.controls[plane.leader()].status()["digest"]
    assert broker.serves(), broker.log_text()
    assert broker.counter("reloads") == 2  # the seed's settings, and the change's
    engine.server.stop()


MANY = {
    f"node-{n:04d}.cluster": ENGINE
    | {"address": f"10.0.{n // 250}.{n % 250}:8123", "born_ms": 1_790_000_000_000 + 977 * n}
    for n in range(1_500)
}


@pytest.mark.parametrize("plane", [{"seed": {"config": SETTINGS, "engines": MANY}}], indirect=True)
def test_a_large_state_reaches_everybody(plane):
    """Its first change takes more than any first frame may, towards a voter and towards a broker."""
    plane.start()
    broker = plane.broker("n1")
    assert plane.broker_has_version(broker, 1), plane.log_text()
    code, words = plane.change({"engines": {name: None for name in list(MANY)[:700]}})
    assert code == 0, words + plane.log_text()
    assert "in force at 1 of 1 brokers" in words, words + plane.log_text()
    digest = plane.controls[plane.leader()].status()["digest"]
    assert until(lambda: all(c.status()["digest"] == digest for c in plane.controls.values()), WAIT)
    assert broker.counter("ready_engines") == len(MANY) - 700


def test_a_change_that_is_refused_changes_nothing(plane):
    plane.start()
    before = plane.controls[plane.leader()].status()["version"]
    code, words = plane.change({"config": {"Classes": []}})
    assert code == 2
    assert "refused: bad: config:" in words
    code, words = plane.change({"engines": {"s-1": ENGINE, "s-2": ENGINE}})
    assert code == 2
    assert "at the address of" in words
    code, words = plane.change({"engines": {"s-1": ENGINE}}, "--dry-run")
    assert (code, words) == (0, f"would be version {before + 1}: 1 keys\n")
    assert plane.controls[plane.leader()].status()["version"] == before
    assert plane.change({"engines": {"s-1": ENGINE}}, "--against", str(before))[0] == 0
    code, words = plane.change({"engines": {"s-1": ENGINE | {"zone": "x"}}}, "--against", str(before))
    assert code == 2
    assert "refused: clash: changed meanwhile: engine/s-1" in words


def test_other_classes_are_not_for_brokers_that_run(plane):
    """A broker whose file has others says that it refuses; a change to others is refused before that."""
    plane.start()
    code, words = plane.change({"config": {"Classes": SETTINGS["Classes"][:2]}})
    assert code == 2, words
    assert "brokers take other classes only at a restart" in words, words
    broker = plane.broker("n1", settings={"Classes": SETTINGS["Classes"][:1]})
    assert plane.broker_has_version(broker, 1), plane.log_text()
    assert until(lambda: broker.status()["refused"] == "other classes need a restart", WAIT), broker.status()
    assert (broker.counter("control.settings_rejected"), broker.counter("reload_failures")) == (1, 1)


def test_a_broker_that_refuses_is_named_and_does_not_count(plane):
    plane.start()
    good, bad = plane.broker("n1"), plane.broker("n2", settings={"Classes": SETTINGS["Classes"][:1]})
    assert plane.broker_has_version(good, 1), plane.log_text()
    assert plane.broker_has_version(bad, 1), plane.log_text()
    code, words = plane.change({"engines": {"s-1": ENGINE}})  # its settings are still the older ones
    assert code == 1, words + plane.log_text()
    assert "in force at 1 of 2 brokers" in words, words + plane.log_text()
    assert "refused by: n2: other classes need a restart" in words, words
    code, words, _ = run("control", "lag", *plane.at_options())
    assert code == 1, words
    assert "refused by: n2: other classes need a restart" in words, words
    assert plane.change({"config": {name: None for name in SETTINGS}})[0] == 0, plane.log_text()


def test_a_reload_keeps_what_came_from_the_control_plane(plane):
    plane.start()
    engine, other = LabEngine("s-1", "room1"), LabEngine("s-2", "room1")
    broker = plane.broker("n1", [other.member()])
    code, words = plane.change(
        {"engines": {"s-1": ENGINE | {"address": f"127.0.0.1:{engine.server.server_port}"}}}
    )
    assert code == 0, words + plane.log_text()
    assert broker.serves()
    before = other.asked
    broker.process.send_signal(signal.SIGHUP)
    assert until(lambda: "reload: the new configuration is in force" in broker.log_text(), WAIT)
    assert broker.serves(20)
    assert (other.asked, broker.status()["sections"]) == (before, sorted(SETTINGS))
    engine.server.stop()
    other.server.stop()


@pytest.mark.parametrize("fault", ["kill-after:append:1", "kill-before:append:1", "stop-before:append:2"])
def test_a_primary_that_fails_amid_a_change_loses_none(plane, fault):
    """A change is on one disk alone, or on two. Whatever of it had left: what was acknowledged stays, and a
    repeat comes into force once."""
    first = plane.start(fault)
    struck = plane.controls[first]
    engines = [{f"s-{n}": ENGINE | {"address": f"127.0.0.1:{n + 1}"}} for n in range(3)]
    changes = {f"r{n}": {"engines": engine} for n, engine in enumerate(engines)}
    for request, what in changes.items():
        code, words = plane.change(what, "--request", request)
        assert code == 0, words + plane.log_text()
    killed = fault.startswith("kill")
    assert struck.process.poll() == (-signal.SIGKILL if killed else None), plane.log_text()
    if killed:
        struck.start()
    else:
        struck.process.send_signal(signal.SIGCONT)
    newest = plane.controls[plane.leader(first)].status()
    assert until(lambda: struck.status().get("digest") == newest["digest"], WAIT), plane.log_text()
    for request, what in changes.items():
        assert plane.change(what, "--request", request)[0] == 0, plane.log_text()
    for told in plane.records("acknowledged"):
        again = {r["version"] for r in plane.records("acknowledged") if r["request"] == told["request"]}
        assert again == {told["version"]}
    assert plane.controls[plane.leader()].status()["version"] == newest["version"]
    code, words, _ = run("control", "state", *plane.at_options(), "--prefix", "engine/")
    assert [f"engine/s-{n}" in words for n in range(3)] == [True] * 3


def test_another_takes_over_from_a_killed_primary(plane):
    first = plane.start()
    broker = plane.broker("n1")
    code, words = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one")
    assert code == 0, words + plane.log_text()
    plane.controls[first].kill()
    killed = time.monotonic()
    second = plane.leader(first, timeout_s=8)
    assert time.monotonic() - killed < 8
    code, again = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one")
    assert (code, version_of(again)) == (0, version_of(words)), again + plane.log_text()
    code, more = plane.change({"engines": {"s-2": ENGINE | {"address": "127.0.0.1:8"}}})
    assert code == 0, more + plane.log_text()
    assert "in force at 1 of 1 brokers" in more, more + plane.log_text()
    assert version_of(more) > version_of(words)
    assert broker.status()["digest"] == plane.controls[second].status()["digest"]
    plane.controls[first].start()  # its disk is there: no flag
    assert until(lambda: plane.controls[first].status().get("version", 0) >= version_of(more), WAIT)


def test_a_stopped_primary_gives_the_lease_back(plane):
    first = plane.start()
    asked = time.monotonic()
    assert plane.controls[first].terminate(WAIT) == 0
    assert time.monotonic() - asked < 2
    began = time.monotonic()
    plane.leader(first)
    assert time.monotonic() - began < LEASE_TERM
    assert "counters (exit)" in plane.controls[first].log_text()


def test_a_broker_serves_with_no_control_process(plane):
    engine = LabEngine("s-1", "room1")
    broker = plane.broker("n1", [engine.member()])  # nobody is there yet
    assert broker.serves(), broker.log_text()
    told = broker.status()
    assert (told["version"], told["engines_from_here"]) == (0, False)
    plane.start()
    assert plane.broker_has_version(broker, 1), plane.log_text()
    for control in plane.controls.values():
        control.kill()
    assert until(lambda: broker.status()["stale_ms"] > 2_000, WAIT, 0.1)
    assert broker.status()["version"] == 1
    assert broker.serves(), broker.log_text()
    engine.server.stop()


def test_a_lost_answer_is_had_again_under_the_same_request(plane):
    first = plane.start("kill-before-answer:1")
    code, words = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one", "--wait", "0.5")
    assert code == 1, words + plane.log_text()
    assert "repeat it with --request one" in words, words + plane.log_text()
    assert plane.controls[first].process.wait(WAIT) == -signal.SIGKILL
    before = {r["version"] for r in plane.records("committed")}
    code, words = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one")
    assert code == 0, words + plane.log_text()
    assert version_of(words) in before, words + plane.log_text()
    primary = plane.controls[plane.leader(first)]
    code, told, _ = run("control", "history", "--at", plane.servers[primary.name]["management"], "--json")
    assert code == 0
    assert told.count('"request": "one"') == 1


def test_a_full_disk_ends_a_primary_and_no_change_is_lost(plane):
    for name, control in plane.controls.items():
        control.start("--first", str(plane.seed_file), fault="disk-full:append:3" if name == "c1" else "")
    plane.leader()
    servers = [Server(name, "") for name in plane.controls]
    name = next(n for n in map(str, range(100)) if order(n, "", "", servers)[0].name == "c1")
    broker = plane.broker(name)  # it follows the one whose disk will be full
    assert plane.broker_has_version(broker, 1), plane.log_text()
    assert broker.status()["server"] == "c1", plane.log_text()
    for number in range(4):
        engine = ENGINE | {"address": f"127.0.0.1:{number + 1}"}
        code, words = plane.change({"engines": {f"s-{number}": engine}})
        assert code == 0, words + plane.log_text()
        assert "in force at 1 of 1 brokers" in words, words + plane.log_text()
    assert plane.controls["c1"].logged("disk_error")
    assert broker.status()["server"] != "c1"
    primary = plane.controls[plane.leader("c1")]
    code, told, _ = run(
        "control", "state", "--at", plane.servers[primary.name]["management"], "--prefix", "engine/"
    )
    assert [f"engine/s-{n}" in told for n in range(4)] == [True] * 4


@pytest.mark.parametrize("plane", [{"count": 4, "voters": 3}], indirect=True)
def test_one_that_does_not_vote_hands_the_history_on(plane):
    plane.start()
    others = [c for c in plane.controls.values() if c.name != "c4"]
    learner = plane.controls["c4"]
    assert until(lambda: learner.status().get("version") == 1, WAIT), plane.log_text()
    assert learner.status()["role"] == "learner"
    told = yaml.safe_load(plane.file.read_text())
    told["servers"] = [s for s in told["servers"] if s["name"] == "c4"] + [
        s | {"address": local_address(), "votes": True} for s in told["servers"] if s["name"] != "c4"
    ]
    plane.file.write_text(yaml.safe_dump(told))  # to the broker the others are out of reach
    broker = plane.broker("n1")
    assert plane.broker_has_version(broker, 1), plane.log_text()
    assert broker.status()["server"] == "c4"
    code, words = plane.change({"engines": {"s-1": ENGINE}})
    assert code == 0, words
    assert "in force at 2 of 2 brokers" in words, words
    assert [c.process.poll() for c in others] == [None] * 3


def test_a_broker_under_a_new_address_needs_no_file_change(plane):
    places = {n: local_address(socket.SOCK_DGRAM) for n in ("n0", "n1", "n2")}

    def fleet(places):
        return {
            "peers": [{"name": n, "address": a, "zone": "room1"} for n, a in places.items()],
            "voters": [{"version": 1, "names": list(places)}],
            "term_s": LEASE_TERM,
            "ping_s": 0.2,
        }

    plane.start()
    for name in places:
        plane.broker(name, fleet=fleet(places))

    def registered():
        code, told, _ = run("control", "state", *plane.at_options(), "--prefix", "broker/")
        return all(f'"{place}"' in told for place in places.values())

    def sees(viewer, seen):
        peers = {p["name"]: p["state"] for p in plane.brokers[viewer].show("/fleet/peers") or ()}
        return peers.get(seen) == "alive"

    assert until(registered, WAIT), plane.log_text()
    assert until(lambda: sees("n0", "n1") and sees("n1", "n0"), WAIT)
    plane.brokers["n1"].kill()
    assert until(lambda: not sees("n0", "n1"), WAIT)
    places["n1"] = local_address(socket.SOCK_DGRAM)
    plane.broker("n1", fleet=fleet(places))  # its own file alone says so
    assert until(registered, WAIT), plane.log_text()

    def lost():
        return not all(sees(n, "n1") and sees("n1", n) for n in ("n0", "n2"))

    # And it stays so, for ten pings: they hear its answers, and not only its word.
    assert until(lambda: not until(lost, 2.0), WAIT), plane.log_text()


PLACES = {n: local_address(socket.SOCK_DGRAM) for n in ("n0", "n1", "n2")}
GONE = {n: {"address": PLACES[of], "zone": "room1"} for n, of in (("old", "n1"), ("older", "n2"))}


@pytest.mark.parametrize(
    "plane", [{"seed": {"config": SETTINGS, "brokers": GONE}, "forget_s": 20}], indirect=True
)
def test_a_machine_under_a_new_name_takes_the_place_of_a_dead_one(plane):
    """And after its time another dead one goes, too."""
    plane.start()
    peers = [{"name": n, "address": a, "zone": "room1"} for n, a in PLACES.items()]
    plane.broker(
        "n1", fleet={"peers": peers, "voters": [{"version": 1, "names": list(PLACES)}], "term_s": LEASE_TERM}
    )

    def registered():
        told = json.loads(run("control", "state", *plane.at_options(), "--prefix", "broker/")[1])
        return set(told["entries"])

    assert until(lambda: registered() == {"broker/n1", "broker/older"}, 2 * WAIT, 0.5), plane.log_text()
    changes = json.loads(run("control", "history", *plane.at_options(), "--json")[1])
    assert (changes[-1]["set"], changes[-1]["removed"]) == (["broker/n1"], ["broker/old"])
    assert until(lambda: registered() == {"broker/n1"}, 2 * WAIT, 0.5), plane.log_text()


def test_slow_silent_and_garbled_peers_are_given_up(plane):
    control = plane.controls["c1"]
    control.start("--first", str(plane.seed_file))
    assert until(control.status, WAIT), plane.log_text()
    host, port = plane.servers["c1"]["address"].split(":")

    def ended(raw, pause=None):
        """Seconds until the connection is ended, where a peer says that at once, or a byte at a time."""
        with socket.create_connection((host, int(port)), 2) as sock:
            began = time.monotonic()
            sock.settimeout(0.5 if pause else 10)
            for part in [raw[i : i + 1] for i in range(len(raw))] if pause else [raw]:
                try:
                    sock.sendall(part)
                    if not pause:
                        break
                    if sock.recv(1) == b"":
                        break
                except TimeoutError:
                    continue
                except OSError:
                    break
            try:
                while sock.recv(4096):
                    pass
            except OSError:
                pass
            return time.monotonic() - began

    assert ended(b"\x00\x00\x00\x05abcde") < 2
    assert ended(b"\xff\xff\xff\xff" + bytes(100)) < 2
    assert ended(b"GET / HTTP/1.1\r\n\r\n") < 2
    assert 4 < ended(b"\x00\x00\x00\x40" + bytes(40), pause=0.5) < 8  # Hello has 5 s
    assert control.process.poll() is None


def test_a_lost_disk_needs_a_word_and_comes_back(plane):
    first = plane.start()
    lost = plane.controls[next(n for n in plane.controls if n != first)]
    assert plane.change({"engines": {"s-1": ENGINE}})[0] == 0
    lost.kill()
    shutil.rmtree(lost.store)
    said = len(lost.log_text())
    lost.start()
    assert lost.process.wait(WAIT) == 2
    words = lost.log_text()[said:]
    assert "Start with --rejoin" in words
    assert len(words.splitlines()) == 1
    lost.start("--rejoin")
    assert until(lambda: lost.status().get("version", 0) >= 2 and not lost.status()["joining"], WAIT), words
    assert plane.change({"engines": {"s-2": ENGINE | {"address": "127.0.0.1:8"}}})[0] == 0
    newest = plane.controls[plane.leader()].status()
    assert until(lambda: lost.status()["digest"] == newest["digest"], WAIT), plane.log_text()


def server(number, **more):
    return {
        "name": f"c{number}",
        "address": f"127.0.0.1:{9800 + number}",
        "fleet": f"127.0.0.1:{9810 + number}",
        "management": f"127.0.0.1:{9820 + number}",
    } | more


@pytest.mark.parametrize(
    ("told", "why"),
    [
        ({"servers": [server(1), server(2)]}, "2 control processes vote; 3, 5 or 7 can"),
        ({"servers": [server(n) for n in range(1, 5)]}, "4 control processes vote; 3, 5 or 7 can"),
        ({"servers": [server(n) for n in range(1, 10)]}, "9 control processes; 3 to 8 can be"),
        ({"servers": [server(1), server(2), server(2)]}, "control process c2 is named twice"),
        (
            {"servers": [server(1), server(2), server(3, address="127.0.0.1:9801")]},
            "address 127.0.0.1:9801 is named twice",
        ),
        ({"servers": [server(1), server(2), server(3, fleet="nowhere")]}, "no HOST:PORT: 'nowhere'"),
        ({"servers": [server(1), server(2), server(3)], "term": 3}, "Object contains unknown field `term`"),
        (
            {"servers": [server(1), server(2), server(3, votes="yes")]},
            "Expected `bool`, got `str` - at `$.servers[2].votes`",
        ),
        ([], "Expected `object`, got `array`"),
    ],
)
def test_a_mistake_in_the_file_is_one_plain_line(tmp_path, told, why):
    file = tmp_path / "control.yaml"
    file.write_text(yaml.safe_dump(told))
    with pytest.raises(ConfigError) as err:
        read_control_settings(str(file))
    assert str(err.value) == f"{file}: {why}"


def test_the_file_that_is_deployed_is_good():
    assert read_control_settings("deploy/control.yaml").voters == ("c1", "c2", "c3")
    assert SETTINGS["Classes"]
