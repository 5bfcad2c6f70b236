"""A JSON-RPC client for the broker's client interface."""

import base64
import json
import socket
from types import SimpleNamespace

from tests.fakes.support import WAIT, close_connection


class JsonRpcClient:
    """A client with one connection.

    `raw` sends bytes as the body of a message, with a valid header unless `head` is given; `send` sends any
    request and `ask` a query, and both return its JSON-RPC id; `get` returns the next message, None when the
    connection has ended.
    """

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), WAIT)
        self.file = self.sock.makefile("rb")
        self.number, self.ids = 0, 0

    def raw(self, body, head=None):
        self.sock.sendall((b"Content-Length: %d\r\n\r\n" % len(body) if head is None else head) + body)

    def send(self, method, params=None, **more):
        self.number += 1
        self.raw(
            json.dumps(
                {"jsonrpc": "2.0", "id": self.number, "method": method, "params": params or {}} | more
            ).encode()
        )
        return self.number

    def ask(self, method="lookup", statement=b"SELECT a, b, c FROM sales_17.orders", **more):
        self.ids += 1
        name = f"{id(self) & 0xFFFFFFFF:08x}{self.ids:08x}"
        return self.send(
            method,
            {
                "id": name,
                "wait": 3000,
                "tenant": "sahel",
                "cost": 50.0,
                "mem": 10,
                "content": base64.b64encode(statement).decode(),
            }
            | more,
        )

    def capture(self, write):
        """Return the bytes that `write()` sends, and its result, without sending them."""
        written, real_socket = [], self.sock
        self.sock = SimpleNamespace(sendall=written.append)
        try:
            result = write()
        finally:
            self.sock = real_socket
        return b"".join(written), result

    def get(self):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = self.file.readline()
            if not line:
                return None
            head += line
        return json.loads(self.file.read(int(head.split(b":")[1])))

    def close(self):
        close_connection(self.sock)


def result_rows(answer):
    """Return the decoded rows of a result."""
    return base64.b64decode(answer["result"]["content"])
