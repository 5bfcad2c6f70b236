"""Fake engines with the line protocol, whose answers a test defines.

They follow the public specifications of the protocol.
"""

import socket
import threading

from tests.fakes.support import close_connection, wait_until

ROW = b"1\tbread\t12.5\n"


class FakeServer:
    """A TCP server that serves each connection in a thread, with the method `serve` of its subclass.

    `open` holds all accepted connections; `lock` protects what the threads share.
    """

    def __init__(self, port=0):
        """`port`: that of an engine that has been closed, which this one replaces; a free one by default."""
        self.sock = socket.create_server(("127.0.0.1", port))
        self.port = self.sock.getsockname()[1]
        self.open, self.lock = [], threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            self.serve(conn, conn.makefile("rb"))
        except (OSError, ValueError):
            pass
        finally:
            close_connection(conn)

    def close(self):
        """Close the listener and all connections, as when the process of an engine is killed."""
        close_connection(self.sock)
        for conn in self.open:
            close_connection(conn)


class FakeLineEngine(FakeServer):
    """An engine with the line protocol.

    `play(engine, say, id, fields, statement)` answers each command `want`, which carries a query; `say` sends
    a message. `wants` holds the queries as (connection, id, fields, statement), `commands_received` all other
    commands as (connection, words).
    """

    def __init__(self, play=None, name="s-1", port=0):
        self.play, self.name = play or answer_at_once, name
        self.wants, self.commands_received = [], []
        super().__init__(port)

    def serve(self, conn, file):
        def say(name, word, fields="-", body=b""):
            with self.lock:
                conn.sendall(f"{name} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

        while line := file.readline():
            words = line.decode().split()
            if words[0] != "want":
                self.commands_received.append((conn, words))
                if words[0] == "turn":
                    say(words[1], "chunk", f"pos={words[2]}", page_rows(int(words[2])))
                continue
            fields = dict(f.split("=", 1) for f in words[2].split(","))
            statement = file.read(int(words[3]) + 2)[:-2]
            self.wants.append((conn, words[1], fields, statement))
            self.play(self, say, words[1], fields, statement)

    def commands(self, word):
        """Return the received commands that begin with a word, each split into its words."""
        return [w for _, w in self.commands_received if w[0] == word]


def page_rows(n):
    """Return the rows of the page at position `n`."""
    return b"%d\tpage\t\xc3\xa9\n" % n


def answer_at_once(engine, say, name, fields, statement):
    """Answer with one row."""
    say(name, "200", "count=1", ROW)


def answer_on_release(engine, say, name, fields, statement):
    """Answer with one row once the test sets `engine.released`."""
    wait_until(lambda: engine.released, "the release")
    answer_at_once(engine, say, name, fields, statement)


def never_answer(engine, say, name, fields, statement):
    """Accept the query without ever answering."""


def answer_with(word):
    """Return a response function that sends only a status word, such as `503`."""
    return lambda engine, say, name, fields, statement: say(name, word)
