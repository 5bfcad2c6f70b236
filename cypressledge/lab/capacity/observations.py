"""What the harness did and observed during a capacity run, for its checks."""

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

from cypressledge.lab.capacity.checks import AcknowledgedChange, HarnessObservations
from cypressledge.lab.capacity.fault_injector import FaultInjector
from cypressledge.lab.capacity.simulated_operator import SimulatedOperator

BrokerRunKey = tuple[str, int]  # a broker's name and the number of its run
FILE_KEYS = {"removed": "gone", "all_stopped_at": "gone"}  # of fields that have another name in the file


def harness_observations(
    operator: SimulatedOperator,
    faults: FaultInjector,
    records: list[dict],
    controls: list[dict],
    names: frozenset[str],
    over: int,
    killed: dict[BrokerRunKey, int],
) -> HarnessObservations:
    """Return what the harness did and observed.

    `records`, `controls`: what brokers and control processes wrote; `over`: the end, µs; `killed`: when
    simulated brokers were killed, as their hosts report it: a busy host may be late.
    """
    return HarnessObservations(
        _acknowledged(operator, controls),
        faults.down,
        faults.spans,
        faults.losses,
        _broker_run_ends(faults, records, killed),
        over,
        operator.wrong_answers,
        expected=names,
    )


def _broker_run_ends(
    faults: FaultInjector, records: list[dict], killed: dict[BrokerRunKey, int]
) -> dict[BrokerRunKey, int]:
    """Return when lives ended. Of a real broker, a kill ends the life that began last before it."""
    began: dict[BrokerRunKey, int] = {}
    for record in records:
        key = (record["broker"], record["run"])
        began[key] = min(began.get(key, record["at"]), record["at"])
    ends = dict(killed)
    simulated = {name for name, _ in killed}
    for (name, run), at in began.items():
        if name in simulated:
            continue
        later_kills = [kill.at for kill in faults.kills if kill.broker == name and kill.at >= at]
        if later_kills:
            ends[name, run] = min(later_kills)
    return ends


def _acknowledged(operator: SimulatedOperator, controls: list[dict]) -> list[AcknowledgedChange]:
    """Return the acknowledged changes, from when a control process recorded it, if before the answer came."""
    recorded: dict[tuple[int, str], int] = {}
    for record in controls:
        if record["event"] == "acknowledged":
            recorded.setdefault((record["version"], record.get("request", "")), record["at"])
    return [
        AcknowledgedChange(
            min(change.at, recorded.get((change.version, change.request), change.at)),
            change.version,
            change.request,
            change.digest,
        )
        for change in operator.acknowledged
    ]


def write_observations(path: Path, observed: HarnessObservations) -> None:
    """Write the observations as JSON, so that a kept run can be judged again."""
    content = asdict(observed, dict_factory=_file_keys)
    content["ends"] = [[*broker_run, at] for broker_run, at in observed.ends.items()]
    path.write_text(json.dumps(content, default=sorted))


def _file_keys(fields: list[tuple[str, Any]]) -> dict[str, Any]:
    return {FILE_KEYS.get(name, name): value for name, value in fields}
