"""Counts the frames and bytes of the control plane's connections. No I/O."""

from collections import Counter
from collections.abc import Mapping
from typing import Literal, TypedDict

from cypressledge.controlplane.messages import Message


class FrameCounts(TypedDict):
    """How many frames of a kind, and their bytes with length prefixes."""

    frames: int
    bytes: int


class TrafficCounters:
    """Frames and bytes, by tag and direction."""

    def __init__(self) -> None:
        self.frames: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def add(self, direction: Literal["in", "out"], message: Message, size: int) -> None:
        """Count one more frame of `size` bytes, its length prefix included."""
        key = f"{direction}.{message.__struct_config__.tag}"
        self.frames[key] += 1
        self.bytes[key] += size

    def show(self) -> Mapping[str, FrameCounts]:
        """By direction and tag, as operators' calls answer it."""
        return {
            key: FrameCounts(frames=count, bytes=self.bytes[key])
            for key, count in sorted(self.frames.items())
        }
