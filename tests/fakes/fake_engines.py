"""Engines that answer as a test says, on the line protocol. From the public specifications."""

import socket
import threading

from tests.fakes.support import close_connection, wait_until

ROW = b"1\tbread\t12.5\n"


class FakeServer:
    """A listener whose connections are each served by a thread."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
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
        """The process dies: nothing listens, connections end."""
        close_connection(self.sock)
        for conn in self.open:
            close_connection(conn)


class FakeLineEngine(FakeServer):
    """An engine on the line protocol. `play(engine, say, id, fields, statement)` answers a `want`; `wants`
    are the queries as (connection, id, fields, statement), `commands_received` all other commands with
    theirs."""

    def __init__(self, play=None, name="s-1"):
        self.play, self.name = play or answer_at_once, name
        self.wants, self.commands_received = [], []
        super().__init__()

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
        """The commands of this word, each as its words."""
        return [w for _, w in self.commands_received if w[0] == word]


def page_rows(n):
    """The rows of a further page."""
    return b"%d\tpage\t\xc3\xa9\n" % n


def answer_at_once(engine, say, name, fields, statement):
    """Answers with one row."""
    say(name, "200", "count=1", ROW)


def answer_on_release(engine, say, name, fields, statement):
    """Answers with one row once the test sets `engine.released`."""
    wait_until(lambda: engine.released, "the release")
    answer_at_once(engine, say, name, fields, statement)


def never_answer(engine, say, name, fields, statement):
    """Takes the query and never answers."""


def answer_with(word):
    """Answers with a status word alone, as `503`."""
    return lambda engine, say, name, fields, statement: say(name, word)
