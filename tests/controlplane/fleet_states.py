"""Fleet states and operations that tests of the control plane start from."""

from cypressledge.controlplane.messages import Change, Op
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import validate_change
from cypressledge.controlplane.state_values import Broker, Engine, encode_value
from cypressledge.lab.site import SETTINGS

SETTINGS_OPS = [Op(f"config/{name}", encode_value(value)) for name, value in SETTINGS.items()]


def engine(name: str, address: str, **more) -> Op:
    return Op(f"engine/{name}", encode_value(Engine(address, **more)))


def broker(name: str, address: str) -> Op:
    return Op(f"broker/{name}", encode_value(Broker(address)))


def apply_ops(state, *ops, epoch=1, **more) -> Change:
    validate_change(state, list(ops))
    change = state.draft_change(epoch, list(ops), **more)
    state.apply(change)
    return change


def populated_state() -> FleetState:
    state = FleetState("line")
    apply_ops(state, *SETTINGS_OPS)
    apply_ops(
        state, engine("e1", "10.0.0.1:9000"), engine("e2", "10.0.0.2:9000"), broker("b1", "10.0.1.1:7400")
    )
    return state
