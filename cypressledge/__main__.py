"""The program, run by `python -m cypressledge`. It installs signal handlers before it imports the broker.

The imports take time, and a signal may arrive before the broker listens. The default action of SIGHUP ends
the process, so that a planned restart during the start would look like a crash.
"""

import signal
import sys

COMMANDS = ("fleet", "zone", "control", "lab")  # first arguments that select the operators' command line
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def main() -> int:
    """Run a broker or the operators' command line, and return the exit status."""
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
