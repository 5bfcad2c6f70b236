"""The operators' commands of the control plane (click): `cypressledge control …`. Exit codes of `change`:

0: taken, and in force at every broker that is connected; 1: taken, but some brokers lag or turn it down, or
it isn't known whether it was taken: ask again under the same request name; 2: refused, nothing has changed.
"""

import http.client
import json
import os
import sys
import time
import uuid

import click

from cypressledge.clitools import ManagementAddress, as_json, show
from cypressledge.config import parse_address

ANSWER_S = 2.0  # seconds for an answer
CHANGE_S = 6.0  # for that to a change, which may wait 5 for its majority
PAUSE_S = 0.3  # seconds between tries, and between looks at who lags
KINDS = {"config": "config", "engines": "engine", "brokers": "broker"}

Address = tuple[str, int]

at_control = click.option(
    "--at",
    type=ManagementAddress(),
    envvar="CYPRESSLEDGE_CONTROL",
    required=True,
    multiple=True,
    help="A control process's management address; several may be named.",
)


class NoAnswer(Exception):
    """Nobody answered, or what came was none of ours."""


def ask(at: Address, method: str, path: str, body: str = "") -> tuple[int, dict]:
    """A control process's status and JSON. Raises `NoAnswer`."""
    conn = http.client.HTTPConnection(*at, timeout=CHANGE_S if method == "POST" else ANSWER_S)
    try:
        conn.request(method, path, body.encode())
        answer = conn.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as err:
        raise NoAnswer(f"no answer from {at[0]}:{at[1]}: {err}") from None
    finally:
        conn.close()


class Primary:
    """Asks whoever is the primary, wherever that is now: follows "not primary", and goes round the addresses
    that are known where nobody answers."""

    def __init__(self, known: tuple[Address, ...], until: float) -> None:
        self.known, self.until = list(known), until

    def ask(self, method: str, path: str, body: str = "") -> tuple[int, dict]:
        """The answer, tried until the time is up. Raises `NoAnswer`. For what may be asked twice only."""
        while True:
            try:
                self._find()
                status, told = ask(self.known[0], method, path, body)
            except NoAnswer as err:
                why = str(err)
                self.known.append(self.known.pop(0))
            else:
                if told.get("answer") not in ("not primary", "unknown"):
                    return status, told
                why = told["answer"] + (f": {told['why']}" if told.get("why") else "")
                self._learn(told)
            if time.monotonic() >= self.until:
                raise NoAnswer(why)
            time.sleep(PAUSE_S)

    def _find(self) -> None:
        """The primary's address first. Guards against a change that waits long for one that stands still.
        Raises `NoAnswer`."""
        told = ask(self.known[0], "GET", "/control/status")[1]
        if told.get("role") != "primary":
            self._learn(told)
            if not told.get("at"):
                raise NoAnswer("there is no primary")

    def _learn(self, told: dict) -> None:
        """Where the others are, the primary first."""
        at = self.known[0]
        others = [parse_address(text) for text in told.get("servers", ())]
        first = [parse_address(told["at"])] if told.get("at") else []
        self.known = list(dict.fromkeys([*first, *self.known[1:], *others, at]))


def one(at: tuple[Address, ...], path: str) -> dict:
    """What the first that answers tells. Raises `ClickException`."""
    why = ""
    for server in at:
        try:
            status, told = ask(server, "GET", path)
        except NoAnswer as err:
            why = str(err)
            continue
        if status != 200:
            raise click.ClickException(told.get("why") or f"HTTP {status}")
        return told
    raise click.ClickException(why)


@click.group()
def control() -> None:
    """The control plane: one history of configuration, engines and brokers."""


