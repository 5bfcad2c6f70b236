"""Commands of the program, run as processes while the greenlets of the test continue."""

import sys

from gevent import subprocess

from cypressledge.lab.processes import ROOT


def run(*args, timeout_s=60):
    """Run a command of the program, and return its exit code, standard output and standard error."""
    done = subprocess.run(
        [sys.executable, "-m", "cypressledge", *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        timeout=timeout_s,
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()
