"""Cooperation between brokers: membership, leases, tasks under leases and zone failover.

Off unless `--fleet FILE` is given; `run` without that option imports nothing from this package.
"""
