"""The control plane: one numbered history of the fleet's state, from control processes to every broker. Off
in `run`."""
