"""The connections of brokers that subscribe to this control process. Uses gevent."""

import itertools
from typing import Protocol

import gevent

from cypressledge.controlplane.framing import FramedConnection
from cypressledge.controlplane.inbox import Inbox
from cypressledge.controlplane.messages import Disconnect, Hello, Message, encode
from cypressledge.net import socket_io

MAX_FRAME_BYTES = 64 << 10  # bytes; the largest frame of a broker after its first one
# Seconds; the timeout of one read. A peer may be silent for longer: the read is repeated until the connection
# ends.
MAX_SILENCE_S = 60.0
FINAL_READ_TIMEOUT_S = 1.0  # seconds; how long frames of a rejected peer are still read
# ms; how long a broker stays away from a control process that is stopping or whose disk fails.
RETRY_AFTER_MS = 5_000


class BrokerHandler(Protocol):
    """Decides what is sent to brokers; called by the event loop of the control process. `now` in µs."""

    def connected(self, now: int, conn: int, hello: Hello) -> None:
        """Handle the first frame of a broker."""

    def received(self, now: int, conn: int, message: Message) -> None:
        """Handle a further frame of a broker."""

    def disconnected(self, now: int, conn: int) -> None:
        """Handle the end of a broker's connection."""


class BrokerConnections:
    """The open connections of brokers, by connection number."""

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox
        self._open: dict[int, FramedConnection] = {}
        self._numbers = itertools.count(1)
        # The last encoded message: the same snapshot or change is sent to many brokers.
        self._encoded_message: Message | None = None
        self._encoded = b""

    def serve(self, hello: Hello, frames: FramedConnection, handler: BrokerHandler) -> None:
        """Read a broker's frames until its connection ends; then raise `ConnectionEndedError`."""
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
        """Queue a message for a broker; drop it if the connection has ended."""
        frames = self._open.get(number)
        if frames is None:
            return
        if self._encoded_message is not message:
            self._encoded_message, self._encoded = message, encode(message)
        frames.send(message, self._encoded)

    def end(self, number: int, message: Disconnect) -> None:
        """Send the last message, and close the connection after `LINGER_TIMEOUT`.

        Frames that arrive until then are read and dropped, so that unread data does not reset the connection.
        """
        frames = self._open.pop(number, None)
        if frames is not None:
            frames.send(message)
            frames.finish_sending()
            gevent.spawn_later(socket_io.LINGER_TIMEOUT, frames.close)


def reject_connection(frames: FramedConnection, message: Disconnect) -> None:
    """Send a peer the reason for its rejection, and read what it still sends.

    Raises `ConnectionEndedError`.
    """
    frames.send(message)
    frames.finish_sending()
    frames.receive(FINAL_READ_TIMEOUT_S)
