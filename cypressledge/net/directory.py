"""The directory: the list of the start, and its changes polled from SRV records over UDP."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
from gevent import Timeout, socket
from gevent.event import Event

from cypressledge.broker.core import Core, stable_hash
from cypressledge.broker.engine_start_times import EngineStartTimes
from cypressledge.broker.metrics import log
from cypressledge.broker.requests import Endpoint
from cypressledge.clock import monotonic_us, wall_offset_us
from cypressledge.decisions.contract import EngineListEntry, EngineListKind, EngineState

NAME = "_app._tcp.cluster.lan"
PERIOD = 0.4  # seconds between polls: what an answer holds counts as told, so it must not wait for long
ASKS = (0.1, 0.1, 0.15)  # seconds for a good answer, from the first ask of a poll and from each repeat of it
SPOILT = 0.02  # seconds in which a good answer may follow a bad one, before asking again
DOUBT = 4  # part of its warm-up by which an engine may pass for older: by then it bears more than its share
MISSED = 3  # polls in a row without a good answer, from which the server is called out of reach
STATES = {"Ready": EngineState.READY, "Terminating": EngineState.DRAINING, "Gone": EngineState.REMOVED}


class BadRecord(Exception):
    """Records or events that can't be read."""


@dataclass(frozen=True, slots=True)
class Listed:
    """One engine of the list."""

    name: str
    host: str
    port: int
    state: EngineState
    kind: str = ""
    zone: str = ""
    cell: int = 0
    born_ms: int = 0  # Unix time at which its process started, as told; 0 is long ago


