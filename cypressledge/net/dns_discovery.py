"""Discovery of engines: changes of the list, polled from SRV records over UDP."""

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
POLL_INTERVAL = 0.4  # seconds: what an answer holds counts as known to us, so it must not wait for long
MIN_POLL_PAUSE = 0.05  # seconds between two polls, however long the first one took
QUERY_TIMEOUTS = (0.1, 0.1, 0.15)  # seconds for a good answer, to a poll's first query and each repetition
AFTER_INVALID_TIMEOUT = 0.02  # seconds in which a good answer may follow a bad one, before the repetition
UNREACHABLE_POLLS = 3  # polls in a row without a good answer, from which the server counts as unreachable
MAX_DATAGRAM_SIZE = 65535  # bytes
Answer = TypeVar("Answer")


class InvalidRecordError(Exception):
    """Records or events that cannot be read."""


class NameServerPoller:
    """Polls a name server at intervals; one that is unreachable or answers nonsense changes nothing."""

    def __init__(self, core: BrokerCore, server: Address | None, naming: EngineNaming, name: str) -> None:
        """`name`: of the poller, in log lines and counters."""
        self.core, self.server, self.naming, self.name = core, server, naming, name
        self.failed_polls = 0  # in a row
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
            except Exception as err:  # whatever a datagram holds, the next one may be good
                self._handle_failure(err)
            elapsed = (monotonic_us() - began) / 1e6
            self.server_changed.wait(max(POLL_INTERVAL - elapsed, MIN_POLL_PAUSE))

    def set_server(self, server: Address | None) -> None:
        """Poll another server from now on, the first time at once."""
        if server != self.server:
            log(f"{self.name}: now polling {'%s:%d' % server if server else 'nobody'}")
            self.server, self.failed_polls = server, 0
            self.server_changed.set()

    def poll(self) -> None:
        """Query once, and hand what is new to the core. Raises where there is no good answer."""
        raise NotImplementedError

    def exchange(self, query: dns.message.Message, read: Callable[[bytes], Answer]) -> Answer:
        """What `read` returns for the first good answer; it raises on a bad one.

        Guards against answers that are lost, corrupt, old or under another id: the query is repeated well
        within the poll, and a good answer counts also behind a bad one or after its repetition was sent."""
        wire, server = query.to_wire(), self.server
        error: Exception = InvalidRecordError("no answer")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.connect(server)
            for timeout in QUERY_TIMEOUTS:
                if self.server != server:
                    break  # it has changed meanwhile: the next poll queries the new one
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
    """The next datagram, whatever it holds; None if none is received by then (µs, monotonic)."""
    with Timeout(max(until - monotonic_us(), 1000) / 1e6, False):
        return sock.recv(MAX_DATAGRAM_SIZE)
    return None


class DirectoryPoller(NameServerPoller):
    """Polls the platform's directory: complete lists with a serial."""

    def __init__(self, core: BrokerCore, server: Address | None, naming: EngineNaming, serial: int) -> None:
        super().__init__(core, server, naming, "directory")
        self.serial = serial
        self.last_answer = b""  # without its id
        self.query_name = dns.name.from_text(SERVICE_NAME)

    def poll(self) -> None:
        """Query once. Raises where there is no good answer."""
        query = dns.message.make_query(self.query_name, dns.rdatatype.SRV)
        query.flags = dns.flags.Flag(0)
        self.exchange(query, lambda raw: self.read_answer(query, raw))

    def read_answer(self, query: dns.message.Message, raw: bytes) -> None:
        """Publish the list of an answer, if it is new. Raises where it is no good answer."""
        if raw[2:] == self.last_answer:
            return
        answer = parse_answer(query, raw)
        serial = next((rr[0].serial for rr in answer.authority if rr.rdtype == dns.rdatatype.SOA), None)
        if serial is None:
            raise InvalidRecordError("no serial")
        if serial < self.serial:
            self.core.counters.add("directory_outdated")
            raise InvalidRecordError(f"list {serial} is older than {self.serial}")
        self.update(serial, read_engines(answer, self.query_name))
        self.last_answer = raw[2:]

    def update(self, serial: int, engines: Iterable[DiscoveredEngine]) -> None:
        """Publish a complete list, if its serial is higher than the last one's."""
        if serial > self.serial:
            self.serial = serial
            self.naming.publish(self.core, EngineListKind.FULL, engines)


def parse_answer(query: dns.message.Message, raw: bytes) -> dns.message.Message:
    """The answer. Raises `InvalidRecordError` if it does not answer this query or is truncated."""
    answer = dns.message.from_wire(raw)
    if not query.is_response(answer) or answer.rcode() != dns.rcode.NOERROR:
        raise InvalidRecordError(f"no answer to the query: {dns.rcode.to_text(answer.rcode())}")
    if answer.flags & dns.flags.TC:
        raise InvalidRecordError("answer is truncated")
    return answer


def read_attributes(record: Any) -> dict[str, str]:
    """A TXT record's name=value strings."""
    return dict(s.decode().split("=", 1) for s in record.strings if b"=" in s)


def read_engines(answer: dns.message.Message, name: dns.name.Name) -> list[DiscoveredEngine]:
    """The engines of an answer's SRV, A and TXT records. Raises `InvalidRecordError`."""
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
        raise InvalidRecordError(f"no address for {srv.target}")
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
