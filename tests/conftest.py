"""Hypothesis runs the same examples every time; tests that are ended by a signal end what they started."""

import signal
import sys

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=40)
settings.load_profile("fixed")
signal.signal(signal.SIGTERM, lambda got, _: sys.exit(128 + got))
