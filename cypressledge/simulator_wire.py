"""The simulator's wire format: encoding and decoding of the records of events and actions.

A frame consists of a header, records of fixed size, and a tail with the variable-size content of the records.
Every record except a catalogue begins with its code and the number of its instance. All numbers are
little-endian, times are in µs. The structs for decoding skip the code of a record with `x`, those for
encoding write it as their first field. Records are named as in the specification of the simulator.
"""

import struct
from collections.abc import Mapping
from enum import IntEnum
from functools import partial
from typing import TypeVar

from cypressledge.decisions import contract

FRAME_HEAD = struct.Struct("<IQII")  # length in bytes, clock in µs, number of records, number of the batch
REPLY_HEAD = struct.Struct("<III")  # length in bytes, number of records, number of the batch
EVENT_BYTES = 48  # bytes; size of an input record
ACTION_BYTES = 24  # bytes; size of an output record
LENGTH = struct.Struct("<I")  # length of a frame in bytes, including the length field
INSTANCE = struct.Struct("<xI")  # number of a record's instance

# Layouts of the events.
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
PEER_MESSAGE = struct.Struct("<II")  # offset and length in the tail
PEER_MESSAGE_OFFSET = 9  # bytes; position of these two fields in a record

REQUEST_HAS_COST = 1  # flag of a request: its cost is known
REQUEST_IS_RETRY = 2  # flag of a request: the client has sent it before
BILL_WORK_SHIFT = 12  # bits; a bill contains the work in ms in the bits from this one upwards
BILL_MEMORY_MASK = 4095  # bit mask of a bill's memory
BILL_MEMORY_MB = 4.0  # MB; unit of a bill's memory
US_PER_MS = 1_000
MAX_U32 = 0xFFFFFFFF
ENGINE_BYTES = 6  # bytes; size of an engine id: four bytes of the address, two of the port


class EventCode(IntEnum):
    """Codes of input records, which are the first byte of a record."""

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
    """Codes of output records, which are the first byte of a record."""

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
    """The input is not in the simulator's wire format."""


_OUTCOMES = {outcome.value: outcome for outcome in contract.Outcome}
_STATES = {state.value: state for state in contract.EngineState}
_PROGRESS_KINDS = {kind.value: kind for kind in contract.ProgressKind}
_LIST_KINDS = {kind.value: kind for kind in contract.EngineListKind}
_Value = TypeVar("_Value")


def lookup(table: Mapping[int, _Value], number: int, code_kind: str) -> _Value:
    """Return the value of a code; raises `WireError` for an unknown code."""
    try:
        return table[number]
    except KeyError:
        raise WireError(f"unknown {code_kind} {number}") from None


def tail_slice(frame: bytes, tail: int, offset: int, size: int) -> bytes:
    """Return `size` bytes at `offset` of a frame's tail, which begins at `tail`.

    Raises `WireError` if they extend beyond the end of the frame."""
    if tail + offset + size > len(frame):
        raise WireError(f"tail offset {offset} with length {size} lies outside the frame")
    return frame[tail + offset : tail + offset + size]


def engine_number(raw: bytes) -> int:
    """Return the number of an engine, from the six bytes of its id."""
    return int.from_bytes(raw, "big")


# Events


def decode_entries(raw: bytes) -> tuple[contract.EngineListEntry, ...]:
    """Decode the engine list entries of a catalogue."""
    return tuple(
        contract.EngineListEntry(
            engine=engine_number(engine),
            state=lookup(_STATES, state, "engine state"),
            kind=kind,
            zone=zone,
            cell=cell,
            started_at=started_at,
        )
        for zone, cell, started_at, state, kind, engine, _ in CATALOG_ENTRY.iter_unpack(raw)
    )


def decode_answer(frame: bytes, offset: int) -> contract.AttemptEnded:
    """Decode the end of an attempt."""
    _, request, final, latency, attempt, engine, bill, outcome, count, *report = ANSWER.unpack_from(
        frame, offset
    )
    return contract.AttemptEnded(
        request=request,
        attempt=attempt,
        engine=engine_number(engine),
        outcome=lookup(_OUTCOMES, outcome, "outcome"),
        final=final != 0,
        latency=latency,
        work=(bill >> BILL_WORK_SHIFT) * US_PER_MS,
        memory_mb=(bill & BILL_MEMORY_MASK) * BILL_MEMORY_MB,
        load_report=tuple(report[:count]),
    )


