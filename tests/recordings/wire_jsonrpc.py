"""Answers of the JSON-RPC front, each kind of error among them."""

import json
import socket

from tests.fakes.fake_engines import answer_at_once, answer_with, never_answer
from tests.fakes.support import WAIT, wait_until
from tests.recordings.wire_broker import WireBroker, exchange

STATEMENT = "U0VMRUNUIGEsIGIsIGMgRlJPTSBzYWxlc18xNy5vcmRlcnM="  # SELECT a, b, c FROM sales_17.orders
GOOD = {
    "id": "00000000000000a1",
    "wait": 3000,
    "tenant": "sahel",
    "cost": 50.0,
    "mem": 10,
    "content": STATEMENT,
}


def frame(body: bytes) -> bytes:
    """The body behind its length."""
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


def call(method: str, number: int | None, params: dict) -> bytes:
    """A call, or a notification where it has no number."""
    message = {"jsonrpc": "2.0", "method": method, "params": params}
    if number is not None:
        message["id"] = number
    return frame(json.dumps(message).encode())


def rejected_bodies() -> list[tuple[str, bytes]]:
    """Bodies that are answered by an error, each by its title."""

    def request(method="lookup", number=1, **change):
        params = {k: v for k, v in (GOOD | change).items() if v is not None}
        return json.dumps({"jsonrpc": "2.0", "id": number, "method": method, "params": params}).encode()

    def envelope(**change):
        fields = {"jsonrpc": "2.0", "id": 1, "method": "lookup", "params": GOOD} | change
        return json.dumps({k: v for k, v in fields.items() if v is not None}).encode()

    return [
        ("not JSON", b"{nonsense"),
        ("a list", b"[]"),
        ("no version", envelope(jsonrpc=None)),
        ("no method", envelope(method=None)),
        ("a method that is no text", envelope(method=7)),
        ("no id", envelope(id=None)),
        ("an id that is text", envelope(id="1")),
        ("an id below 1", envelope(id=0)),
        ("an unknown method", request("no-such-method")),
        ("params that are no object", envelope(params=[1])),
        ("an endless wait", request(wait=1e9)),
        ("no wait at all", request(wait=0)),
        ("wait that is text", request(wait="5")),
        ("an id in capitals", request(id="00000000000000A1")),
        ("an unknown tenant", request(tenant="nobody")),
        ("retry that is no flag", request(retry=2)),
        ("content that is no base64", request(content="%%%")),
        ("a blank statement", request(content="ICA=")),
        ("a statement with a zero", request(content="AGE=")),
        ("a cost below 0", request(cost=-1)),
        ("a memory that is text", request(mem="much")),
        ("a key in a class without", request(once="k1")),
        ("no key in a class with", request("order-load")),
        ("a key of bad letters", request("order-load", once="a,b")),
    ]


def read_frames(file, count: int = 1) -> bytes:
    """So many frames, or what comes before the end."""
    received = b""
    for _ in range(count):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            if not (line := file.readline()):
                return received + head
            head += line
        received += head + file.read(int(head.split(b":")[1]))
    return received


def answers(broker: WireBroker, raw: bytes, count: int = 1) -> bytes:
    """So many JSON-RPC answers on a connection of their own."""
    with socket.create_connection(("127.0.0.1", broker.jsonrpc_port), timeout=WAIT) as sock:
        sock.sendall(raw)
        return read_frames(sock.makefile("rb"), count)


def jsonrpc_messages(broker: WireBroker) -> dict[str, bytes]:
    """Over the engine on lines alone."""
    messages = {
        "jsonrpc: status": answers(broker, call("status", 1, {})),
        "jsonrpc: result": answers(broker, call("lookup", 2, GOOD)),
    }
    for title, body in rejected_bodies():
        messages[f"jsonrpc: {title}"] = answers(broker, frame(body))
    messages["jsonrpc: an id for the second time"] = answers(broker, call("status", 3, {}) * 2, 2)
    for title, raw in (
        ("no colon", b"nonsense\r\n\r\n"),
        ("no length", b"A: b\r\n\r\n"),
        ("a length that is no number", b"Content-Length: x\r\n\r\n"),
        ("a frame that is too long", b"Content-Length: 9999999\r\n\r\n"),
        ("a head without an end", b"x" * 2000),
    ):
        messages[f"jsonrpc: {title}, and the close"] = exchange(broker.jsonrpc_port, raw)
    broker.line_engine.play = answer_with("500")
    messages["jsonrpc: refused once its attempts are used up"] = answers(
        broker, call("order-load", 4, GOOD | {"once": "k1"})
    )
    broker.line_engine.play = never_answer
    messages["jsonrpc: refused once its time is up"] = answers(
        broker, call("lookup", 4, GOOD | {"wait": 300})
    )
    messages |= open_request_messages(broker)
    broker.line_engine.play = answer_at_once
    return messages


def open_request_messages(broker: WireBroker) -> dict[str, bytes]:
    """Answers on a connection with as many requests open as there may be."""
    messages = {}
    del broker.line_engine.wants[:]
    with socket.create_connection(("127.0.0.1", broker.jsonrpc_port), timeout=WAIT) as sock:
        for number in range(1, 34):
            sock.sendall(call("report", number, GOOD | {"id": f"{number:016x}", "wait": 12_000}))
        file = sock.makefile("rb")
        messages["jsonrpc: refused at the door"] = read_frames(file)
        sock.sendall(call("report", 34, GOOD | {"id": f"{1:016x}"}))
        messages["jsonrpc: id of an open request"] = read_frames(file)
        wait_until(lambda: broker.line_engine.wants, "an attempt")
        sock.sendall(call("withdraw", None, {"id": f"{1:016x}"}) + call("status", 35, {}))
        messages["jsonrpc: after a withdrawal, which has no answer"] = read_frames(file)
    return messages
