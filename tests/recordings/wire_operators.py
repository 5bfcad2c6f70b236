"""Messages of the operators' addresses and of name servers."""

import re

import dns.message

from tests.fakes.service_file import DNS_SD_TYPE, TOKEN
from tests.fakes.support import wait_until
from tests.recordings.wire_broker import WireBroker, exchange


def management_messages(broker: WireBroker) -> dict[str, bytes]:
    """The calls of the management address."""
    messages = {}
    for method, path, body in (
        ("GET", "/status", b""),
        ("POST", "/status", b""),
        ("GET", "/nothing", b""),
        ("POST", "/maintenance/enter", b"s-1"),
        ("POST", "/maintenance/exit", b"s-1"),
        ("POST", "/maintenance/enter", b"s-9"),
        ("POST", "/maintenance/exit", b"\xff"),
        ("POST", "/maintenance/enter", b"x" * 300),
    ):
        raw = exchange(
            broker.management_port,
            f"{method} {path} HTTP/1.1\r\nHost: b\r\n" f"Content-Length: {len(body)}\r\n\r\n".encode() + body,
        )
        messages[f"management: {method} {path} {body.decode('latin-1')[:8]!r}"] = raw
    raw = exchange(broker.management_port, b"GET /status/metrics HTTP/1.1\r\nHost: b\r\n\r\n")
    raw = re.sub(rb"Content-Length: \d+", b"Content-Length: <n>", raw)
    messages["management: metrics"] = re.sub(rb":\d+\|", b":<n>|", raw)
    return messages


def administration_messages(broker: WireBroker) -> dict[str, bytes]:
    """The calls of the administration API."""
    new = {"name": "north", "key": "a-key-long-enough", "most_open": 3}
    return {
        f"admin: {method} {path} {title}": broker.api(method, path, value, token)
        for method, path, title, value, token in (
            ("GET", "/v1/tenants", "with a wrong token", None, "x"),
            ("GET", "/v1/tenants", "", None, TOKEN),
            ("POST", "/v1/tenants", "", new, TOKEN),
            ("POST", "/v1/tenants", "again", new, TOKEN),
            ("POST", "/v1/tenants", "with a short key", {"name": "south", "key": "x"}, TOKEN),
            ("POST", "/v1/tenants", "with no JSON", b"{", TOKEN),
            ("POST", "/v1/tenants", "with no object", [], TOKEN),
            ("GET", "/v1/tenants/north", "", None, TOKEN),
            ("PATCH", "/v1/tenants/north", "", {"enabled": False}, TOKEN),
            ("PUT", "/v1/tenants/north", "", {}, TOKEN),
            ("DELETE", "/v1/tenants/north", "", None, TOKEN),
            ("GET", "/v1/tenants/north", "when it is gone", None, TOKEN),
            ("GET", "/v1/engines", "", None, TOKEN),
            ("DELETE", "/v1/engines", "", None, TOKEN),
            ("GET", "/v1/nothing", "", None, TOKEN),
        )
    }


def name_messages(broker: WireBroker) -> dict[str, bytes]:
    """Queries for the directory and for DNS-SD; their ids are volatile."""
    asked, reply = {}, broker.process.dns._reply

    def keep(raw, peer):
        question = dns.message.from_wire(raw).question[0]
        asked.setdefault(question.to_text(), b"<id>" + raw[2:])
        reply(raw, peer)

    broker.process.dns._reply = keep
    broker.process.dns.instances[f"ch-0.{DNS_SD_TYPE}"] = (broker.clickhouse_engine.port, "ready")
    wait_until(lambda: len(asked) >= 4, "all kinds of queries")
    return {f"dns: {question}": asked[question] for question in sorted(asked)}