class Catalogue:
    """Turns lists into the module's entries, under the settings' numbers for kinds and zones."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...], wire: str) -> None:
        self.wire = wire
        self.told: tuple[EngineListKind, list[Listed]] | None = None
        self.starts = EngineStartTimes(wall_offset_us())
        self.name(kinds, zones)

    def name(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        """Take the settings' names."""
        self.kinds = {name: i for i, name in enumerate(kinds)}
        self.zones = {name: i for i, name in enumerate(zones)}

    def rename(self, core: Core, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        """The names have changed: guards against the list held being read by the numbers of former ones."""
        before = self.kinds, self.zones
        self.name(kinds, zones)
        if self.told is not None and (self.kinds, self.zones) != before:
            self.tell(core, *self.told)

    def pair(self, e: Listed) -> tuple[EngineListEntry, Endpoint]:
        """An engine as the module knows it, and where it listens."""
        number = stable_hash(e.name)
        entry = EngineListEntry(
            number,
            e.state,
            self.kinds.get(e.kind, 0),
            self.zones.get(e.zone, 0),
            e.cell,
            self.starts.started_at(e.name, e.born_ms),
        )
        return entry, Endpoint(number, e.name, (e.host, e.port), self.wire, e.born_ms)

    def tell(self, core: Core, kind: EngineListKind, engines: Iterable[Listed]) -> None:
        """Hand the whole list to the core."""
        self.told = kind, list(engines)
        starts = {e.name: e.born_ms for e in self.told[1]}
        self.starts.update(starts, monotonic_us(), core.settings.slow_start_window // DOUBT)
        core.update_list(self.wire, kind, list(map(self.pair, self.told[1])))


def known(config: dict) -> tuple[int, list[Listed]]:
    """The list of the start: the first event holds it whole, later ones what has changed."""
    engines: dict[str, Listed] = {}
    for event in config.get("batch", ()):
        topology = event["topology"]
        if topology.get("complete"):
            engines.clear()
        for m in topology["members"]:
            if m["phase"] == "Gone":
                engines.pop(m["id"], None)
                continue
            host, _, port = m["host_port"].rpartition(":")
            engines[m["id"]] = Listed(
                m["id"],
                host,
                int(port),
                STATES[m["phase"]],
                m.get("flavor", ""),
                m.get("locality", ""),
                int(m.get("cell", 0)),
                int(m.get("up_since_ms") or 0),
            )
    return int(config.get("offset", 0)), list(engines.values())


class Poller:
    """Polls a name server for good; one that is out of reach or answers nonsense changes nothing."""

    def __init__(self, core: Core, server: tuple[str, int] | None, catalogue: Catalogue, name: str) -> None:
        self.core, self.server, self.catalogue, self.name = core, server, catalogue, name
        self.missed = 0
        self.moved = Event()

    def run(self) -> None:
        """Poll, and log what changes about the server itself."""
        while True:
            began = monotonic_us()
            self.moved.clear()
            if self.server is None:
                self.moved.wait()
                continue
            try:
                self.poll()
                self._reached()
            except Exception as err:  # whatever a datagram holds, the next one may be good
                self._missed(err)
            self.moved.wait(max(PERIOD - (monotonic_us() - began) / 1e6, 0.05))

    def move(self, server: tuple[str, int] | None) -> None:
        """Ask another server from now on, the first time at once."""
        if server != self.server:
            log(f"{self.name}: now asking {'%s:%d' % server if server else 'nobody'}")
            self.server, self.missed = server, 0
            self.moved.set()

    def poll(self) -> None:
        """Ask once, and tell the core what is new."""
        raise NotImplementedError

    def ask(self, query: dns.message.Message, read):
        """What `read` makes of the first good answer; it raises on a bad one.

        Guards against answers that are lost, spoilt, old or under another id: the question is repeated well
        within the poll, and a good answer counts also behind a bad one or late behind its repeat."""
        wire, server, fault = query.to_wire(), self.server, BadRecord("no answer")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.connect(server)
            for patience in ASKS:
                if self.server != server:
                    break  # moved meanwhile: the next poll asks the new one
                sock.send(wire)
                until = monotonic_us() + int(patience * 1e6)
                while (raw := _answer(sock, until)) is not None and self.server == server:
                    try:
                        if raw[:2] == wire[:2]:
                            return read(raw)
                    except Exception as err:
                        fault, until = err, min(until, monotonic_us() + int(SPOILT * 1e6))
                        self.core.counters.add(f"{self.name}_spoilt")
        raise fault

    def _reached(self) -> None:
        if self.missed >= MISSED:
            log(f"{self.name}: answers again")
        self.missed = 0

    def _missed(self, err: Exception) -> None:
        self.core.counters.add(f"{self.name}_failures")
        self.missed += 1
        if self.missed == MISSED:
            log(f"{self.name}: out of reach, the list is kept ({type(err).__name__} {err})")


def _answer(sock, until: int) -> bytes | None:
    """The next datagram, whatever it holds; None if none came in time."""
    with Timeout(max(until - monotonic_us(), 1000) / 1e6, False):
        return sock.recv(65535)
    return None


class Directory(Poller):
    """The platform's directory: numbered lists."""

    def __init__(self, core: Core, server: tuple[str, int] | None, catalogue: Catalogue, serial: int) -> None:
        super().__init__(core, server, catalogue, "directory")
        self.serial, self.last = serial, b""
        self.query_name = dns.name.from_text(NAME)

    def poll(self) -> None:
        """Ask for the whole list once."""
        query = dns.message.make_query(self.query_name, dns.rdatatype.SRV)
        query.flags = 0
        self.ask(query, lambda raw: self._read(query, raw))

    def _read(self, query: dns.message.Message, raw: bytes) -> None:
        if raw[2:] == self.last:
            return
        answer = checked(query, raw)
        serial = next((rr[0].serial for rr in answer.authority if rr.rdtype == dns.rdatatype.SOA), None)
        if serial is None:
            raise BadRecord("no serial")
        if serial < self.serial:
            self.core.counters.add("directory_older")
            raise BadRecord(f"list {serial} is older than {self.serial}")
        engines = listed(answer, self.query_name)
        self.update(serial, engines)
        self.last = raw[2:]

    def update(self, serial: int, engines: Iterable[Listed]) -> None:
        """Take a whole list, if it is newer than what is held."""
        if serial > self.serial:
            self.serial = serial
            self.catalogue.tell(self.core, EngineListKind.FULL, engines)


def checked(query: dns.message.Message, raw: bytes) -> dns.message.Message:
    """The answer, if it answers this query and is whole."""
    answer = dns.message.from_wire(raw)
    if not query.is_response(answer) or answer.rcode() != dns.rcode.NOERROR:
        raise BadRecord(f"no answer to the query: {dns.rcode.to_text(answer.rcode())}")
    if answer.flags & dns.flags.TC:
        raise BadRecord("answer was cut short")
    return answer


def texts(rdata) -> dict[str, str]:
    """A TXT record's name=value strings."""
    return dict(s.decode().split("=", 1) for s in rdata.strings if b"=" in s)


def listed(answer: dns.message.Message, name: dns.name.Name) -> list[Listed]:
    """The engines of an answer's SRV, A and TXT records."""
    found, hosts, infos = [], {}, {}
    for rrset in [*answer.answer, *answer.additional]:
        if rrset.rdtype == dns.rdatatype.SRV and rrset.name == name:
            found += rrset
        elif rrset.rdtype == dns.rdatatype.A:
            hosts[rrset.name] = rrset[0].address
        elif rrset.rdtype == dns.rdatatype.TXT:
            infos[rrset.name] = texts(rrset[0])
    engines = []
    for srv in found:
        if srv.target not in hosts:
            raise BadRecord(f"no address for {srv.target}")
        labels = [label.decode() for label in srv.target.labels]
        info = infos.get(srv.target, {})
        engines.append(
            replace(
                Listed(
                    labels[0],
                    hosts[srv.target],
                    srv.port,
                    EngineState.DRAINING if srv.priority else EngineState.READY,
                ),
                kind=info.get("kind", ""),
                zone=labels[1] if len(labels) > 1 else "",
                cell=int(info.get("cell") or 0),
                born_ms=int(info.get("started") or 0),
            )
        )
    return engines
