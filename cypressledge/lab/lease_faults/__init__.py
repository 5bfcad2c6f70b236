"""Leases under faults: broker processes, random process and network faults, and checks of the results."""
