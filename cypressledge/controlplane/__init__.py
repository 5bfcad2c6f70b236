"""The control plane: control processes replicate the fleet's state and publish it to every broker.

`run` uses it only if `--control` is given.
"""
