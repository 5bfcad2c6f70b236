"""The wire: frames of events on standard input, frames of actions on standard output.

Run with `python -m cypressledge.simulator_adapter`. It hosts one WorkloadManager per instance and decides
nothing.
"""

import struct
import sys
import traceback

from cypressledge.control import WorkloadManager
from cypressledge.decisions import contract as c
from cypressledge.settings import SettingsError, parse_settings_json

HEAD = struct.Struct("<IQII")
REPLY = struct.Struct("<III")
EVENT_BYTES, ACTION_BYTES, ENTRY_BYTES = 48, 24, 24
U32 = struct.Struct("<I")
ENTRY = struct.Struct("<HHQBB6sf")
START = struct.Struct("<xIQII")
LIST = struct.Struct("<xHII")
MEMBERS = struct.Struct("<xIBQH")
REQUEST = struct.Struct("<xIIBHQQIffH")
ENDED = struct.Struct("<xIIBIH6sIBB4f")
NOTE = struct.Struct("<xIIH6sfB")
GONE = struct.Struct("<xII")
ALARM = struct.Struct("<xIQ")
PONG = struct.Struct("<xI6sBIB4f")
SUBMIT = struct.Struct("<BII6sI5x")
TERMS = struct.Struct("<BIIfB10x")
CANCEL = struct.Struct("<BIIH13x")
REFUSE = struct.Struct("<BIII11x")
FAIL = struct.Struct("<BII15x")
TIMER = struct.Struct("<BIIQ7x")
WATCH = struct.Struct("<BIB18x")
TEXT = struct.Struct("<BIII11x")
U32_MAX = 0xFFFFFFFF
OUTCOMES = {o.value: o for o in c.Outcome}
STATES = {s.value: s for s in c.EngineState}
NOTES = {n.value: n for n in c.ProgressKind}
LISTS = {k.value: k for k in c.EngineListKind}


class WireError(Exception):
    """Input that breaks the wire's rules."""


def engine_id(raw: bytes) -> int:
    """An engine's six bytes as one number."""
    return int.from_bytes(raw, "big")


