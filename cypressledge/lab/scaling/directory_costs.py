"""The directory's complete list of engines: its size, and what reading and polling it costs a broker."""

import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from socket import AF_INET, SOCK_DGRAM, socket
from types import SimpleNamespace
from typing import Any

import dns.exception
import dns.message
import dns.rdatatype
import dns.rrset

from cypressledge.broker.metrics import Counters
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.lab.results import Fact, Slope, Source, slope
from cypressledge.lab.scaling.measuring import (
    ENGINE_COUNTS,
    HEADER_BYTES,
    ZONES,
    Findings,
    cpu_ms,
    median_cpu_ms,
)
from cypressledge.net.dns_discovery import SERVICE_NAME, DirectoryPoller
from cypressledge.net.engine_naming import EngineNaming

ROLE = "broker, control part"
ENGINE_STARTED_MS = 1_700_000_000_000
MAX_DNS_BYTES = 65_535  # of a DNS message: its length field over TCP, and just over what UDP carries
MAX_ANSWER_BYTES = 8_000  # of the directory's answers, as the platform's page has it
POLLS = 20  # measured together


def directory_answer(query: dns.message.Message, engines: int, serial: int = 1) -> dns.message.Message:
    """Return a directory's answer as the platform's page shows it: SRV, A and TXT of each, and the serial."""
    response = dns.message.make_response(query)
    zones = len(ZONES)
    hosts = [f"s-{stable_hash(f's-{i}', 4):08x}.{ZONES[i % zones]}.hosts." for i in range(engines)]

    def add(section: list[dns.rrset.RRset], owner: str, kind: str, *texts: str) -> None:
        section.append(dns.rrset.from_text_list(owner, 1, "IN", kind, texts))

    add(
        response.answer,
        SERVICE_NAME + ".",
        "SRV",
        *(f"0 40 {6565 + i % 8} {host}" for i, host in enumerate(hosts)),
    )
    for i, host in enumerate(hosts):
        started_ms = ENGINE_STARTED_MS + i
        add(response.additional, host, "A", f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}")
        add(
            response.additional,
            host,
            "TXT",
            f'"kind=node-8c" "cell={i % 2}" "started={started_ms}"',
        )
    add(response.authority, "cluster.lan.", "SOA", f"ns. root. {serial} 1 1 1 1")
    return response


def encoded_answer(query: dns.message.Message, engines: int, serial: int = 1) -> bytes | None:
    """Return the encoded answer; None where one message can't hold it."""
    try:
        return directory_answer(query, engines, serial).to_wire(max_size=MAX_DNS_BYTES)
    except dns.exception.TooBig:
        return None


def max_engines_within(bound: int) -> int:
    """Return how many engines' list just fits an answer of so many bytes."""
    query = dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV)
    low, high = 1, 2_000
    while low < high:
        middle = (low + high + 1) // 2
        raw = encoded_answer(query, middle)
        low, high = (middle, high) if raw is not None and len(raw) <= bound else (low, middle - 1)
    return low


def directory_poller() -> DirectoryPoller:
    """Return the program's poller with a fake core, which takes lists and does nothing."""
    engines = SimpleNamespace(update_list=lambda *_listed: None)
    core: Any = SimpleNamespace(counters=Counters(), engines=engines)
    return DirectoryPoller(core, None, EngineNaming(("node-8c", "node-16c"), ZONES, "lines"), 0)


def list_read_ms(engines: int) -> float | None:
    """Return the ms that a changed list takes a broker to read; None where it can't be sent."""
    query = dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV)
    answers = [encoded_answer(query, engines, serial) for serial in (1, 2, 3)]
    raws = [raw for raw in answers if raw is not None]
    if len(raws) < len(answers):
        return None
    poller, serials = directory_poller(), iter(raws)
    return median_cpu_ms(lambda: poller.read_answer(query, next(serials)), 3)


@contextmanager
def dns_responder(raw: bytes) -> Iterator[tuple[str, int]]:
    """Run a name server on the loopback that gives one answer under each query's own id, on a thread."""
    with socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))

        def serve() -> None:
            while (got := sock.recvfrom(4096))[0] != b"end":
                sock.sendto(got[0][:2] + raw[2:], got[1])

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield sock.getsockname()
        with socket(AF_INET, SOCK_DGRAM) as last:
            last.sendto(b"end", sock.getsockname())
        thread.join()


def unchanged_poll_ms(engines: int, polls: int) -> float | None:
    """Return the ms of a poll that brings the same list as the last one; None where it can't be sent."""
    raw = encoded_answer(dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV), engines)
    if raw is None or len(raw) > MAX_DNS_BYTES - HEADER_BYTES:
        return None
    with dns_responder(raw) as server:
        poller = directory_poller()
        poller.server = server
        poller.poll()

        def poll_repeatedly() -> None:
            for _ in range(polls):
                poller.poll()

        return cpu_ms(poll_repeatedly) / polls


def directory_costs(quick: bool, seed: int, source: Source) -> Findings:
    """Measure the list of engines as the program polls and reads it; `quick`: few and small points."""
    bounds = {
        MAX_ANSWER_BYTES: "the platform's answer of 8,000 bytes",
        MAX_DNS_BYTES - HEADER_BYTES: "one UDP datagram",
        MAX_DNS_BYTES: "one DNS message",
    }
    engines_within = {bound: max_engines_within(bound) for bound in bounds}
    sizes = (12, 36, 60) if quick else (*ENGINE_COUNTS[:-1], engines_within[MAX_DNS_BYTES - HEADER_BYTES])
    query = dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV)
    answers = {size: encoded_answer(query, size) for size in sizes}
    answer_bytes = {size: None if raw is None else len(raw) for size, raw in answers.items()}
    reads = {size: list_read_ms(size) for size in sizes}
    polls = {size: unchanged_poll_ms(size, POLLS) for size in sizes}

    def curve(name: str, role: str, what: str, unit: str, by_size: Mapping[int, float | None]) -> Slope:
        points = [(size, y) for size, y in by_size.items() if y is not None]
        return slope(name, role, what, unit, "engines", points, source)

    slopes = [
        curve(
            "directory_bytes", "directory", "the list of engines as one DNS message", "bytes", answer_bytes
        ),
        curve("directory_read_ms", ROLE, "a changed list read, until the module is told", "ms", reads),
        curve("directory_poll_ms", ROLE, "a poll that brings no change", "ms", polls),
    ]
    facts = [
        Fact(
            f"directory_fits_{bound}",
            f"engines whose list fits {what}",
            engines_within[bound],
            "engines",
            source,
        )
        for bound, what in bounds.items()
    ]
    return Findings(slopes, facts)
