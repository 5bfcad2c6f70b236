"""The decision module on the simulator's wire: events on standard input, actions on standard output.

Run with `python -m cypressledge.simulator_adapter`. It hosts one WorkloadManager per instance and decides
nothing.
"""

import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

from cypressledge import simulator_wire as wire
from cypressledge.decisions import contract as c
from cypressledge.decisions.manager import WorkloadManager
from cypressledge.settings import SettingsError, parse_settings_json
from cypressledge.simulator_wire import EventCode, WireError

EXIT_BAD_INPUT = 2
_BATCH_NUMBER_AT = wire.FRAME_HEAD.size - 2 * wire.LENGTH.size  # in a frame without its length

Decoder = Callable[[bytes, int], c.Event | None]

_DECODERS: dict[int, Decoder] = {
    EventCode.ANSWER: wire.decode_answer,
    EventCode.REQUEST: wire.decode_request,
    EventCode.ALARM: wire.decode_alarm,
    EventCode.HINT: wire.decode_hint,
    EventCode.CLIENT_DISCONNECTED: wire.decode_client_disconnected,
    EventCode.PONG: wire.decode_pong,
}


class Batch:
    """One frame of events while it is read: what each instance is to be told, and the reply so far."""

    __slots__ = ("frame", "now", "tail", "events", "reply")

    def __init__(self, frame: bytes, now: int, tail: int) -> None:
        self.frame = frame
        self.now = now
        self.tail = tail  # where the content without fixed size begins
        self.events: dict[int, list[c.Event]] = {}
        self.reply = wire.Reply()


class SimulatorAdapter:
    """The instances of one process, and the numbered catalogues of engines that they share."""

    def __init__(self) -> None:
        self.managers: dict[int, WorkloadManager] = {}
        self._catalogues: dict[int, tuple[c.EngineListEntry, ...]] = {}

    def handle_batch(self, frame: bytes) -> bytes:
        """Answer one frame of events."""
        _, now, count, number = wire.FRAME_HEAD.unpack_from(frame)
        tail = wire.FRAME_HEAD.size + wire.EVENT_BYTES * count
        if tail > len(frame):
            raise WireError(f"{count} records do not fit into {len(frame)} bytes")
        batch = Batch(frame, now, tail)
        for at in range(wire.FRAME_HEAD.size, tail, wire.EVENT_BYTES):
            self._read_record(batch, at)
        for instance, events in batch.events.items():
            self._run(batch, instance, events)
        return batch.reply.encode(number)

    def _run(self, batch: Batch, instance: int, events: list[c.Event]) -> None:
        """Hand an instance its events; an exception of its module becomes a record that ends its day."""
        try:
            manager = self.managers.get(instance)
            actions = manager.handle(batch.now, events) if manager is not None else ()
        except Exception as err:
            traceback.print_exc()
            batch.reply.add_crash(instance, f"{type(err).__name__}: {err}")
            return
        for action in actions:
            batch.reply.add(instance, action)

    def _read_record(self, batch: Batch, at: int) -> None:
        """Take one event; those that concern no decision are checked and skipped."""
        frame = batch.frame
        code = frame[at]
        decode = _DECODERS.get(code)
        if decode is not None:
            event = decode(frame, at)
        elif code == EventCode.DIRECTORY_UPDATE:
            event = wire.decode_directory_update(frame, at, self._catalogues)
        else:
            self._read_control_record(batch, at, code)
            return
        if event is not None:
            batch.events.setdefault(wire.INSTANCE.unpack_from(frame, at)[0], []).append(event)

    def _read_control_record(self, batch: Batch, at: int, code: int) -> None:
        """Take a record that is no event of the decision module."""
        frame = batch.frame
        if code == EventCode.CATALOG:
            number, offset, count = wire.CATALOG.unpack_from(frame, at)
            raw = wire.tail_slice(frame, batch.tail, offset, count * wire.CATALOG_ENTRY.size)
            self._catalogues[number] = wire.decode_entries(raw)
        elif code == EventCode.START:
            self._start(batch, at)
        elif code == EventCode.SHUTDOWN:
            instance = wire.INSTANCE.unpack_from(frame, at)[0]
            self.managers.pop(instance, None)
            batch.events.pop(instance, None)
        elif code == EventCode.PEER_MESSAGE:
            wire.tail_slice(
                frame, batch.tail, *wire.PEER_MESSAGE.unpack_from(frame, at + wire.PEER_MESSAGE_AT)
            )
        elif code != EventCode.STREAM_STARTED:
            raise WireError(f"unknown event code {code}")

    def _start(self, batch: Batch, at: int) -> None:
        """An instance starts with no state; settings that no site can mean are its crash."""
        instance, seed, offset, size = wire.START.unpack_from(batch.frame, at)
        batch.events[instance] = []
        try:
            settings = parse_settings_json(wire.tail_slice(batch.frame, batch.tail, offset, size))
            self.managers[instance] = WorkloadManager(settings, seed)
        except ValueError as err:
            self.managers.pop(instance, None)
            traceback.print_exc()
            batch.reply.add_crash(instance, f"ValueError: {err}")


def _read_frame(source: BinaryIO, head: bytes) -> bytes:
    """The rest of a frame whose length has come."""
    if len(head) < wire.LENGTH.size:
        raise WireError("frame is cut short")
    size = wire.LENGTH.unpack(head)[0]
    if size < wire.FRAME_HEAD.size:
        raise WireError(f"frame length {size} is under a header's")
    rest = source.read(size - wire.LENGTH.size)
    if len(rest) < size - wire.LENGTH.size:
        raise WireError(f"frame is cut short: {len(rest) + wire.LENGTH.size} of {size} bytes")
    return rest


def main() -> int:
    """Answer frames until the input ends."""
    adapter, source, sink = SimulatorAdapter(), sys.stdin.buffer, sys.stdout.buffer
    number = 0
    try:
        while head := source.read(wire.LENGTH.size):
            where = f"batch {number} of this run"
            rest = _read_frame(source, head)
            where = f"batch {wire.LENGTH.unpack_from(rest, _BATCH_NUMBER_AT)[0]}"
            sink.write(adapter.handle_batch(head + rest))
            sink.flush()
            number += 1
    except (WireError, SettingsError) as err:
        print(f"cypressledge.simulator_adapter: {where}: {err}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
