"""Leases granted by majorities of time-bound votes: voters, acquisitions, timing of requests. No I/O."""
