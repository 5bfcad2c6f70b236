"""The program: `python -m cypressledge`. It handles signals from its first line on, then imports the rest.

Guards against a signal that comes before the broker listens, with as much to import as there is: SIGHUP, by
default, ends a process, and a planned restart that meets the start is no crash.
"""

import signal
import sys

COMMANDS = ("fleet", "zone", "control", "lab")  # first words that are the command line's
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def main() -> int:
    """Run one broker, or the operators' command line."""
    if sys.argv[1:2] and sys.argv[1] in COMMANDS:
        from cypressledge.cli import cli

        cli(prog_name="cypressledge")
    early_signals: list[int] = []
    for number in HANDLED_SIGNALS:
        signal.signal(number, lambda received, _: early_signals.append(received))
    from cypressledge.broker_process.process import main as run

    return run(early_signals)


if __name__ == "__main__":
    sys.exit(main())