@control.command()
@click.option("--settings", "file", required=True, metavar="FILE", help="As deploy/control.yaml.")
@click.option("--name", required=True, help="Which of the file's servers this is.")
@click.option("--store", "folder", required=True, metavar="DIR", help="Where this one keeps the history.")
@click.option(
    "--first",
    "seed",
    default="",
    metavar="SEED.yaml",
    help="Begin a new history, with what this file holds (as for `change`). Every voter gets it.",
)
@click.option("--rejoin", is_flag=True, help="The disk was lost: take the history from the others.")
def serve(file: str, name: str, folder: str, seed: str, rejoin: bool) -> None:
    """Run one control process."""
    from cypressledge.controlplane.server import main

    if seed and rejoin:
        raise click.UsageError("--first begins a new history, --rejoin takes the others': not both")
    sys.exit(main(file, name, folder, read_ops(seed) if seed else None, rejoin))


@control.command()
@at_control
@as_json
def status(at: tuple[Address, ...], as_json: bool) -> None:
    """How each of the control processes named stands."""
    rows, silent = [], 0
    for server in at:
        try:
            told = ask(server, "GET", "/control/status")[1]
        except NoAnswer as err:
            click.echo(str(err), err=True)
            silent += 1
            continue
        if as_json:
            rows.append(told)
            continue
        rows.append(
            {
                key: told.get(key)
                for key in (
                    "name",
                    "role",
                    "primary",
                    "epoch",
                    "version",
                    "commit",
                    "brokers",
                    "peers",
                    "digest",
                )
            }
        )
    show(rows, as_json)
    sys.exit(1 if silent else 0)


@control.command()
@at_control
@click.option("--prefix", default="", help="Keys that begin so: config/, engine/, broker/.")
def state(at: tuple[Address, ...], prefix: str) -> None:
    """The committed state, as JSON."""
    from urllib.parse import quote

    click.echo(json.dumps(one(at, f"/control/state?prefix={quote(prefix)}"), indent=2))


@control.command()
@at_control
@click.option("--from", "since", default=0, type=click.IntRange(0), help="From this version on.")
@as_json
def history(at: tuple[Address, ...], since: int, as_json: bool) -> None:
    """The changes that are kept, the newest last."""
    told = one(at, f"/control/history?from={since}")
    if told["from"] > max(since, 1) and not as_json:
        click.echo(f"kept from version {told['from']} on")
    show(told["changes"], as_json)


@control.command()
@at_control
@click.option("--version", default=0, type=click.IntRange(0), help="The newest where none is named.")
def lag(at: tuple[Address, ...], version: int) -> None:
    """Who has not a version in force yet. Exit code 1 where anybody lags or turns it down."""
    try:
        code, told = Primary(at, time.monotonic() + CHANGE_S).ask("GET", f"/control/lag?version={version}")
    except NoAnswer as err:
        raise click.ClickException(str(err)) from None
    if code != 200:
        raise click.ClickException(told.get("why") or f"HTTP {code}")
    say_lag(told)
    sys.exit(exit_code(told))


def exit_code(told: dict) -> int:
    """0 where a version is known to be in force at every connected broker."""
    return 1 if told["lagging"] or told["unheard"] or told.get("refused") else 0


def say_lag(told: dict) -> None:
    """Who lags, who turned it down, and who can't be reached, a line each."""
    lagging, away = told["lagging"], told["unreachable"]
    click.echo(
        f"version {told['version']}: in force at {told['in_force']} of {told['connected']} brokers"
        + (f"; {lagging} lag: {' '.join(told['names'])}" if lagging else "")
    )
    if told.get("refused"):  # a primary of the release before doesn't know who
        named = [f"{name}: {why}" for name, why in told["refused_by"].items()]
        more = told["refused"] - len(named)
        click.echo("refused by: " + "; ".join(named + ([f"and {more} more"] if more else [])))
    if told["unheard"]:
        click.echo(f"{' '.join(told['unheard'])} have not said yet who is connected to them")
    if away:
        click.echo(f"{away} are registered, but connected nowhere: {' '.join(told['unreachable_names'])}")


