"""Engine discovery: polls SRV records over UDP and publishes changed engine lists."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
from gevent import Timeout, socket
from gevent.event import Event

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.discovered_engine import DiscoveredEngine
from cypressledge.broker.metrics import log
from cypressledge.clock import monotonic_us
from cypressledge.decisions.contract import EngineListKind, EngineState
from cypressledge.net.engine_naming import EngineNaming
from cypressledge.net.socket_io import Address

SERVICE_NAME = "_app._tcp.cluster.lan"
# Seconds between the starts of two polls. The broker is expected to know what the server answers, so a change
# must not wait for long.
POLL_INTERVAL = 0.4
MIN_POLL_PAUSE = 0.05  # seconds; minimum pause between two polls, however long the first one took
QUERY_TIMEOUTS = (0.1, 0.1, 0.15)  # seconds to wait for a valid answer to each query of a poll
AFTER_INVALID_TIMEOUT = 0.02  # seconds to wait for a valid answer after an invalid one, before the repeat
UNREACHABLE_POLLS = 3  # consecutive polls without a valid answer after which the server is unreachable
MAX_DATAGRAM_SIZE = 65535  # bytes
Answer = TypeVar("Answer")


class InvalidRecordError(Exception):
    """DNS records that are invalid or incomplete, or no valid answer at all."""


class NameServerPoller:
    """Polls a name server at intervals; the last list stays if it is unreachable or answers are invalid."""

    def __init__(self, core: BrokerCore, server: Address | None, naming: EngineNaming, name: str) -> None:
        """`name` identifies the poller in log lines and counters."""
        self.core, self.server, self.naming, self.name = core, server, naming, name
        self.failed_polls = 0  # consecutive
        self.server_changed = Event()

    def run(self) -> None:
        """Poll, and log when the server becomes unreachable or reachable. Never returns."""
        while True:
            began = monotonic_us()
            self.server_changed.clear()
            if self.server is None:
                self.server_changed.wait()
                continue
            try:
                self.poll()
                self._handle_success()
            except Exception as err:  # whatever a datagram contains, the next one may be valid
                self._handle_failure(err)
            elapsed = (monotonic_us() - began) / 1e6
            self.server_changed.wait(max(POLL_INTERVAL - elapsed, MIN_POLL_PAUSE))

    def set_server(self, server: Address | None) -> None:
        """Poll another server from now on, starting immediately; None stops polling."""
        if server != self.server:
            log(f"{self.name}: now polling {'%s:%d' % server if server else 'no server'}")
            self.server, self.failed_polls = server, 0
            self.server_changed.set()

    def poll(self) -> None:
        """Query once and publish a changed list to the core. Raises if there is no valid answer."""
        raise NotImplementedError

    def exchange(self, query: dns.message.Message, read: Callable[[bytes], Answer]) -> Answer:
        """Send the query and return the result of `read` for the first valid answer; `read` raises otherwise.

        Answers may be lost, corrupt, outdated or have another id, so the query is repeated well within the
        poll interval. A valid answer is accepted after an invalid one, and after the repeat was sent."""
        wire, server = query.to_wire(), self.server
        error: Exception = InvalidRecordError("no answer")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.connect(server)
            for timeout in QUERY_TIMEOUTS:
                if self.server != server:
                    break  # the server was replaced meanwhile; the next poll queries the new one
                sock.send(wire)
                until = monotonic_us() + int(timeout * 1e6)
                while (raw := _receive_datagram(sock, until)) is not None and self.server == server:
                    try:
                        if raw[:2] == wire[:2]:
                            return read(raw)
                    except Exception as err:
                        error = err
                        until = min(until, monotonic_us() + int(AFTER_INVALID_TIMEOUT * 1e6))
                        self.core.counters.add(f"{self.name}_invalid_answers")
        raise error

    def _handle_success(self) -> None:
        if self.failed_polls >= UNREACHABLE_POLLS:
            log(f"{self.name}: reachable again")
        self.failed_polls = 0

    def _handle_failure(self, err: Exception) -> None:
        self.core.counters.add(f"{self.name}_failures")
        self.failed_polls += 1
        if self.failed_polls == UNREACHABLE_POLLS:
            log(f"{self.name}: unreachable, the last list is kept ({type(err).__name__} {err})")


def _receive_datagram(sock: socket.socket, until: int) -> bytes | None:
    """Return the next datagram; None if none is received before `until` (µs, monotonic)."""
    with Timeout(max(until - monotonic_us(), 1000) / 1e6, False):
        return sock.recv(MAX_DATAGRAM_SIZE)
    return None


class DirectoryPoller(NameServerPoller):
    """Polls the platform's directory, which answers with complete lists and a serial number."""

    def __init__(self, core: BrokerCore, server: Address | None, naming: EngineNaming, serial: int) -> None:
        super().__init__(core, server, naming, "directory")
        self.serial = serial
        self.last_answer = b""  # without its message id
        self.query_name = dns.name.from_text(SERVICE_NAME)

    def poll(self) -> None:
        """Query the directory once. Raises if there is no valid answer."""
        query = dns.message.make_query(self.query_name, dns.rdatatype.SRV)
        query.flags = dns.flags.Flag(0)
        self.exchange(query, lambda raw: self.read_answer(query, raw))

    def read_answer(self, query: dns.message.Message, raw: bytes) -> None:
        """Publish the list of an answer if it is new. Raises if the answer is invalid."""
        if raw[2:] == self.last_answer:
            return
        answer = parse_answer(query, raw)
        serial = next((rr[0].serial for rr in answer.authority if rr.rdtype == dns.rdatatype.SOA), None)
        if serial is None:
            raise InvalidRecordError("answer has no SOA record, so the list has no serial")
        if serial < self.serial:
            self.core.counters.add("directory_outdated")
            raise InvalidRecordError(f"list {serial} is older than {self.serial}")
        self.update(serial, read_engines(answer, self.query_name))
        self.last_answer = raw[2:]

    def update(self, serial: int, engines: Iterable[DiscoveredEngine]) -> None:
        """Publish a complete list if its serial is higher than that of the last list."""
        if serial > self.serial:
            self.serial = serial
            self.naming.publish(self.core, EngineListKind.FULL, engines)


