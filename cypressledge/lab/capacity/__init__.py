"""Capacity: a run at the target's scale with its judge, and the page of requirements against limits."""
