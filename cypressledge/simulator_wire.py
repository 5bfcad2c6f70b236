"""The simulator's wire: records of events and actions, field by field.

A frame is a head, records of fixed size, and a tail for content without one. Every record but a catalogue's
begins with its code and the number of the instance that it concerns; all numbers are little-endian, times are
µs. The structs below skip a record's code with `x` when they read, and write it as their first field.
"""

import struct
from collections.abc import Mapping
from enum import IntEnum
from functools import partial
from typing import TypeVar

from cypressledge.decisions import contract as c

FRAME_HEAD = struct.Struct("<IQII")  # length, clock, number of records, number of the batch
REPLY_HEAD = struct.Struct("<III")  # length, number of records, number of the batch
EVENT_BYTES = 48
ACTION_BYTES = 24
LENGTH = struct.Struct("<I")
INSTANCE = struct.Struct("<xI")

# Events, as their records are laid out.
CATALOG = struct.Struct("<xHII")
CATALOG_ENTRY = struct.Struct("<HHQBB6sf")
START = struct.Struct("<xIQII")
DIRECTORY_UPDATE = struct.Struct("<xIBQH")
REQUEST = struct.Struct("<xIIBHQQIffH")
ANSWER = struct.Struct("<xIIBIH6sIBB4f")
HINT = struct.Struct("<xIIH6sfB")
CLIENT_DISCONNECTED = struct.Struct("<xII")
ALARM = struct.Struct("<xIQ")
PONG = struct.Struct("<xI6sBIB4f")
PEER_MESSAGE = struct.Struct("<II")  # of the tail: offset and length
PEER_MESSAGE_AT = 9

REQUEST_HAS_COST = 1  # bits of a request's flags
REQUEST_IS_RETRY = 2
BILL_WORK_SHIFT = 12  # a bill is milliseconds of work above so many bits ...
BILL_MEMORY_MASK = 4095  # ... and memory below them,
BILL_MEMORY_MB = 4.0  # in units of so many MB
US_PER_MS = 1_000
MAX_U32 = 0xFFFFFFFF
ENGINE_BYTES = 6  # four of the address, two of the port


class EventCode(IntEnum):
    """Records of the input, by their first byte."""

    START = 0
    DIRECTORY_UPDATE = 1
    REQUEST = 2
    STREAM_STARTED = 3
    ANSWER = 4
    CLIENT_DISCONNECTED = 5
    ALARM = 6
    PONG = 7
    PEER_MESSAGE = 8
    SHUTDOWN = 9
    HINT = 10
    CATALOG = 11


class ActionCode(IntEnum):
    """Records of the output, by their first byte."""

    LOG = 66
    SET_RESOURCES = 67
    START_ATTEMPT = 68
    CRASH = 69
    REJECT = 71
    TIMER = 72
    FAIL = 74
    SUBSCRIBE = 75
    CANCEL = 76


class WireError(Exception):
    """Input that breaks the wire's rules."""


_OUTCOMES = {outcome.value: outcome for outcome in c.Outcome}
_STATES = {state.value: state for state in c.EngineState}
_PROGRESS_KINDS = {kind.value: kind for kind in c.ProgressKind}
_LIST_KINDS = {kind.value: kind for kind in c.EngineListKind}
_Value = TypeVar("_Value")


def lookup(table: Mapping[int, _Value], number: int, what: str) -> _Value:
    """What a number stands for; `WireError` for one that stands for nothing."""
    try:
        return table[number]
    except KeyError:
        raise WireError(f"unknown {what} {number}") from None


def tail_slice(frame: bytes, tail: int, offset: int, size: int) -> bytes:
    """A piece of a frame's tail, which begins at `tail`."""
    if tail + offset + size > len(frame):
        raise WireError(f"tail offset {offset} with length {size} lies outside the frame")
    return frame[tail + offset : tail + offset + size]


def engine_number(raw: bytes) -> int:
    """An engine's six bytes as one number."""
    return int.from_bytes(raw, "big")


# Events


def decode_entries(raw: bytes) -> tuple[c.EngineListEntry, ...]:
    """The entries of a catalogue."""
    return tuple(
        c.EngineListEntry(
            engine_number(engine), lookup(_STATES, state, "engine state"), kind, zone, cell, born
        )
        for zone, cell, born, state, kind, engine, _ in CATALOG_ENTRY.iter_unpack(raw)
    )


def decode_answer(frame: bytes, at: int) -> c.AttemptEnded:
    """How an attempt ended."""
    _, request, final, latency, attempt, engine, bill, outcome, count, *report = ANSWER.unpack_from(frame, at)
    return c.AttemptEnded(
        request,
        attempt,
        engine_number(engine),
        lookup(_OUTCOMES, outcome, "outcome"),
        final != 0,
        latency,
        (bill >> BILL_WORK_SHIFT) * US_PER_MS,
        (bill & BILL_MEMORY_MASK) * BILL_MEMORY_MB,
        tuple(report[:count]),
    )


