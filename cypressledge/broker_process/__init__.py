"""A broker as a process: its parts put together, started, reconfigured and stopped."""
