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
    m.GossipUpdate(name="n1", incarnation=1_764_680_000_001, state=0),
    m.GossipUpdate(name="n2", incarnation=1_764_680_000_002, state=1),
    m.GossipUpdate(name="n3", incarnation=1_764_680_000_003, state=2),
]
ZONE = m.ZoneStatus(
    name="room1",
    stage="leaving",
    share=250,
    age=1_000_001,
    flaps=2,
    operator_override="out",
    override_remaining=60_000_002,
    reason="by hand",
)
REGION = m.ZoneStatus(
    name="north",
    stage="here",
    share=1_000,
    age=1_000_003,
    flaps=3,
    operator_override="",
    override_remaining=0,
    reason="",
)

ITEMS = {
    "look": m.LeaseStatusRequest(lease=LEASE),
    "ask": m.VoteRequest(
        lease=LEASE, instance_id=RUN, round=ROUND, token=TOKEN, term=3_000_000, voters_version=4, renewal=True
    ),
    "back": m.ReleaseLease(lease=LEASE, instance_id=RUN, round=ROUND),
    "seen": m.LeaseStatus(
        lease=LEASE, holder="n2", remaining=2_000_001, token=TOKEN, voting_quarantine=1_000_002
    ),
    "grant": m.VoteGranted(lease=LEASE, instance_id=RUN, round=ROUND, token=TOKEN),
    "refuse": m.VoteRejected(
        lease=LEASE,
        instance_id=RUN,
        round=ROUND,
        reason="held",
        holder="n3",
        remaining=2_000_003,
        token=TOKEN,
    ),
    "freed": m.LeaseReleased(lease=LEASE, token=TOKEN),
    "ping": m.Ping(sequence=41, updates=WORDS),
    "ack": m.Ack(sequence=42, target="n3", updates=WORDS[:1]),
    "pingfor": m.IndirectPing(sequence=43, target="n3"),
    "want": m.MetricsRequest(lease="summary", token=TOKEN, instance_id=RUN),
    "figures": m.BrokerMetrics(
        token=TOKEN,
        counts_by_class={"lookup": [1, 2, 3, 4], "report": [5, 6, 7, 8]},
        avoided_engines=["s-1", "s-2"],
        ready_engines=12,
        open_requests=34,
    ),
    "summary": m.FleetSummary(
        token=TOKEN,
        instance_id=RUN,
        holder="n1",
        broker_count=3,
        missing_brokers=["n4"],
        counts_by_class={"lookup": [10, 20, 30, 40]},
        avoided_engines={"s-1": 2},
    ),
    "sight": m.EngineObservations(
        engines=[
            m.EngineObservation(
                engine=5,
                succeeded=60,
                late=7,
                connect_failed=8,
                failed=9,
                timed_out=10,
                cpu_time=1_100,
                consecutive_failures=12,
                last_answer_age_ms=1_300,
            ),
            m.EngineObservation(engine=6, succeeded=1, late=2, connect_failed=3, failed=4, timed_out=5),
        ],
        requests_by_tenant={"sahel": 70},
        locally_evacuated_zones=["room2"],
    ),
    "plan": m.FailoverPlan(
        token=TOKEN, instance_id=RUN, number=77, zones=[ZONE], regions=[REGION], shed={"sahel": 125}
    ),
    "zonewish": m.ZoneCommand(zone="room1", action="practice", duration=600_000_000, reason="a practice"),
    "planwanted": m.PlanRequest(),
}
ENVELOPE = {
    "sender": "n1",
    "recipient": "n2",
    "instance_id": (1 << 60) + 5,
    "incarnation": 1_764_680_000_123,
    "voters_version": 4,
    "oldest_voters_version": 3,
}


def datagram(tag: str) -> m.Envelope:
    """The envelope that the recording of this tag was made of."""
    return m.Envelope(version=m.VERSION, **ENVELOPE, items=[ITEMS[tag]])


def test_version_and_tags_are_those_recorded():
    tags = {cls.__struct_config__.tag for cls in get_args(m.AnyItem)}
    assert m.VERSION == 1
    assert tags == set(ITEMS) == set(RECORDING)


@pytest.mark.parametrize("tag", ITEMS)
def test_datagram_is_encoded_as_recorded(tag):
    assert type(ITEMS[tag]).__struct_config__.tag == tag
    assert m.encode(datagram(tag)).hex() == RECORDING[tag]


@pytest.mark.parametrize("tag", ITEMS)
def test_recorded_datagram_is_decoded(tag):
    assert m.decode(bytes.fromhex(RECORDING[tag])) == datagram(tag)
