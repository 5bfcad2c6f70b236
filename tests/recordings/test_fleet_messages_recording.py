"""One of each fleet datagram with fixed values, byte for byte: brokers of other versions read these.

The recording holds each datagram in hex under the wire tag of its one item. Items are built by field name
with values that differ, so that a field that moves, a tag or a version that changes shows in the bytes. A
class or a field may be renamed here; the recording stays as it is.
"""

import json
from pathlib import Path
from typing import get_args

import pytest

from cypressledge.fleet import messages as m

RECORDING = json.loads(Path(__file__).with_name("fleet_messages.json").read_text())

LEASE, RUN, ROUND, TOKEN = "restart/1", (1 << 61) + 7, 11, 1_764_680_000_000_003
WORDS = [
    m.Word(name="n1", incarnation=1_764_680_000_001, state=0),
    m.Word(name="n2", incarnation=1_764_680_000_002, state=1),
    m.Word(name="n3", incarnation=1_764_680_000_003, state=2),
]
ZONE = m.ZoneStands(
    name="room1",
    stage="leaving",
    share=250,
    age=1_000_001,
    flaps=2,
    by_hand="out",
    hand_left=60_000_002,
    why="by hand",
)
REGION = m.ZoneStands(
    name="north", stage="here", share=1_000, age=1_000_003, flaps=3, by_hand="", hand_left=0, why=""
)

ITEMS = {
    "look": m.Look(lease=LEASE),
    "ask": m.Ask(lease=LEASE, run=RUN, round=ROUND, token=TOKEN, term=3_000_000, version=4, renews=True),
    "back": m.GiveBack(lease=LEASE, run=RUN, round=ROUND),
    "seen": m.Seen(lease=LEASE, holder="n2", left=2_000_001, token=TOKEN, mute=1_000_002),
    "grant": m.Grant(lease=LEASE, run=RUN, round=ROUND, token=TOKEN),
    "refuse": m.Refuse(
        lease=LEASE, run=RUN, round=ROUND, why="held", holder="n3", left=2_000_003, token=TOKEN
    ),
    "freed": m.Freed(lease=LEASE, token=TOKEN),
    "ping": m.Ping(number=41, words=WORDS),
    "ack": m.Ack(number=42, about="n3", words=WORDS[:1]),
    "pingfor": m.PingFor(number=43, target="n3"),
    "want": m.FiguresWanted(lease="summary", token=TOKEN, run=RUN),
    "figures": m.Figures(
        token=TOKEN,
        classes={"lookup": [1, 2, 3, 4], "report": [5, 6, 7, 8]},
        avoided=["s-1", "s-2"],
        ready=12,
        open=34,
    ),
    "summary": m.Summary(
        token=TOKEN,
        run=RUN,
        holder="n1",
        brokers=3,
        missing=["n4"],
        classes={"lookup": [10, 20, 30, 40]},
        engines={"s-1": 2},
    ),
    "sight": m.Sight(
        engines=[
            m.EngineSeen(
                engine=5,
                ok=60,
                late=7,
                refused=8,
                broken=9,
                silent=10,
                work=1_100,
                fails=12,
                answered_ms=1_300,
            ),
            m.EngineSeen(engine=6, ok=1, late=2, refused=3, broken=4, silent=5),
        ],
        tenants={"sahel": 70},
        alone=["room2"],
    ),
    "plan": m.Plan(token=TOKEN, run=RUN, number=77, zones=[ZONE], regions=[REGION], shed={"sahel": 125}),
    "zonewish": m.ZoneWish(zone="room1", what="practice", span=600_000_000, why="a practice"),
    "planwanted": m.PlanWanted(),
}
ENVELOPE = {
    "sender": "n1",
    "to": "n2",
    "run": (1 << 60) + 5,
    "incarnation": 1_764_680_000_123,
    "voters": 4,
    "floor": 3,
}


def datagram(tag: str) -> m.Envelope:
    """The envelope that the recording of this tag was made of."""
    return m.Envelope(v=m.VERSION, **ENVELOPE, items=[ITEMS[tag]])


def test_version_and_tags_are_those_recorded():
    tags = {cls.__struct_config__.tag for cls in get_args(m.Items)}
    assert m.VERSION == 1
    assert tags == set(ITEMS) == set(RECORDING)


@pytest.mark.parametrize("tag", ITEMS)
def test_datagram_is_encoded_as_recorded(tag):
    assert type(ITEMS[tag]).__struct_config__.tag == tag
    assert m.encode(datagram(tag)).hex() == RECORDING[tag]


@pytest.mark.parametrize("tag", ITEMS)
def test_recorded_datagram_is_decoded(tag):
    assert m.decode(bytes.fromhex(RECORDING[tag])) == datagram(tag)
