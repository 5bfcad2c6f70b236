"""The program with hooks at which it stops until the test releases it. Run in place of `-m cypressledge`.

A test uses a hook to make an event happen between two statements in every run.

HOOKS lists the hooks as NAME=POINT, separated by spaces. A point is `module:Class.function[#n][!]`: the n-th
call of the function (the first by default). HOOKS_DIR is the folder of their files: the program creates
NAME.at when it reaches the point, and continues once the test creates NAME.go. With `!`, the whole process
blocks; without, only the greenlet does.
"""

import importlib
import os
import sys
import time
from pathlib import Path

MAX_HOLD_S = 15.0  # s; after this time the program continues without a release


def wait_for_release(folder: Path, name: str, sleep) -> None:
    """Report that the point is reached, and wait until the test releases it or the time is over."""
    (folder / f"{name}.at").touch()
    end = time.monotonic() + MAX_HOLD_S
    while not (folder / f"{name}.go").exists() and time.monotonic() < end:
        sleep(0.002)


def install_hook(folder: Path, name: str, point: str) -> None:
    """Replace the function at a point by one that waits for the release in the call in question."""
    import gevent

    blocks_process = point.endswith("!")
    path, _, nth = point.rstrip("!").partition("#")
    module, _, qualified_name = path.partition(":")
    owner = importlib.import_module(module)
    *outer, function_name = qualified_name.split(".")
    for part in outer:
        owner = getattr(owner, part)
    original, calls = getattr(owner, function_name), [0]

    def call_with_hook(*args, **more):
        calls[0] += 1
        if calls[0] == int(nth or 1):
            wait_for_release(folder, name, time.sleep if blocks_process else gevent.sleep)
        return original(*args, **more)

    setattr(owner, function_name, call_with_hook)


def main() -> int:
    folder = Path(os.environ["HOOKS_DIR"])
    points = dict(pair.split("=", 1) for pair in os.environ["HOOKS"].split())
    from cypressledge import __main__ as program

    for name, point in points.items():
        install_hook(folder, name, point)
    return program.main()


if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parents[2]))
    sys.exit(main())