class Host:
    """The instances of one process and the numbered lists they are told of."""

    def __init__(self) -> None:
        self.managers: dict[int, WorkloadManager] = {}
        self.lists: dict[int, tuple[c.EngineListEntry, ...]] = {}

    def batch(self, frame: bytes) -> bytes:
        """Answer one frame of events."""
        _, now, count, seq = HEAD.unpack_from(frame)
        tail = HEAD.size + EVENT_BYTES * count
        if tail > len(frame):
            raise WireError(f"{count} records do not fit into {len(frame)} bytes")
        told: dict[int, list[c.Event]] = {}
        records: list[bytes] = []
        texts = bytearray()
        for at in range(HEAD.size, tail, EVENT_BYTES):
            self._event(frame, at, tail, told, now, records, texts)
        for who, events in told.items():
            self._run(who, now, events, records, texts)
        size = REPLY.size + ACTION_BYTES * len(records) + len(texts)
        return REPLY.pack(size, len(records), seq) + b"".join(records) + bytes(texts)

    def _run(self, who, now, events, records, texts) -> None:
        try:
            actions = self.managers[who].handle(now, events) if who in self.managers else ()
        except Exception as err:
            traceback.print_exc()
            self._text(69, who, f"{type(err).__name__}: {err}", records, texts)
            return
        for action in actions:
            self._action(who, action, records, texts)

    def _event(self, frame, at, tail, told, now, records, texts) -> None:
        code = frame[at]
        if code == 11:
            number, offset, n = LIST.unpack_from(frame, at)
            self.lists[number] = self._entries(_part(frame, tail, offset, n * ENTRY_BYTES))
            return
        if code == 0:
            who, seed, offset, size = START.unpack_from(frame, at)
            told[who] = []
            try:
                settings = parse_settings_json(_part(frame, tail, offset, size))
                self.managers[who] = WorkloadManager(settings, seed)
            except ValueError as err:
                self.managers.pop(who, None)
                traceback.print_exc()
                self._text(69, who, f"ValueError: {err}", records, texts)
            return
        who = U32.unpack_from(frame, at + 1)[0]
        if code == 9:
            self.managers.pop(who, None)
            told.pop(who, None)
            return
        event = self._decode(code, frame, at, now, tail)
        if event is not None:
            told.setdefault(who, []).append(event)

    def _decode(self, code, frame, at, now, tail):
        if code == 4:
            _, req, final, took, hop, eng, bill, end, n, *load = ENDED.unpack_from(frame, at)
            return c.AttemptEnded(
                req,
                hop,
                engine_id(eng),
                _of(OUTCOMES, end, "outcome"),
                final != 0,
                took,
                (bill >> 12) * 1000,
                (bill & 4095) * 4.0,
                tuple(load[:n]),
            )
        if code == 2:
            _, req, cls, _, key, due, cost, mb, group, flags = REQUEST.unpack_from(frame, at)
            return c.RequestReceived(
                req, cls, due, key, cost if flags & 1 else 0, mb, int(group), bool(flags & 2)
            )
        if code == 6:
            return c.TimerFired(ALARM.unpack_from(frame, at)[1])
        if code == 10:
            _, req, hop, eng, value, sort = NOTE.unpack_from(frame, at)
            return c.AttemptProgress(req, hop, engine_id(eng), NOTES[sort], value) if sort in NOTES else None
        if code == 5:
            return c.ClientDisconnected(GONE.unpack_from(frame, at)[1])
        if code == 1:
            _, kind, _, number = MEMBERS.unpack_from(frame, at)
            kind = _of(LISTS, kind, "list kind")
            if kind is c.EngineListKind.FAILED:
                return c.EngineListReceived(kind)
            return c.EngineListReceived(kind, _of(self.lists, number, "list"))
        if code == 7:
            _, eng, end, took, n, *load = PONG.unpack_from(frame, at)
            return c.HealthCheckEnded(engine_id(eng), _of(OUTCOMES, end, "outcome"), took, tuple(load[:n]))
        if code == 8:
            _part(frame, tail, *struct.unpack_from("<II", frame, at + 9))
            return None
        if code == 3:
            return None
        raise WireError(f"unknown event code {code}")

    @staticmethod
    def _entries(raw: bytes) -> tuple[c.EngineListEntry, ...]:
        return tuple(
            c.EngineListEntry(engine_id(eng), _of(STATES, state, "engine state"), kind, zone, cell, born)
            for zone, cell, born, state, kind, eng, _ in ENTRY.iter_unpack(raw)
        )

    @staticmethod
    def _text(code, who, text, records, texts) -> None:
        raw = text.encode()
        records.append(TEXT.pack(code, who, len(texts), len(raw)))
        texts += raw

    def _action(self, who, a, records, texts) -> None:
        kind = type(a)
        if kind is c.StartAttempt:
            engine = a.engine.to_bytes(6, "big")
            records.append(SUBMIT.pack(68, who, a.request, engine, min(a.timeout, U32_MAX)))
        elif kind is c.StartTimer:
            records.append(TIMER.pack(72, who, min(a.after, U32_MAX), a.token))
        elif kind is c.SetAttemptResources:
            records.append(TERMS.pack(67, who, a.request, a.grant_mb, a.priority))
        elif kind is c.CancelAttempt:
            records.append(CANCEL.pack(76, who, a.request, a.attempt))
        elif kind is c.RejectRequest:
            records.append(REFUSE.pack(71, who, a.request, 0))
        elif kind is c.FailRequest:
            records.append(FAIL.pack(74, who, a.request))
        elif kind is c.Subscribe:
            records.append(WATCH.pack(75, who, 1))
        elif kind is c.Log:
            self._text(66, who, a.text, records, texts)
        else:
            raise TypeError(f"no wire form for {kind.__name__}")


def _of(table, value, what):
    try:
        return table[value]
    except KeyError:
        raise WireError(f"unknown {what} {value}") from None


def _part(frame: bytes, tail: int, offset: int, size: int) -> bytes:
    if tail + offset + size > len(frame):
        raise WireError(f"tail offset {offset} with length {size} lies outside the frame")
    return frame[tail + offset : tail + offset + size]


def main() -> int:
    """Answer frames until the input ends."""
    host, source, sink = Host(), sys.stdin.buffer, sys.stdout.buffer
    number = 0
    try:
        while head := source.read(4):
            where = f"batch {number} of this run"
            if len(head) < 4:
                raise WireError("frame is cut short")
            size = U32.unpack(head)[0]
            if size < HEAD.size:
                raise WireError(f"frame length {size} is under a header's")
            rest = source.read(size - 4)
            if len(rest) < size - 4:
                raise WireError(f"frame is cut short: {len(rest) + 4} of {size} bytes")
            where = f"batch {U32.unpack_from(rest, 12)[0]}"
            sink.write(host.batch(head + rest))
            sink.flush()
            number += 1
    except (WireError, SettingsError) as err:
        print(f"cypressledge.simulator_adapter: {where}: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
