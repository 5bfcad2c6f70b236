"""Counts the frames and bytes of the control plane's connections. No I/O."""

from collections import Counter
from collections.abc import Mapping
from typing import Literal, TypedDict

from cypressledge.controlplane.messages import Message


class FrameCounts(TypedDict):
    """The number of frames of one direction and tag, and their bytes including length prefixes."""

    frames: int
    bytes: int


class TrafficCounters:
    """Counts of frames and bytes, by direction and message tag."""

    def __init__(self) -> None:
        self.frames: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def add(self, direction: Literal["in", "out"], message: Message, size: int) -> None:
        """Count one frame of `size` bytes, including its length prefix."""
        key = f"{direction}.{message.__struct_config__.tag}"
        self.frames[key] += 1
        self.bytes[key] += size

    def show(self) -> Mapping[str, FrameCounts]:
        """Return the counts by direction and tag, as operators' calls show them."""
        return {
            key: FrameCounts(frames=count, bytes=self.bytes[key])
            for key, count in sorted(self.frames.items())
        }
