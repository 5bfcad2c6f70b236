"""The project's laboratory: explorer, stand-ins, relays and experiments. Never imported by `run`."""