def parse_answer(query: dns.message.Message, raw: bytes) -> dns.message.Message:
    """Parse a datagram. Raises `InvalidRecordError` if it does not answer this query or is truncated."""
    answer = dns.message.from_wire(raw)
    if not query.is_response(answer) or answer.rcode() != dns.rcode.NOERROR:
        raise InvalidRecordError(f"no answer to the query: {dns.rcode.to_text(answer.rcode())}")
    if answer.flags & dns.flags.TC:
        raise InvalidRecordError("answer is truncated")
    return answer


def read_attributes(record: Any) -> dict[str, str]:
    """Return the `name=value` strings of a TXT record as a dict."""
    return dict(s.decode().split("=", 1) for s in record.strings if b"=" in s)


def read_engines(answer: dns.message.Message, name: dns.name.Name) -> list[DiscoveredEngine]:
    """Return the engines in an answer's SRV, A and TXT records. Raises `InvalidRecordError`."""
    services: list[Any] = []
    addresses: dict[dns.name.Name, str] = {}
    attributes: dict[dns.name.Name, dict[str, str]] = {}
    for rrset in [*answer.answer, *answer.additional]:
        if rrset.rdtype == dns.rdatatype.SRV and rrset.name == name:
            services += rrset
        elif rrset.rdtype == dns.rdatatype.A:
            addresses[rrset.name] = rrset[0].address
        elif rrset.rdtype == dns.rdatatype.TXT:
            attributes[rrset.name] = read_attributes(rrset[0])
    return [_engine(srv, addresses, attributes.get(srv.target, {})) for srv in services]


def _engine(srv: Any, addresses: dict[dns.name.Name, str], info: dict[str, str]) -> DiscoveredEngine:
    if srv.target not in addresses:
        raise InvalidRecordError(f"no A record for the SRV target {srv.target}")
    labels = [label.decode() for label in srv.target.labels]
    return DiscoveredEngine(
        name=labels[0],
        host=addresses[srv.target],
        port=srv.port,
        state=EngineState.DRAINING if srv.priority else EngineState.READY,
        kind=info.get("kind", ""),
        zone=labels[1] if len(labels) > 1 else "",
        cell=int(info.get("cell") or 0),
        started_at_ms=int(info.get("started") or 0),
    )
