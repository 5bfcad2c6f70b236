"""Runs commands of the program, while the test's own greenlets go on."""

import sys

from gevent import subprocess

from cypressledge.lab.processes import ROOT


def run(*args, timeout_s=60):
    """A command of the program: its exit code, output and errors."""
    done = subprocess.run(
        [sys.executable, "-m", "cypressledge", *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        timeout=timeout_s,
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()
