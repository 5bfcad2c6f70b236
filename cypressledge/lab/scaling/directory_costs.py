"""Size of the directory's complete list of engines, and a broker's cost of reading and polling it."""

import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from functools import partial
from socket import AF_INET, SOCK_DGRAM, socket
from types import SimpleNamespace
from typing import Any

import dns.exception
import dns.message
import dns.rdatatype
import dns.rrset

from cypressledge.broker.metrics import Counters
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.lab.results import Fact, Source
from cypressledge.lab.scaling.measuring import (
    ENGINE_COUNTS,
    HEADER_BYTES,
    ZONES,
    CurveFamily,
    Findings,
    Points,
    cpu_ms,
    median_cpu_ms,
)
from cypressledge.net.dns_discovery import SERVICE_NAME, DirectoryPoller
from cypressledge.net.engine_naming import EngineNaming

ROLE = "broker, control part"
ENGINE_STARTED_MS = 1_700_000_000_000
MAX_DNS_BYTES = 65_535  # limit of a DNS message's 16-bit length field over TCP; UDP carries slightly less
MAX_ANSWER_BYTES = 8_000  # limit of the directory's answers according to the platform's page
POLLS = 20  # polls in one timed call
MAX_QUERY_BYTES = 4_096
QUERY_ID_BYTES = 2  # bytes; a DNS message begins with its id
END_OF_QUERIES = b"end"  # datagram that makes the fake name server exit


def directory_answer(query: dns.message.Message, engines: int, serial: int = 1) -> dns.message.Message:
    """Return a directory's answer in the format that the platform's page shows.

    It holds SRV, A and TXT records of each engine, and a SOA record with the serial.
    """
    response = dns.message.make_response(query)
    hosts = [_host_name(number) for number in range(engines)]
    services = [f"0 40 {6565 + number % 8} {host}" for number, host in enumerate(hosts)]
    response.answer.append(_records(SERVICE_NAME + ".", "SRV", services))
    for number, host in enumerate(hosts):
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        response.additional.append(_records(host, "A", [address]))
        properties = f'"kind=node-8c" "cell={number % 2}" "started={ENGINE_STARTED_MS + number}"'
        response.additional.append(_records(host, "TXT", [properties]))
    response.authority.append(_records("cluster.lan.", "SOA", [f"ns. root. {serial} 1 1 1 1"]))
    return response


def _host_name(number: int) -> str:
    zone = ZONES[number % len(ZONES)]
    return f"s-{stable_hash(f's-{number}', 4):08x}.{zone}.hosts."


def _records(owner: str, kind: str, texts: list[str]) -> dns.rrset.RRset:
    """Return the DNS records of one name and record type, with a time to live of 1 s."""
    return dns.rrset.from_text_list(owner, 1, "IN", kind, texts)


def encoded_answer(query: dns.message.Message, engines: int, serial: int = 1) -> bytes | None:
    """Return the encoded answer; None if it exceeds the size of a DNS message."""
    try:
        return directory_answer(query, engines, serial).to_wire(max_size=MAX_DNS_BYTES)
    except dns.exception.TooBig:
        return None


def max_engines_within(bound: int) -> int:
    """Return the largest number of engines whose list fits an answer of `bound` bytes."""
    query = dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV)
    low, high = 1, 2_000
    while low < high:
        middle = (low + high + 1) // 2
        raw = encoded_answer(query, middle)
        low, high = (middle, high) if raw is not None and len(raw) <= bound else (low, middle - 1)
    return low


def directory_poller() -> DirectoryPoller:
    """Return the program's poller with a fake core, which accepts lists and discards them."""
    engines = SimpleNamespace(update_list=lambda *_listed: None)
    core: Any = SimpleNamespace(counters=Counters(), engines=engines)
    return DirectoryPoller(core, None, EngineNaming(("node-8c", "node-16c"), ZONES, "lines"), 0)


def list_read_ms(engines: int) -> float | None:
    """Return the processor time (ms) for a broker to read a changed list; None if it can't be sent."""
    query = dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV)
    answers = [encoded_answer(query, engines, serial) for serial in (1, 2, 3)]
    raws = [raw for raw in answers if raw is not None]
    if len(raws) < len(answers):
        return None
    poller, serials = directory_poller(), iter(raws)
    return median_cpu_ms(lambda: poller.read_answer(query, next(serials)), 3)


@contextmanager
def dns_responder(raw: bytes) -> Iterator[tuple[str, int]]:
    """Run a fake name server on the loopback, in a thread, that gives the same answer to every query.

    Each answer carries the id of its query. Yields the server's address.
    """
    with socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        thread = threading.Thread(target=_answer_queries, args=(sock, raw), daemon=True)
        thread.start()
        yield sock.getsockname()
        with socket(AF_INET, SOCK_DGRAM) as last:
            last.sendto(END_OF_QUERIES, sock.getsockname())
        thread.join()


def _answer_queries(sock: socket, raw: bytes) -> None:
    """Answer each query with `raw`, under the id of the query, until `END_OF_QUERIES` arrives."""
    while True:
        query, client = sock.recvfrom(MAX_QUERY_BYTES)
        if query == END_OF_QUERIES:
            return
        sock.sendto(query[:QUERY_ID_BYTES] + raw[QUERY_ID_BYTES:], client)


def unchanged_poll_ms(engines: int, polls: int) -> float | None:
    """Return the processor time (ms) of a poll that finds the list unchanged; None if it can't be sent."""
    raw = encoded_answer(dns.message.make_query(SERVICE_NAME + ".", dns.rdatatype.SRV), engines)
    if raw is None or len(raw) > MAX_DNS_BYTES - HEADER_BYTES:
        return None
    with dns_responder(raw) as server:
        poller = directory_poller()
        poller.server = server
        poller.poll()
        return cpu_ms(partial(_poll_repeatedly, poller, polls)) / polls


def _poll_repeatedly(poller: DirectoryPoller, polls: int) -> None:
    for _ in range(polls):
        poller.poll()


def directory_costs(quick: bool, seed: int, source: Source) -> Findings:
    """Measure polling and reading the list of engines in the program; `quick`: few and small points."""
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

    at_directory = CurveFamily("directory", "engines", source)
    at_broker = CurveFamily(ROLE, "engines", source)
    list_size = "the list of engines as one DNS message"
    list_read = "a changed list read, until the module is told"
    slopes = [
        at_directory.curve("directory_bytes", list_size, "bytes", _measured_points(answer_bytes)),
        at_broker.curve("directory_read_ms", list_read, "ms", _measured_points(reads)),
        at_broker.curve("directory_poll_ms", "a poll that brings no change", "ms", _measured_points(polls)),
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


def _measured_points(by_size: Mapping[int, float | None]) -> Points:
    """Return the points of the sizes at which the list could be sent."""
    return [(size, value) for size, value in by_size.items() if value is not None]
