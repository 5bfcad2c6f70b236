"""Tasks under leases: what runs them, within a budget, and the tasks themselves. Not imported by `run`."""
