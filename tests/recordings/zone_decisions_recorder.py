"""Digests of what the zones' decisions give, free of the names of classes, fields and log events."""

import dataclasses
import enum
import json
from hashlib import blake2b

import msgspec

SECOND_US = 1_000_000
ZONES = ("a", "b", "c")
ENGINES = {10 * i + n: z for i, z in enumerate(ZONES) for n in range(4)}  # engine: zone
REGION = {"a": "north", "b": "north", "c": "south"}


def plain(value):
    """A value without any name of a class or a field in it."""
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, msgspec.Struct):
        return [plain(v) for v in msgspec.structs.astuple(value)]
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, f.name)) for f in dataclasses.fields(value)]
    if isinstance(value, dict):
        return [[plain(k), plain(v)] for k, v in value.items()]
    if isinstance(value, list | tuple):
        return [plain(v) for v in value]
    return value


class Recorder:
    """Digests outputs in their order; words that may be renamed are numbered as they first come."""

    def __init__(self):
        self.digest, self.count, self.words = blake2b(digest_size=16), 0, {}

    def add(self, *values):
        self.digest.update(json.dumps(plain(values)).encode())
        self.count += 1

    def event(self, name, *values):
        self.add(self.words.setdefault(name, len(self.words)), *values)

    def result(self):
        return {"outputs": self.count, "digest": self.digest.hexdigest()}
