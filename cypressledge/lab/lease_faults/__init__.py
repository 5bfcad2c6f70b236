"""Leases under faults: brokers as processes, drawn faults in and between them, and what judges them."""
