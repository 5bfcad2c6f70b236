"""Tasks under leases: the runner with its processor budget, and the tasks. Not imported by plain `run`."""
