"""Case 6: a header line that never ends, in some engines' answers, takes the broker over its memory limit."""

import socket
import sys
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))

from clickhouse import ClickHouseEngine, HostedService
from engines import Client
from harness import TROUBLE, Case, CouldNotRunError, play

MEMORY_MB = 128  # within "32 to 192 MB" (LATER)
ENGINES, CLIENTS, REPORTS_EACH = 6, 2, 32
SPOILT_ONE_IN = 8
RUN_S = 0.2  # how long an engine works on a report
WATCH_S = 23.0
WAIT_MS = 25_000  # the class's deadline
ROWS = b"2026-12-05\tsfax\t1200\n" * 200


class Answers:
    """Decides which answers are spoilt: one of `SPOILT_ONE_IN`, from any engine equally."""

    def __init__(self, case: Case) -> None:
        self._case, self._lock, self.count, self.spoilt = case, threading.Lock(), 0, 0

    def next_is_spoilt(self, engine: str, name: str) -> bool:
        """Count one more answer, and return whether it is to be spoilt."""
        with self._lock:
            self.count += 1
            is_spoilt = TROUBLE and self.count % SPOILT_ONE_IN == 0
            self.spoilt += is_spoilt
        kind = "a header line that never ends" if is_spoilt else "200 and all rows"
        self._case.record.write(f"{engine} has run {name} and answers {kind}")
        return is_spoilt


class Engine(ClickHouseEngine):
    """An engine whose answer is sound, or has a header line that never ends."""

    def __init__(self, name: str, answers: Answers) -> None:
        self.answers = answers
        super().__init__(name, self.answer)

    def answer(self, *_: object) -> tuple[int, str, bytes]:
        """Return a sound answer."""
        return 200, "", ROWS

    def _serve(self, conn: socket.socket) -> None:
        file = conn.makefile("rb")
        try:
            while target := file.readline().split():
                size = 0
                while (line := file.readline()).strip():
                    if line.lower().startswith(b"content-length:"):
                        size = int(line.split(b":")[1])
                file.read(size)
                name = parse_qs(urlsplit(target[1].decode()).query).get("query_id", [""])[0]
                time.sleep(RUN_S)
                head = f"HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: {name}\r\n".encode()
                if self.answers.next_is_spoilt(self.name, name):
                    conn.sendall(head + b"X-ClickHouse-Summary: ")
                    while True:
                        conn.sendall(b"x" * 16_384)
                conn.sendall(head + b"Content-Length: %d\r\n\r\n" % len(ROWS) + ROWS)
        except (OSError, ValueError):
            pass
        finally:
            conn.close()


def memory_mb(pid: int) -> dict[str, float]:
    """Return a process's memory in MB: all that is resident, and the part of it that is no file."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    fields = dict(line.split(":", 1) for line in lines if ":" in line)
    return {name: int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "RssAnon")}


def read_answers(client: Client, answered: list[int]) -> None:
    """Count the answers that a client gets."""
    while client.get() is not None:
        answered.append(1)


def run(case: Case) -> tuple[bool, str]:
    """Ask for reports, and compare the broker's memory with its limit while the engines answer."""
    answers = Answers(case)
    service = HostedService(case, [Engine(f"ch-{i}", answers) for i in range(ENGINES)], memory_mb=MEMORY_MB)
    pid = case.processes["n1"].pid
    case.record.write(f"at the start: {memory_mb(pid)}; the limit is {MEMORY_MB} MB")
    answered: list[int] = []
    asked = CLIENTS * REPORTS_EACH
    for _ in range(CLIENTS):
        client = Client(service.broker.port)
        threading.Thread(target=read_answers, args=(client, answered), daemon=True).start()
        for _ in range(REPORTS_EACH):
            client.ask("report", WAIT_MS, cost=200.0)
    case.record.write(f"{CLIENTS} clients have asked for {asked} reports")
    highest, since, last = memory_mb(pid), time.monotonic(), 0.0
    while time.monotonic() < since + WATCH_S and (TROUBLE or len(answered) < asked):
        memory = memory_mb(pid)
        highest = max(highest, memory, key=lambda each: each["RssAnon"])
        if time.monotonic() > last + 0.5 or highest["RssAnon"] > MEMORY_MB:
            last = time.monotonic()
            case.record.write(f"{memory}; {len(answered)} answered, {answers.spoilt} spoilt")
        if highest["RssAnon"] > MEMORY_MB:
            break
        time.sleep(0.05)
    if case.exits():
        raise CouldNotRunError(f"a process ended: {case.exits()}")
    text = f"{highest['VmRSS']:.0f} MB ({highest['RssAnon']:.0f} MB of them no files) of {MEMORY_MB} MB"
    if highest["RssAnon"] > MEMORY_MB:
        return False, (
            f"{time.monotonic() - since:.1f} s after the first request the broker takes {text}, with "
            f"{answers.spoilt} spoilt answers: the platform kills it; "
            f"{asked - len(answered)} requests are open"
        )
    if len(answered) < asked and not TROUBLE:
        raise CouldNotRunError(f"{len(answered)} of {asked} answered without the disruption")
    return True, f"the broker took {text}; {len(answered)} of {asked} answered"


play(__file__, run)