def decode_request(frame: bytes, offset: int) -> contract.RequestReceived:
    """Decode a received request."""
    _, request, class_index, _, key, deadline, cost, memory_mb, group, flags = REQUEST.unpack_from(
        frame, offset
    )
    return contract.RequestReceived(
        request=request,
        class_index=class_index,
        deadline=deadline,
        key=key,
        cost=cost if flags & REQUEST_HAS_COST else 0,
        memory_mb=memory_mb,
        table_group=int(group),
        is_client_retry=bool(flags & REQUEST_IS_RETRY),
    )


def decode_alarm(frame: bytes, offset: int) -> contract.TimerFired:
    """Decode the expiration of a timer."""
    return contract.TimerFired(ALARM.unpack_from(frame, offset)[1])


def decode_hint(frame: bytes, offset: int) -> contract.AttemptProgress | None:
    """Decode a progress notification of an attempt; None for kinds that the decisions do not use."""
    _, request, attempt, engine, value, kind = HINT.unpack_from(frame, offset)
    if kind not in _PROGRESS_KINDS:
        return None
    return contract.AttemptProgress(request, attempt, engine_number(engine), _PROGRESS_KINDS[kind], value)


def decode_client_disconnected(frame: bytes, offset: int) -> contract.ClientDisconnected:
    """Decode the disconnection of a client."""
    return contract.ClientDisconnected(CLIENT_DISCONNECTED.unpack_from(frame, offset)[1])


def decode_pong(frame: bytes, offset: int) -> contract.HealthCheckEnded:
    """Decode the result of a health check."""
    _, engine, outcome, latency, count, *report = PONG.unpack_from(frame, offset)
    return contract.HealthCheckEnded(
        engine_number(engine), lookup(_OUTCOMES, outcome, "outcome"), latency, tuple(report[:count])
    )


def decode_directory_update(
    frame: bytes, offset: int, catalogues: Mapping[int, tuple[contract.EngineListEntry, ...]]
) -> contract.EngineListReceived:
    """Decode an update of the engine list; its entries are those of an earlier catalogue."""
    _, number, _, catalogue = DIRECTORY_UPDATE.unpack_from(frame, offset)
    kind = lookup(_LIST_KINDS, number, "list kind")
    if kind is contract.EngineListKind.FAILED:
        return contract.EngineListReceived(kind)
    return contract.EngineListReceived(kind, lookup(catalogues, catalogue, "list"))


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
    """The encoded actions of one batch: the records, and the tail with the texts of the records."""

    __slots__ = ("_records", "_texts")

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._texts = bytearray()

    def encode(self, batch: int) -> bytes:
        """Return the frame that answers the batch with this number."""
        size = REPLY_HEAD.size + ACTION_BYTES * len(self._records) + len(self._texts)
        head = REPLY_HEAD.pack(size, len(self._records), batch)
        return head + b"".join(self._records) + bytes(self._texts)

    def add_crash(self, instance: int, text: str) -> None:
        """Add the crash of an instance, with a description of the exception."""
        self._add_text(ActionCode.CRASH, instance, text)

    def add(self, instance: int, action: contract.Action) -> None:
        """Add one action of an instance; raises `TypeError` for an unknown type of action."""
        if isinstance(action, contract.StartAttempt):
            engine = action.engine.to_bytes(ENGINE_BYTES, "big")
            timeout = min(action.timeout, MAX_U32)
            self._records.append(_pack_start_attempt(instance, action.request, engine, timeout))
        elif isinstance(action, contract.StartTimer):
            self._records.append(_pack_timer(instance, min(action.after, MAX_U32), action.token))
        elif isinstance(action, contract.SetAttemptResources):
            self._records.append(_pack_resources(instance, action.request, action.grant_mb, action.priority))
        elif isinstance(action, contract.CancelAttempt):
            self._records.append(_pack_cancel(instance, action.request, action.attempt))
        elif isinstance(action, contract.RejectRequest):
            self._records.append(_pack_reject(instance, action.request, _NO_RETRY_AFTER))
        elif isinstance(action, contract.FailRequest):
            self._records.append(_pack_fail(instance, action.request))
        elif isinstance(action, contract.Subscribe):
            self._records.append(_pack_subscribe(instance, _SUBSCRIBE_ON))
        elif isinstance(action, contract.Log):
            self._add_text(ActionCode.LOG, instance, action.text)
        else:
            raise TypeError(f"action type {type(action).__name__} has no encoding in the wire format")

    def _add_text(self, code: ActionCode, instance: int, text: str) -> None:
        raw = text.encode()
        self._records.append(_TEXT.pack(code, instance, len(self._texts), len(raw)))
        self._texts += raw
