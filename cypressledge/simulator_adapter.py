"""Runs the decision module in the simulator: events on standard input, actions on standard output.

Run with `python -m cypressledge.simulator_adapter`. It hosts one WorkloadManager per instance, and makes no
decisions itself. The wire format is defined in `cypressledge.simulator_wire`.
"""

import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

from cypressledge import simulator_wire as wire
from cypressledge.decisions import contract
from cypressledge.decisions.manager import WorkloadManager
from cypressledge.settings import SettingsError, parse_settings_json
from cypressledge.simulator_wire import EventCode, WireError

EXIT_BAD_INPUT = 2  # exit status if the input is not in the wire format
_BATCH_NUMBER_OFFSET = wire.FRAME_HEAD.size - 2 * wire.LENGTH.size  # bytes, in a frame without its length

Decoder = Callable[[bytes, int], contract.Event | None]

_DECODERS: dict[int, Decoder] = {
    EventCode.ANSWER: wire.decode_answer,
    EventCode.REQUEST: wire.decode_request,
    EventCode.ALARM: wire.decode_alarm,
    EventCode.HINT: wire.decode_hint,
    EventCode.CLIENT_DISCONNECTED: wire.decode_client_disconnected,
    EventCode.PONG: wire.decode_pong,
}


class Batch:
    """One frame of events while it is processed, with the decoded events by instance and the reply so far."""

    __slots__ = ("frame", "now", "tail", "events", "reply")

    def __init__(self, frame: bytes, now: int, tail: int) -> None:
        self.frame = frame
        self.now = now
        self.tail = tail  # offset of the variable-size content after the records
        self.events: dict[int, list[contract.Event]] = {}
        self.reply = wire.Reply()


class SimulatorAdapter:
    """The instances of one process, and the numbered engine catalogues that they share."""

    def __init__(self) -> None:
        self.managers: dict[int, WorkloadManager] = {}
        self._catalogues: dict[int, tuple[contract.EngineListEntry, ...]] = {}

    def handle_batch(self, frame: bytes) -> bytes:
        """Process one frame of events, and return the frame that answers it.

        Raises `WireError` for a malformed frame."""
        _, now, count, number = wire.FRAME_HEAD.unpack_from(frame)
        tail = wire.FRAME_HEAD.size + wire.EVENT_BYTES * count
        if tail > len(frame):
            raise WireError(f"{count} records do not fit into {len(frame)} bytes")
        batch = Batch(frame, now, tail)
        for offset in range(wire.FRAME_HEAD.size, tail, wire.EVENT_BYTES):
            self._read_record(batch, offset)
        for instance, events in batch.events.items():
            self._run(batch, instance, events)
        return batch.reply.encode(number)

    def _run(self, batch: Batch, instance: int, events: list[contract.Event]) -> None:
        """Pass an instance its events; an exception is answered by a crash record, which ends its run."""
        try:
            manager = self.managers.get(instance)
            actions = manager.handle(batch.now, events) if manager is not None else ()
        except Exception as err:
            traceback.print_exc()
            batch.reply.add_crash(instance, f"{type(err).__name__}: {err}")
            return
        for action in actions:
            batch.reply.add(instance, action)

    def _read_record(self, batch: Batch, offset: int) -> None:
        """Decode one record; records that are irrelevant to the decisions are validated and skipped."""
        frame = batch.frame
        code = frame[offset]
        decode = _DECODERS.get(code)
        if decode is not None:
            event = decode(frame, offset)
        elif code == EventCode.DIRECTORY_UPDATE:
            event = wire.decode_directory_update(frame, offset, self._catalogues)
        else:
            self._read_control_record(batch, offset, code)
            return
        if event is not None:
            batch.events.setdefault(wire.INSTANCE.unpack_from(frame, offset)[0], []).append(event)

    def _read_control_record(self, batch: Batch, offset: int, code: int) -> None:
        """Handle a record that is no event of the decision module; raises `WireError` for an unknown one."""
        frame = batch.frame
        if code == EventCode.CATALOG:
            number, tail_offset, count = wire.CATALOG.unpack_from(frame, offset)
            raw = wire.tail_slice(frame, batch.tail, tail_offset, count * wire.CATALOG_ENTRY.size)
            self._catalogues[number] = wire.decode_entries(raw)
        elif code == EventCode.START:
            self._start(batch, offset)
        elif code == EventCode.SHUTDOWN:
            instance = wire.INSTANCE.unpack_from(frame, offset)[0]
            self.managers.pop(instance, None)
            batch.events.pop(instance, None)
        elif code == EventCode.PEER_MESSAGE:
            wire.tail_slice(
                frame, batch.tail, *wire.PEER_MESSAGE.unpack_from(frame, offset + wire.PEER_MESSAGE_OFFSET)
            )
        elif code != EventCode.STREAM_STARTED:
            raise WireError(f"unknown event code {code}")

    def _start(self, batch: Batch, offset: int) -> None:
        """Start an instance without state; settings with values out of range are reported as its crash."""
        instance, seed, tail_offset, size = wire.START.unpack_from(batch.frame, offset)
        batch.events[instance] = []
        try:
            settings = parse_settings_json(wire.tail_slice(batch.frame, batch.tail, tail_offset, size))
            self.managers[instance] = WorkloadManager(settings, seed)
        except ValueError as err:
            self.managers.pop(instance, None)
            traceback.print_exc()
            batch.reply.add_crash(instance, f"ValueError: {err}")


def _read_frame(source: BinaryIO, head: bytes) -> bytes:
    """Return the rest of a frame after its length; raises `WireError` if the input ends before its end."""
    if len(head) < wire.LENGTH.size:
        raise WireError(f"frame is cut short: {len(head)} of {wire.LENGTH.size} bytes of its length")
    size = wire.LENGTH.unpack(head)[0]
    if size < wire.FRAME_HEAD.size:
        raise WireError(f"frame length {size} is less than the header size {wire.FRAME_HEAD.size}")
    rest = source.read(size - wire.LENGTH.size)
    if len(rest) < size - wire.LENGTH.size:
        raise WireError(f"frame is cut short: {len(rest) + wire.LENGTH.size} of {size} bytes")
    return rest


def main() -> int:
    """Answer frames until the input ends, and return the exit status of the process."""
    adapter, source, sink = SimulatorAdapter(), sys.stdin.buffer, sys.stdout.buffer
    number = 0
    try:
        while head := source.read(wire.LENGTH.size):
            where = f"batch {number} of this run"
            rest = _read_frame(source, head)
            where = f"batch {wire.LENGTH.unpack_from(rest, _BATCH_NUMBER_OFFSET)[0]}"
            sink.write(adapter.handle_batch(head + rest))
            sink.flush()
            number += 1
    except (WireError, SettingsError) as err:
        print(f"cypressledge.simulator_adapter: {where}: {err}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
