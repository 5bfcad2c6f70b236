"""Commands to engines on the line protocol, recorded at an engine in this process."""

import gevent
from gevent import socket

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
from cypressledge.broker.requests import Attempt, Endpoint, Query, Request
from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.lab.site import SETTINGS
from cypressledge.net.line_protocol.transport import LineProtocolTransport
from cypressledge.settings import parse_settings
from tests.fakes.fake_engines import ROW
from tests.fakes.support import WAIT


class LineProtocolPeer:
    """An engine on lines in this process, on gevent's sockets."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.received, self.conn = b"", None
        gevent.spawn(self._run)

    def _run(self):
        self.conn, _ = self.listener.accept()
        while chunk := self.conn.recv(65536):
            self.received += chunk

    def take(self, end: bytes) -> bytes:
        """What has come, once it ends so."""
        with gevent.Timeout(WAIT):
            while not self.received.endswith(end):
                gevent.sleep(0.005)
        received, self.received = self.received, b""
        return received


def line_protocol_messages() -> dict[str, bytes]:
    """All commands to engines on lines."""
    core = BrokerCore(parse_settings(SETTINGS), 1, Counters())
    transport = LineProtocolTransport(core, Limits(64, 64, 32, 5.0, 30.0, 0, 0))
    core.add_transport("lines", transport)
    transport.max_connections = 8
    peer = LineProtocolPeer()
    endpoint = Endpoint(7, "s-1", peer.listener.getsockname(), "lines")
    core.engines.ready_endpoints[7] = endpoint
    messages = {}

    def attempt(name, number, **more):
        now = monotonic_us()
        query = Query(name, 0, "order-load", "sahel", b"INSERT INTO t VALUES (1)", now + 5_000_000, **more)
        request = Request(number, query, None)
        return Attempt(request, 0, endpoint, now, now + 5_000_000, now)

    full = attempt("00000000000000a1", 1, key="once-1")
    full.request.grant_mb, full.request.priority = 512.4, 2
    transport.send(full)
    messages["lines: want with all fields"] = peer.take(b"(1)\r\n")
    bare = attempt("00000000000000a2", 2)
    transport.send(bare)
    messages["lines: want with no optional field"] = peer.take(b"(1)\r\n")
    full.request.priority = 0
    transport.update_resources(full)
    messages["lines: hurry"] = peer.take(b"\r\n")
    transport.cancel(full)
    messages["lines: never_mind"] = peer.take(b"\r\n")
    peer.conn.sendall(b"00000000000000a2 200 count=3 %d\r\n%s\r\n" % (len(ROW), ROW))
    messages["lines: turn, one for each further page"] = peer.take(b" 2\r\n")
    transport.cancel(bare)
    messages["lines: shut"] = peer.take(b"\r\n")
    return messages
