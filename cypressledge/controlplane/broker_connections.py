"""The connections of brokers that follow this control process. Uses gevent."""

import itertools
from typing import Protocol

import gevent

from cypressledge.controlplane.framing import FramedConnection
from cypressledge.controlplane.inbox import Inbox
from cypressledge.controlplane.messages import Disconnect, Hello, Message, encode
from cypressledge.net import socket_io

MAX_FRAME_BYTES = 64 << 10  # of a broker's frames after its first
MAX_SILENCE_S = 60.0  # between two frames of a peer; it may be silent for longer: only its end is waited for
FINAL_READ_TIMEOUT_S = 1.0  # for what a rejected peer still sends
RETRY_AFTER_MS = 5_000  # that a broker stays away from a control process that stops, or whose disk refuses


class BrokerHandler(Protocol):
    """Who decides what brokers are sent, called in the owner's greenlet; `now` in µs."""

    def connected(self, now: int, conn: int, hello: Hello) -> None:
        """A broker's first frame has come."""

    def received(self, now: int, conn: int, message: Message) -> None:
        """Another frame of a broker."""

    def disconnected(self, now: int, conn: int) -> None:
        """A connection is down."""


class BrokerConnections:
    """The open connections, by number."""

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox
        self._open: dict[int, FramedConnection] = {}
        self._numbers = itertools.count(1)
        # Encoded last, as one snapshot or change goes to many brokers.
        self._encoded_message: Message | None = None
        self._encoded = b""

    def serve(self, hello: Hello, frames: FramedConnection, handler: BrokerHandler) -> None:
        """Read what a broker sends until its connection ends. Raises `ConnectionEndedError` then."""
        frames.set_max_frame_bytes(MAX_FRAME_BYTES)
        number = next(self._numbers)
        self._open[number] = frames
        self._inbox.put(handler.connected, number, hello)
        try:
            while True:
                message = frames.receive(MAX_SILENCE_S)
                if message is not None and not frames.is_finishing:
                    self._inbox.put(handler.received, number, message)
        finally:
            if self._open.pop(number, None) is not None:
                self._inbox.put(handler.disconnected, number)

    def send(self, number: int, message: Message) -> None:
        """Queue a message for a broker; dropped where its connection has ended."""
        frames = self._open.get(number)
        if frames is None:
            return
        if self._encoded_message is not message:
            self._encoded_message, self._encoded = message, encode(message)
        frames.send(message, self._encoded)

    def end(self, number: int, message: Disconnect) -> None:
        """Send the last message; what the broker still says is read, and dropped, for a moment."""
        frames = self._open.pop(number, None)
        if frames is not None:
            frames.send(message)
            frames.finish_sending()
            gevent.spawn_later(socket_io.LINGER_TIMEOUT, frames.close)


def reject_connection(frames: FramedConnection, message: Disconnect) -> None:
    """Send a peer why it is rejected, and read what it still sends. Raises `ConnectionEndedError`."""
    frames.send(message)
    frames.finish_sending()
    frames.receive(FINAL_READ_TIMEOUT_S)