def read_ops(path: str) -> dict:
    """The file's sections as `set` and `remove`: null removes. Raises `ClickException`."""
    import yaml

    try:
        with open(path, encoding="utf-8") as file:
            raw = yaml.safe_load(file)
    except (OSError, UnicodeDecodeError) as err:
        raise click.UsageError(f"{path}: {err}") from None
    except (yaml.YAMLError, RecursionError) as err:
        raise click.UsageError(f"{path} is not YAML: {' '.join(str(err).split())}") from None
    if not isinstance(raw, dict) or not raw or not set(raw) <= set(KINDS):
        raise click.UsageError(f"{path}: a change has the parts {', '.join(KINDS)}, and nothing else")
    ops = {"set": {}, "remove": []}
    for kind, part in raw.items():
        if not isinstance(part, dict):
            raise click.UsageError(f"{path}: {kind} is no mapping")
        for name, value in part.items():
            if value is None:
                ops["remove"].append(f"{KINDS[kind]}/{name}")
            else:
                ops["set"][f"{KINDS[kind]}/{name}"] = value
    return ops


@control.command()
@click.argument("file", metavar="FILE.yaml")
@at_control
@click.option("--request", default="", help="Names this request, so that a repeat is known; drawn if absent.")
@click.option(
    "--against",
    default=None,
    type=click.IntRange(0),
    help="The version it was made on: refused where one of its keys has changed since.",
)
@click.option("--why", default="", help="It stands in the history.")
@click.option(
    "--wait",
    default=30.0,
    show_default=True,
    type=click.FloatRange(0),
    help="Seconds for the whole: to be taken, and to be in force everywhere.",
)
@click.option("--dry-run", is_flag=True, help="Only say what would come of it.")
def change(
    file: str,
    at: tuple[Address, ...],
    request: str,
    against: int | None,
    why: str,
    wait: float,
    dry_run: bool,
) -> None:
    """Change configuration, engines or brokers (FILE.yaml: config, engines, brokers; null removes).

    Exit code 0: taken, and in force at every connected broker. 1: taken, but some lag after the wait or have
    turned it down, or not known: repeat it under the same --request. 2: refused, nothing changed."""
    ops = read_ops(file)
    request = request or f"{os.environ.get('USER', 'operator')}-{uuid.uuid4().hex[:12]}"
    try:
        body = json.dumps(
            {
                "base": against,
                "request": request,
                "who": os.environ.get("USER", ""),
                "why": why,
                "ops": ops,
                "dry_run": dry_run,
            },
            allow_nan=False,
        )
    except (TypeError, ValueError) as err:
        raise click.UsageError(f"{file}: not plain data: {err}") from None
    until = time.monotonic() + wait
    primary = Primary(at, until)
    try:
        told = primary.ask("POST", "/control/change", body)[1]
    except NoAnswer as err:
        click.echo(f"not known whether it was taken ({err}): repeat it with --request {request}", err=True)
        sys.exit(1)
    if told["answer"] not in ("done", "would do"):
        click.echo(f"refused: {told['answer']}: {told.get('why', '')}", err=True)
        sys.exit(2)
    if dry_run:
        click.echo(f"would be version {told['version']}: {told['keys']} keys")
        sys.exit(0)
    click.echo(f"taken as version {told['version']} (epoch {told['epoch']}, request {request})")
    sys.exit(_in_force(primary, told["version"], until) if wait else 0)


def _in_force(primary: Primary, version: int, until: float) -> int:
    """Wait until nobody lags; the exit code."""
    told = None
    while True:
        try:
            code, got = primary.ask("GET", f"/control/lag?version={version}")
            told = got if code == 200 else told
        except NoAnswer as err:
            click.echo(f"not known who lags: {err}", err=True)
            return 1
        if told is not None and not told["lagging"] and not told["unheard"] or time.monotonic() >= until:
            break
        time.sleep(PAUSE_S)
    if told is None:
        click.echo("not known who lags", err=True)
        return 1
    say_lag(told)
    return exit_code(told)
