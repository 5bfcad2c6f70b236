"""Stand-ins and helpers for the review cases: a record, a broker process, a directory, engines and clients.

Only the standard library and dnspython, which the program needs, are used. All addresses are loopback ones.
"""

import base64
import contextlib
import itertools
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

import dns.message
import dns.rrset

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0  # DEPLOY: clients arrive once all brokers are ready, or after 30 s
ROWS = b"1\tbread\t12.5\n"
GRACE_S = 0.5  # after the client's time, in which a late answer only earns nothing (STANDING)
CROSSING_S = (
    0.05  # a request that crosses the end of its connection by at most this is sent once more (PROTOCOL)
)


class CannotRunError(Exception):
    """The case could not run: the exit status is 2."""


class Record:
    """The file record.txt: what was sent, answered and run, one line an event, in seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, who, text):
        with self._lock:
            self._file.write(f"{self.now():9.4f}  {who:<10} {text}\n")
            self._file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if result := condition():
            return result
        time.sleep(0.02)
    raise CannotRunError(f"timed out after {seconds:g} s waiting for {what}")


class Broker:
    """The program, started with the deploy file's command `run`, with files in a temporary folder."""

    def __init__(self, record, config, arguments="", service=None, environment=None):
        self.record, self.config = record, config
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.path = self.folder / "config.json"
        self.path.write_text(json.dumps(config))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        command = deploy["run"]
        if service is not None:
            (self.folder / "service.toml").write_text(service)
            command += f" --service {self.folder / 'service.toml'}"
        inherited = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        self.log_path = self.folder / "log"
        self._log = open(self.log_path, "w")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command + arguments],
            cwd=ROOT,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env=inherited
            | {"ROUTER_CONFIG": str(self.path), "TMPDIR": str(self.folder / "tmp")}
            | (environment or {}),
        )
        record.write("platform", f"started the broker, pid {self.process.pid}")

    def wait_until_ready(self):
        wait_until(self._is_healthy, READY_TIMEOUT_S, "a healthy broker")
        self.record.write("platform", "the broker answered status with healthy:true")

    def _is_healthy(self):
        if self.process.poll() is not None:
            raise CannotRunError(
                f"the broker ended with {self.process.returncode}: {self.log_path.read_text()[-2000:]}"
            )
        try:
            with socket.create_connection((HOST, int(self.config["listen"].split(":")[1])), 2) as sock:
                sock.sendall(frame({"jsonrpc": "2.0", "id": 1, "method": "status", "params": {}}))
                answer = read_frame(sock.makefile("rb"))
        except OSError:
            return False
        return bool(answer and answer["result"]["healthy"])

    def has_crashed(self):
        return self.process.poll() is not None

    def close(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGUSR1)  # the counters, for the log
            time.sleep(0.2)
            self.process.kill()
        self.process.wait()
        self._log.close()
        for line in self.log_path.read_text(errors="replace").splitlines():
            self.record.write("log", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(settings, members, directory_port, memory_mb=192, sockets=1024):
    """The configuration of DEPLOY, with the engines of the start under `known`."""
    events = [{"offset": 1, "topology": {"revision": 1, "complete": True, "members": members}}]
    return {
        "name": "n1",
        "listen": f"{HOST}:{free_port()}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "dns": f"{HOST}:{directory_port}",
        "known": {"offset": 1, "batch": events},
        "settings": settings,
    }


def member(engine, zone, kind):
    return {
        "id": engine.name,
        "host_port": f"{HOST}:{engine.port}",
        "locality": zone,
        "flavor": kind,
        "cell": 0,
        "phase": "Ready",
        "size": 4,
        "up_since_ms": 0,
    }


class Directory:
    """The directory of PROTOCOL: answers each SRV query with the whole list, `delay` seconds later."""

    def __init__(self, record, zone="sfax-room1", kind="node-8c"):
        self.record, self.zone, self.kind = record, zone, kind
        self.serial, self.delay = 1, 0.0
        self.engines = {}  # name -> (port, SRV priority: 0 ready, 1 draining)
        self.told = {}  # serial -> time at which the first answer holding it was sent
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((HOST, 0))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def list(self, engine, priority=0):
        self.engines[engine.name] = (engine.port, priority)

    def _run(self):
        while True:
            raw, peer = self.sock.recvfrom(4096)
            if self.delay:
                threading.Timer(self.delay, self._answer, (raw, peer)).start()
            else:
                self._answer(raw, peer)

    def _answer(self, raw, peer):
        query = dns.message.from_wire(raw)
        answer = dns.message.make_response(query)
        name = query.question[0].name.to_text()

        def add(section, owner, kind, *texts):
            section.append(dns.rrset.from_text_list(owner, 1, "IN", kind, texts))

        serial = self.serial
        records = [f"{p} 40 {port} {n}.{self.zone}.hosts." for n, (port, p) in self.engines.items()]
        add(answer.answer, name, "SRV", *records)
        for engine in self.engines:
            add(answer.additional, f"{engine}.{self.zone}.hosts.", "A", HOST)
            add(
                answer.additional,
                f"{engine}.{self.zone}.hosts.",
                "TXT",
                f'"kind={self.kind}" "cell=0" "started=0"',
            )
        add(answer.authority, "cluster.lan.", "SOA", f"ns. root. {serial} 1 1 1 1")
        self.sock.sendto(answer.to_wire(max_size=8000), peer)
        if serial not in self.told:
            self.told[serial] = time.monotonic()
            self.record.write("directory", f"sent the first answer that holds event {serial}")


class Server:
    """A TCP server with one thread a connection, which calls `serve(conn, file)`."""

    def __init__(self):
        self.sock = socket.create_server((HOST, 0), backlog=128)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            conn, _ = self.sock.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            self.serve(conn, conn.makefile("rb"))
        except (OSError, ValueError):
            pass
        finally:
            conn.close()


class LineEngine(Server):
    """A sound engine of PROTOCOL: runs all that it is sent at once, each query for `work(statement)` seconds.

    It notes its progress every second. While `hangs` is set it reads, but answers nothing.
    """

    def __init__(self, record, name, work):
        self.record, self.name, self.work = record, name, work
        self.hangs = False
        self.arrivals = []  # (time, query id)
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, conn, file):
        given_up, lock = set(), threading.Lock()

        def say(query_id, word, fields="-", body=b""):
            with lock:
                conn.sendall(f"{query_id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

        while line := file.readline():
            words = line.decode().split()
            if words[0] == "there":
                say(words[1], "alive")
            elif words[0] == "want":
                statement = file.read(int(words[3]) + 2)[:-2]
                self.arrivals.append((time.monotonic(), words[1]))
                self.record.write(self.name, f"want {words[1]} {words[2]} {words[3]}")
                given_up.discard(words[1])
                threading.Thread(
                    target=self._play, args=(say, words[1], statement, given_up), daemon=True
                ).start()
            elif words[0] in ("never_mind", "shut"):
                given_up.add(words[1])
                self.record.write(self.name, " ".join(words))

    def _play(self, say, query_id, statement, given_up):
        total = self.work(statement)
        began = time.monotonic()
        next_note = began + 1.0
        while (now := time.monotonic()) < began + total or self.hangs:
            if query_id in given_up:
                return
            if now >= next_note:
                next_note = now + 1.0
                if not self.hangs:
                    self._try(
                        say, query_id, "status", f"note=done,reading={min((now - began) / total, 0.99):.2f}"
                    )
            time.sleep(0.01)
        if query_id not in given_up:
            self.record.write(self.name, f"200 {query_id}")
            self._try(say, query_id, "200", "count=1", ROWS)

    @staticmethod
    def _try(say, *words):
        with contextlib.suppress(OSError):  # the broker may have closed the connection
            say(*words)


def frame(message):
    body = json.dumps(message).encode()
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


def read_frame(file):
    """Return the next message, None at the end of the stream."""
    size = None
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            size = int(value)
    if size is None:
        return None
    body = file.read(size)
    return json.loads(body) if len(body) == size else None


class Call:
    """One request of a client, with the time of its last byte and its answer."""

    def __init__(self, number, query_id, method, wait_s):
        self.number, self.query_id, self.method, self.wait_s = number, query_id, method, wait_s
        self.sent_at = self.answered_at = self.answer = None
        self.is_withdrawn = False

    @property
    def is_open(self):
        return self.answered_at is None and not self.is_withdrawn


class JsonRpcClient:
    """A client with one connection, as PROTOCOL describes it."""

    def __init__(self, record, port, name="client"):
        self.record, self.name = record, name
        self.sock = socket.create_connection((HOST, port), 5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.calls, self.numbers = {}, itertools.count(1)
        self.ended_at = None
        self.unasked = []  # messages under no open call's id
        threading.Thread(target=self._read, args=(self.sock.makefile("rb"),), daemon=True).start()
        record.write(name, "connected")

    def _read(self, file):
        try:
            while (message := read_frame(file)) is not None:
                now = time.monotonic()
                call = self.calls.get(message.get("id"))
                shown = message.get("error") or {"result": message.get("result")}
                if call is None or not call.is_open:
                    self.unasked.append(message)
                    self.record.write(self.name, f"<- under id {message.get('id')}: {shown}")
                    continue
                call.answer, call.answered_at = message, now
                self.record.write(self.name, f"<- {call.query_id} (id {call.number}): {shown}")
        except (OSError, ValueError) as err:
            self.record.write(self.name, f"connection broke: {err!r}")
        self.ended_at = time.monotonic()
        self.record.write(self.name, "the broker ended the connection")

    def open_calls(self):
        return [call for call in list(self.calls.values()) if call.is_open]

    def prepare(self, method, statement, wait_s, **more):
        call = Call(next(self.numbers), secrets.token_hex(8), method, wait_s)
        params = {
            "id": call.query_id,
            "wait": int(wait_s * 1000),
            "content": base64.b64encode(statement).decode(),
        }
        message = {"jsonrpc": "2.0", "id": call.number, "method": method, "params": params | more}
        return call, frame(message)

    def send(self, *prepared):
        """Write some requests in one go."""
        for call, _ in prepared:
            self.calls[call.number] = call
        self.sock.sendall(b"".join(raw for _, raw in prepared))
        now = time.monotonic()
        for call, _ in prepared:
            call.sent_at = now
            self.record.write(
                self.name, f"-> {call.query_id} (id {call.number}) {call.method} wait={call.wait_s:g}s"
            )
        return [call for call, _ in prepared]

    def withdraw(self, call):
        call.is_withdrawn = True
        self.record.write(self.name, f"-> withdraw {call.query_id} (id {call.number})")
        self.sock.sendall(frame({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": call.query_id}}))


def is_late(client):
    """Whether the time of all open calls of a client is over, with the grace."""
    return all(time.monotonic() > call.sent_at + call.wait_s + GRACE_S for call in client.open_calls())


def is_over(client):
    """Whether nothing can be answered to a client any more."""
    return not client.open_calls() or client.ended_at is not None or is_late(client)


def lost_requests(client):
    """Return the requests of a client that were written whole and have no answer, or none in their time."""
    broken = []
    for call in client.open_calls():
        name = f"lost: {client.name}, {call.method} {call.query_id} (id {call.number})"
        if client.ended_at is not None and client.ended_at - call.sent_at > CROSSING_S:
            since = client.ended_at - call.sent_at
            broken.append(
                f"{name} was written {since:.2f} s before the broker ended the connection, and got no answer"
            )
        elif client.ended_at is None and time.monotonic() > call.sent_at + call.wait_s + GRACE_S:
            broken.append(f"{name} got no answer in its time")
    return broken


def main(folder, run):
    """Run a case: `run(record, trouble)` returns the list of what was broken. Exit with 1, 0 or 2."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"trouble: {trouble}")
    try:
        broken = run(record, trouble)
    except CannotRunError as err:
        record.write("case", f"could not run: {err}")
        print(f"could not run: {err}")
        return 2
    except Exception as err:
        record.write("case", f"could not run: {err!r}")
        print(f"could not run: {err!r}")
        return 2
    for text in broken:
        record.write("BROKEN", text)
        print(f"BROKEN: {text}")
    record.write("case", "rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    return 1 if broken else 0
