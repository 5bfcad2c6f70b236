"""Case 7: an INSERT that has run is refused, though its client gave it no key, and is applied twice."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))

from clickhouse import ClickHouseEngine, HostedService, Table
from harness import TROUBLE, Case, CouldNotRunError, play, wait_for

ENGINES = 6  # one of them dies: 17 in 100
# Each into a group of tables of its own. One engine has eight at least; the ration of further attempts is 7.
INSERTS = 48
REPEATS = 3  # a client's, after a refusal


def send(service: HostedService, row: str, group: int) -> None:
    """Send one INSERT as the README shows it; repeat it, under a new query id and marked as a repeat, only
    after a rejection as the README has it: 503 with `Retry-After`."""
    for attempt in range(1 + REPEATS):
        mark = "&client_retry=1" if attempt else ""
        answer = service.insert(f"INSERT INTO sales_{group}.ledger VALUES ('{row}')", mark)
        if answer.status != 503 or not answer.retry_after:
            return
        time.sleep(answer.retry_after)


def run(case: Case) -> tuple[bool, str]:
    """Have INSERTs run at six engines, let one die that has run its share, and count the rows."""
    table = Table()
    running: dict[str, int] = {}
    dead: list[ClickHouseEngine] = []
    finish = threading.Event()

    def take(engine: ClickHouseEngine, name: str, parameters: dict, body: bytes) -> tuple | None:
        """Run an INSERT: apply it at once, answer it in the end, unless its engine has died by then."""
        row = body.decode().split("'")[1]
        token = parameters.get("insert_deduplication_token", "")
        is_new = table.insert(row, token)
        running[engine.name] = running.get(engine.name, 0) + 1
        case.record.write(
            f"{engine.name} runs {name} (workload {parameters.get('workload')}, token {token}): "
            f"row {row} {'is applied' if is_new else 'is known by its token: dropped'}"
        )
        finish.wait(20)
        return None if engine in dead else (200, 0, b"")

    engines = [ClickHouseEngine(f"s-{number}", take) for number in range(ENGINES)]
    service = HostedService(case, engines)
    clients = [
        threading.Thread(target=send, args=(service, f"row-{number}", number + 1), daemon=True)
        for number in range(INSERTS)
    ]
    for client in clients:
        client.start()
    wait_for(lambda: len(table.applied) == INSERTS, "all INSERTs to run", 15)
    if TROUBLE:
        dying = max(engines, key=lambda engine: running.get(engine.name, 0))
        case.record.write(f"{dying.name} dies with {running[dying.name]} INSERTs that it has not answered")
        dead.append(dying)
        dying.die()
        time.sleep(0.3)
    finish.set()
    for client in clients:
        client.join(60)
    if case.exits():
        raise CouldNotRunError(f"a process ended: {case.exits()}")
    twice = sorted(row for row, count in table.applied.items() if count > 1)
    if twice:
        return False, (
            f"{len(twice)} of {INSERTS} rows were applied twice, each repeated by its client only after a "
            f"refusal: {' '.join(twice)}"
        )
    return True, f"{len(table.applied)} rows, each applied once"


play(__file__, run)
