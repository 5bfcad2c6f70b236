"""Case 6: a failed query of a class that is unsafe to repeat is answered as a refusal, and is applied twice."""

import copy
import hashlib
import http.client
import secrets
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))

from clickhouse import SERVICE, ClickHouseEngine, NameServer  # noqa: E402
from fleet import SETTINGS, Broker  # noqa: E402
from harness import TROUBLE, Case, CouldNotRunError, call, free_port, play, wait_for  # noqa: E402

KEY = "a-key-of-the-sales-office"
ROUNDS = 12
WAIT_S = 1.5  # the client's max_execution_time


def settings() -> dict:
    """Return the site's settings with one more class, unsafe to repeat, as the pages allow."""
    site = copy.deepcopy(SETTINGS)
    unsafe = copy.deepcopy(site["Classes"][2]) | {"Name": "ledger", "Idempotency": "single_shot"}
    del unsafe["Group"], unsafe["MemorySpan"]
    site["Classes"].append(unsafe)
    site["FamilyInfo"]["IsLoad"].append(False)
    site["FamilyInfo"]["ClassWaits"].append(False)
    site["FamilyInfo"]["ThreadsByClass"].append(1)
    return site


def ask(case: Case, port: int, row: str) -> tuple[int, str, str]:
    """Send one INSERT under a new query id; return status, exception code and the text."""
    name = secrets.token_hex(8)
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S + 4)
    try:
        path = f"/?workload=ledger&max_execution_time={WAIT_S}&query_id={name}"
        headers = {"X-ClickHouse-User": "sales-office", "X-ClickHouse-Key": KEY}
        case.record.write(f"client sends {name}: INSERT of row {row}")
        connection.request("POST", path, f"INSERT INTO sales_17.ledger VALUES ('{row}')".encode(), headers)
        response = connection.getresponse()
        text = response.read().decode("utf-8", "replace").strip()
        code = response.getheader("X-ClickHouse-Exception-Code", "")
        case.record.write(f"client has for {name}: HTTP {response.status}, exception code {code or '-'}: {text}")
        return response.status, code, text
    finally:
        connection.close()


def run(case: Case) -> tuple[bool, str]:
    """Ask for one INSERT a round; repeat it only where the answer was a refusal; count what was applied."""
    losing = threading.Event()  # the second engine's answers do not arrive
    applied: dict[str, int] = {}

    def full(engine: ClickHouseEngine, name: str, parameters: dict, body: bytes) -> tuple:
        """Turn a query away: it never ran."""
        case.record.write(f"{engine.name} turns {name} away, full: it never ran")
        return 503, 202, b"Code: 202. DB::Exception: Too many simultaneous queries. (TOO_MANY)"

    def take(engine: ClickHouseEngine, name: str, parameters: dict, body: bytes) -> tuple | None:
        """Run a query; during the trouble its answer does not arrive."""
        row = body.decode().split("'")[1]
        applied[row] = applied.get(row, 0) + 1
        is_lost = losing.is_set()
        word = "its answer does not arrive" if is_lost else "and answers"
        case.record.write(f"{engine.name} runs {name}: row {row} is applied ({applied[row]}), {word}")
        return None if is_lost else (200, 0, b"")

    engines = [ClickHouseEngine("s-full", full), ClickHouseEngine("s-taking", take)]
    name_server = NameServer(engines, "node-16c")
    http_port, admin_port = free_port(), free_port()
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    service = case.tmp / "clickhouse.toml"
    service.write_text(
        f'[clickhouse]\nlisten = "127.0.0.1:{http_port}"\n\n'
        '[engines]\nuser = "broker"\nkey_env = "CYPRESSLEDGE_ENGINE_KEY"\n\n'
        f'[dns_sd]\nserver = "127.0.0.1:{name_server.port}"\nservice = "{SERVICE.rstrip(".")}"\n\n'
        f'[admin]\nlisten = "127.0.0.1:{admin_port}"\ntoken_env = "CYPRESSLEDGE_ADMIN_TOKEN"\n\n'
        f'[[tenant]]\nname = "sales-office"\nkey_sha256 = "{digest}"\n',
        encoding="utf-8",
    )
    broker = Broker(
        case, "n1", {}, f"--service {service}", settings=settings(),
        CYPRESSLEDGE_ENGINE_KEY="engine-key", CYPRESSLEDGE_ADMIN_TOKEN="an-admin-token-of-24-ch",
    ).wait_until_ready()
    wait_for(lambda: call(http_port, "GET", "/ping")[0] == 200, "the engines to be found")
    refusals = 0
    for number in range(ROUNDS):
        row = f"payment-{number}"
        if TROUBLE:
            losing.set()
        status, code, _ = ask(case, http_port, row)
        losing.clear()
        if status == 503:  # refused: trying again is harmless
            refusals += 1
            time.sleep(1.0)
            ask(case, http_port, row)
        if applied.get(row, 0) > 1:
            return False, (
                f"row {row} was applied {applied[row]} times: the first try, which had run, was answered "
                f"HTTP 503, exception code {code}"
            )
        if case.exits():
            raise CouldNotRunError(f"a process ended: {case.exits()} {case.log(broker.name)[-300:]}")
    if not any(applied.values()):
        raise CouldNotRunError("no query ran")
    return True, f"{len(applied)} rows applied once each, {refusals} refusals"


play(__file__, run)
