"""Leases by majorities of time-bound votes: voters, acquisitions, and when to do what. No I/O."""
