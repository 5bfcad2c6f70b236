"""What the harness did and saw during a capacity run, for its checks."""

from cypressledge.lab.capacity.checks import AcknowledgedChange, HarnessObservations
from cypressledge.lab.capacity.fault_injector import FaultInjector
from cypressledge.lab.capacity.simulated_operator import SimulatedOperator

BrokerRun = tuple[str, int]  # a broker's name and the number of its run


def harness_observations(
    operator: SimulatedOperator,
    faults: FaultInjector,
    records: list[dict],
    controls: list[dict],
    names: frozenset[str],
    over: int,
    killed: dict[BrokerRun, int],
) -> HarnessObservations:
    """Return what the harness did and saw.

    `records`, `controls`: what brokers and control processes wrote; `over`: the end, µs; `killed`: when
    simulated brokers were killed, as their hosts report it: a busy host may be late.
    """
    return HarnessObservations(
        _acknowledged(operator, controls),
        faults.down,
        faults.spans,
        faults.losses,
        _ends_of_lives(faults, records, killed),
        over,
        operator.wrongs,
        expected=names,
    )


def _ends_of_lives(
    faults: FaultInjector, records: list[dict], killed: dict[BrokerRun, int]
) -> dict[BrokerRun, int]:
    """Return when lives ended. Of a real broker, a kill ends the life that began last before it."""
    began: dict[BrokerRun, int] = {}
    for record in records:
        key = (record["broker"], record["run"])
        began[key] = min(began.get(key, record["at"]), record["at"])
    ends = dict(killed)
    simulated = {name for name, _ in killed}
    for (name, run), at in began.items():
        if name in simulated:
            continue
        later_kills = [kill_at for who, kill_at in faults.kills if who == name and kill_at >= at]
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
        for change in operator.acked
    ]
