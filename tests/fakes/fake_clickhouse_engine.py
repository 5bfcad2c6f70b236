"""Fake engines with the ClickHouse HTTP interface, whose answers a test defines.

They follow the public documentation of the interface.
"""

import threading
from urllib.parse import parse_qs, urlsplit

from tests.fakes.fake_engines import ROW, FakeServer


class FakeClickHouseEngine(FakeServer):
    """An engine with the ClickHouse HTTP interface.

    `play(engine, send, params, statement)` answers each request. `asked` holds the requests as (params,
    statement, headers), `inserts_by_token` the first statement for each deduplication token; `closed` is set
    once the broker has closed a connection whose answer stalled.
    """

    def __init__(self, play=None, port=0):
        self.play = play or stream_rows(ROW)
        self.asked, self.inserts_by_token, self.closed = [], {}, threading.Event()
        super().__init__(port)

    def serve(self, conn, file):
        while line := file.readline():
            headers = {}
            while field := file.readline().strip():
                key, _, value = field.decode().partition(":")
                headers[key.lower()] = value.strip()
            target = urlsplit(line.split()[1].decode())
            params = {k: v[0] for k, v in parse_qs(target.query).items()}
            statement = file.read(int(headers.get("content-length", 0)))
            self.asked.append((params, statement, headers))
            if key := params.get("insert_deduplication_token"):
                with self.lock:
                    self.inserts_by_token.setdefault(key, statement)
            self.play(self, conn.sendall, params, statement)
            if self.play is stall_after_first_rows:
                file.read(1)  # returns once the broker closes the connection
                self.closed.set()
                return


def stream_rows(*parts):
    """Return a response function that sends the parts as HTTP chunks."""

    def play(engine, send, params, statement):
        send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        send(b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n")

    return play


def answer_exception(status, code, text):
    """Return a response function that sends an exception with an HTTP status and a ClickHouse code."""

    def play(engine, send, params, statement):
        send(
            b"HTTP/1.1 %d X\r\nX-ClickHouse-Exception-Code: %d\r\nContent-Length: %d\r\n\r\n%s"
            % (status, code, len(text), text)
        )

    return play


def stall_after_first_rows(engine, send, params, statement):
    """Send the first rows, and then nothing more."""
    send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(ROW), ROW))


def break_after_first_rows(engine, send, params, statement):
    """Send the first rows, and then close the connection."""
    stall_after_first_rows(engine, send, params, statement)
    raise ConnectionResetError
