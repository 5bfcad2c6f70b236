"""The harness's own actions and observations during a capacity run, as input of the checks."""

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

from cypressledge.lab.capacity.checks import AcknowledgedChange, HarnessObservations
from cypressledge.lab.capacity.fault_injector import FaultInjector
from cypressledge.lab.capacity.simulated_operator import SimulatedOperator

BrokerRunKey = tuple[str, int]  # a broker's name and the identifier of its run
FILE_KEYS = {"removed": "gone", "all_stopped_at": "gone"}  # file keys of fields with a different name


def harness_observations(
    operator: SimulatedOperator,
    faults: FaultInjector,
    records: list[dict],
    controls: list[dict],
    names: frozenset[str],
    over: int,
    killed: dict[BrokerRunKey, int],
) -> HarnessObservations:
    """Return the harness's actions and observations as input of the checks.

    `records`, `controls`: records of the brokers and of the control processes; `over`: the end of the run,
    µs; `killed`: when simulated brokers were killed, µs, as reported by their hosts, because a busy host may
    execute a kill late.
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
    """Return when broker runs were killed, µs; a real broker's run ends at the first kill after its start."""
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
    """Return the acknowledged changes.

    Their time is when a control process recorded the acknowledgement, if that was before the answer arrived.
    """
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
    """Write the observations as JSON, so that the records of a run can be checked again later."""
    content = asdict(observed, dict_factory=_file_keys)
    content["ends"] = [[*broker_run, at] for broker_run, at in observed.ends.items()]
    path.write_text(json.dumps(content, default=sorted))


def _file_keys(fields: list[tuple[str, Any]]) -> dict[str, Any]:
    return {FILE_KEYS.get(name, name): value for name, value in fields}