def decode_request(frame: bytes, at: int) -> c.RequestReceived:
    """A request came in."""
    _, request, class_index, _, key, deadline, cost, memory_mb, group, flags = REQUEST.unpack_from(frame, at)
    return c.RequestReceived(
        request,
        class_index,
        deadline,
        key,
        cost if flags & REQUEST_HAS_COST else 0,
        memory_mb,
        int(group),
        bool(flags & REQUEST_IS_RETRY),
    )


def decode_alarm(frame: bytes, at: int) -> c.TimerFired:
    """A timer has run out."""
    return c.TimerFired(ALARM.unpack_from(frame, at)[1])


def decode_hint(frame: bytes, at: int) -> c.AttemptProgress | None:
    """Progress of a running attempt; None for kinds that the module knows nothing of."""
    _, request, attempt, engine, value, kind = HINT.unpack_from(frame, at)
    if kind not in _PROGRESS_KINDS:
        return None
    return c.AttemptProgress(request, attempt, engine_number(engine), _PROGRESS_KINDS[kind], value)


def decode_client_disconnected(frame: bytes, at: int) -> c.ClientDisconnected:
    """Nobody waits for a request any more."""
    return c.ClientDisconnected(CLIENT_DISCONNECTED.unpack_from(frame, at)[1])


def decode_pong(frame: bytes, at: int) -> c.HealthCheckEnded:
    """A health check was answered."""
    _, engine, outcome, latency, count, *report = PONG.unpack_from(frame, at)
    return c.HealthCheckEnded(
        engine_number(engine), lookup(_OUTCOMES, outcome, "outcome"), latency, tuple(report[:count])
    )


def decode_directory_update(
    frame: bytes, at: int, catalogues: Mapping[int, tuple[c.EngineListEntry, ...]]
) -> c.EngineListReceived:
    """News of the engines: the entries are those of a catalogue that came before."""
    _, number, _, catalogue = DIRECTORY_UPDATE.unpack_from(frame, at)
    kind = lookup(_LIST_KINDS, number, "list kind")
    if kind is c.EngineListKind.FAILED:
        return c.EngineListReceived(kind)
    return c.EngineListReceived(kind, lookup(catalogues, catalogue, "list"))


# Actions

_pack_start_attempt = partial(struct.Struct("<BII6sI5x").pack, int(ActionCode.START_ATTEMPT))
_pack_resources = partial(struct.Struct("<BIIfB10x").pack, int(ActionCode.SET_RESOURCES))
_pack_cancel = partial(struct.Struct("<BIIH13x").pack, int(ActionCode.CANCEL))
_pack_reject = partial(struct.Struct("<BIII11x").pack, int(ActionCode.REJECT))
_pack_fail = partial(struct.Struct("<BII15x").pack, int(ActionCode.FAIL))
_pack_timer = partial(struct.Struct("<BIIQ7x").pack, int(ActionCode.TIMER))
_pack_subscribe = partial(struct.Struct("<BIB18x").pack, int(ActionCode.SUBSCRIBE))
_TEXT = struct.Struct("<BIII11x")
_NO_RETRY_AFTER = 0
_SUBSCRIBE_ON = 1


class Reply:
    """The actions of one batch, as their records and the tail of their texts."""

    __slots__ = ("_records", "_texts")

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._texts = bytearray()

    def encode(self, batch: int) -> bytes:
        """The frame that answers a batch."""
        size = REPLY_HEAD.size + ACTION_BYTES * len(self._records) + len(self._texts)
        head = REPLY_HEAD.pack(size, len(self._records), batch)
        return head + b"".join(self._records) + bytes(self._texts)

    def add_crash(self, instance: int, text: str) -> None:
        """The decision module of an instance has failed."""
        self._add_text(ActionCode.CRASH, instance, text)

    def add(self, instance: int, action: c.Action) -> None:
        """One action of an instance."""
        if isinstance(action, c.StartAttempt):
            engine = action.engine.to_bytes(ENGINE_BYTES, "big")
            timeout = min(action.timeout, MAX_U32)
            self._records.append(_pack_start_attempt(instance, action.request, engine, timeout))
        elif isinstance(action, c.StartTimer):
            self._records.append(_pack_timer(instance, min(action.after, MAX_U32), action.token))
        elif isinstance(action, c.SetAttemptResources):
            self._records.append(_pack_resources(instance, action.request, action.grant_mb, action.priority))
        elif isinstance(action, c.CancelAttempt):
            self._records.append(_pack_cancel(instance, action.request, action.attempt))
        elif isinstance(action, c.RejectRequest):
            self._records.append(_pack_reject(instance, action.request, _NO_RETRY_AFTER))
        elif isinstance(action, c.FailRequest):
            self._records.append(_pack_fail(instance, action.request))
        elif isinstance(action, c.Subscribe):
            self._records.append(_pack_subscribe(instance, _SUBSCRIBE_ON))
        elif isinstance(action, c.Log):
            self._add_text(ActionCode.LOG, instance, action.text)
        else:
            raise TypeError(f"no wire form for {type(action).__name__}")

    def _add_text(self, code: ActionCode, instance: int, text: str) -> None:
        raw = text.encode()
        self._records.append(_TEXT.pack(code, instance, len(self._texts), len(raw)))
        self._texts += raw
