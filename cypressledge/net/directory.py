"""The directory: the list of the start, and its changes polled from SRV records over UDP."""

from dataclasses import dataclass, replace

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
from gevent import Timeout, sleep, socket

from cypressledge.contract import Entry, ListKind, State
from cypressledge.core import Core, Place, clock, stable
from cypressledge.counters import log

NAME = "_app._tcp.cluster.lan"
PERIOD = 0.4  # seconds between polls: what an answer holds counts as told, so it must not wait for long
PATIENCE = 0.35  # seconds for one answer
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}


class BadRecord(Exception):
    """Records or events that can't be read."""


@dataclass(frozen=True, slots=True)
class Listed:
    """One engine of the list."""

    name: str
    host: str
    port: int
    state: State
    kind: str = ""
    zone: str = ""
    cell: int = 0
    born_ms: int = 0


class Catalogue:
    """Turns lists into the module's entries, under the settings' numbers for kinds and zones."""

    def __init__(self, kinds: list[str], zones: list[str], wire: str) -> None:
        self.kinds = {name: i for i, name in enumerate(kinds)}
        self.zones = {name: i for i, name in enumerate(zones)}
        self.wire = wire

    def pair(self, e: Listed) -> tuple[Entry, Place]:
        """An engine as the module knows it, and where it listens."""
        number = stable(e.name)
        entry = Entry(number, e.state, self.kinds.get(e.kind, 0), self.zones.get(e.zone, 0),
                      e.cell, e.born_ms * 1000)
        return entry, Place(number, e.name, (e.host, e.port), self.wire)

    def tell(self, core: Core, kind: ListKind, engines: list[Listed]) -> None:
        """Hand the whole list to the core."""
        core.listed(self.wire, kind, list(map(self.pair, engines)))


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
                m["id"], host, int(port), STATES[m["phase"]], m.get("flavor", ""), m.get("locality", ""),
                int(m.get("cell", 0)), int(m.get("up_since_ms") or 0))
    return int(config.get("offset", 0)), list(engines.values())


class Poller:
    """Polls a name server for good; one that is out of reach or answers nonsense changes nothing."""

    def __init__(self, core: Core, server: tuple[str, int], catalogue: Catalogue, name: str) -> None:
        self.core, self.server, self.catalogue, self.name = core, server, catalogue, name
        self.reached = True

    def run(self) -> None:
        """Poll, and log what changes about the server itself."""
        while True:
            began = clock()
            try:
                self.poll()
                self._reach(True)
            except (OSError, Timeout, dns.exception.DNSException, BadRecord, ValueError) as err:
                self.core.counters.add(f"{self.name}_failures")
                self._reach(False, err)
            sleep(max(PERIOD - (clock() - began) / 1e6, 0.05))

    def poll(self) -> None:
        """Ask once, and tell the core what is new."""
        raise NotImplementedError

    def _reach(self, reached: bool, err: object = "") -> None:
        if reached != self.reached:
            self.reached = reached
            log(f"{self.name}: answers again" if reached else
                f"{self.name}: out of reach, the list is kept ({type(err).__name__} {err})")


class Directory(Poller):
    """The platform's directory: numbered lists."""

    def __init__(self, core: Core, server: tuple[str, int], catalogue: Catalogue, serial: int) -> None:
        super().__init__(core, server, catalogue, "directory")
        self.serial, self.last = serial, b""
        self.query_name = dns.name.from_text(NAME)

    def poll(self) -> None:
        query = dns.message.make_query(self.query_name, dns.rdatatype.SRV)
        query.flags = 0
        raw = ask(query, self.server, PATIENCE)
        if raw[2:] == self.last:
            return
        answer = checked(query, raw)
        serial = next((rr[0].serial for rr in answer.authority if rr.rdtype == dns.rdatatype.SOA), None)
        if serial is None:
            raise BadRecord("no serial")
        if serial < self.serial:
            self.core.counters.add("directory_older")
            return
        engines = listed(answer, self.query_name)
        if serial > self.serial:
            self.serial = serial
            self.catalogue.tell(self.core, ListKind.FULL, engines)
        self.last = raw[2:]


def ask(query: dns.message.Message, server: tuple[str, int], patience: float) -> bytes:
    """Send a query from a port of its own; the first answer that carries its number."""
    wire = query.to_wire()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock, Timeout(patience):
        sock.connect(server)
        sock.send(wire)
        while True:
            raw = sock.recv(65535)
            if raw[:2] == wire[:2]:
                return raw


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
        engines.append(replace(
            Listed(labels[0], hosts[srv.target], srv.port, State.DRAINING if srv.priority else State.READY),
            kind=info.get("kind", ""), zone=labels[1] if len(labels) > 1 else "",
            cell=int(info.get("cell") or 0), born_ms=int(info.get("started") or 0)))
    return engines
