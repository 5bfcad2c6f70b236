"""Control processes and brokers that follow them, as processes on the loopback; ended whatever happens."""

import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

import gevent
import yaml
from gevent import subprocess

from cypressledge.lab.demo import ask
from cypressledge.lab.load import Client
from cypressledge.lab.processes import ROOT, until
from cypressledge.lab.site import SETTINGS, config, free_port

TERM = 1.2
WAIT = 20


def local(kind=socket.SOCK_STREAM):
    return f"127.0.0.1:{free_port(kind)}"


def run(*args):
    """A command of the program, while this process's greenlets go on."""
    done = subprocess.run(
        [sys.executable, "-m", "cypressledge", *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        timeout=60,
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


class ProgramProcess:
    """One process, its log in a file."""

    def __init__(self, name, folder):
        self.name, self.log = name, folder / f"{name}.log"
        self.process = None

    def launch(self, *args, **env):
        # Guards against a second start that would leave the first one running for good.
        assert self.process is None or self.process.poll() is not None, f"{self.name} runs already"
        plain = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "CYPRESSLEDGE_"))}
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cypressledge", *args],
                cwd=ROOT,
                env=plain | env,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def terminate(self, seconds):
        """SIGTERM; (exit code, seconds)."""
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(seconds), time.monotonic() - began

    def words(self):
        return self.log.read_text(encoding="utf-8") if self.log.exists() else ""

    def logged(self, name):
        lines = [json.loads(x) for x in self.words().splitlines() if x.startswith("{") and x.endswith("}")]
        return [e for e in lines if e["event"] == name]


class Control(ProgramProcess):
    """One control process."""

    def __init__(self, plane, spec):
        super().__init__(spec["name"], plane.folder)
        self.plane, self.spec = plane, spec
        self.management = int(spec["management"].rpartition(":")[2])

    def start(self, *more, fault=""):
        self.launch(
            "control",
            "serve",
            "--settings",
            str(self.plane.file),
            "--name",
            self.name,
            "--store",
            str(self.plane.folder / f"store-{self.name}"),
            *more,
            CYPRESSLEDGE_LAB_FAULT=fault,
            CYPRESSLEDGE_LAB_ONCE=str(self.plane.folder / "once"),
        )

    def status(self):
        return ask(self, "/control/status") or {}


class Broker(ProgramProcess):
    """A broker that follows them; `fleet`: what its fleet file holds, none without the fleet's part;
    `settings`: of its own file, in place of the laboratory's."""

    def __init__(self, plane, name, members=(), fleet=None, settings=None):
        super().__init__(name, plane.folder)
        self.plane, self.fleet = plane, fleet
        self.port, self.management = free_port(), free_port()
        self.config = plane.folder / f"{name}.json"
        self.config.write_text(json.dumps(config(name, self.port, self.management, list(members), settings)))

    def start(self):
        more = []
        if self.fleet is not None:
            file = self.plane.folder / f"{self.name}-fleet.yaml"
            file.write_text(yaml.safe_dump(self.fleet))
            more = ["--fleet", str(file)]
        self.launch(
            "--control",
            str(self.plane.file),
            *more,
            ROUTER_CONFIG=str(self.config),
            TMPDIR=str(self.plane.folder),
        )

    def status(self):
        return ask(self, "/control/status") or {}

    def counter(self, name):
        """A counter, from the log that SIGUSR1 makes it write."""

        def lines():
            return [x for x in self.words().splitlines(True) if x.startswith("counters (asked)")]

        before = len(lines())
        self.process.send_signal(signal.SIGUSR1)
        assert until(lambda: len(lines()) > before and lines()[-1].endswith("\n"), WAIT), self.words()
        return int(dict(w.split("=", 1) for w in lines()[-1].split() if "=" in w).get(name, 0))

    def serves(self, count=5, seconds=WAIT):
        """Whether so many lookups are answered with a result in time."""
        client = Client([self.port], 0.02, 0)
        asking = gevent.spawn(client.run)
        try:
            return bool(until(lambda: client.counts["served"] >= count, seconds))
        finally:
            asking.kill()


class ControlPlane:
    """So many control processes, of which `voters` vote; not started yet. `more`: for their settings."""

    def __init__(self, count=3, voters=3, seed=None, **more):
        self.own = tempfile.TemporaryDirectory(prefix="cypressledge-control-")
        self.folder = Path(self.own.name)
        self.file, self.seed = self.folder / "control.yaml", self.folder / "seed.yaml"
        servers = [
            {
                "name": f"c{i + 1}",
                "address": local(),
                "fleet": local(socket.SOCK_DGRAM),
                "management": local(),
                "zone": "room1",
                "votes": i < voters,
            }
            for i in range(count)
        ]
        self.record = self.folder / "record.jsonl"
        self.file.write_text(
            yaml.safe_dump(
                {
                    "servers": servers,
                    "term_s": TERM,
                    "ping_s": 0.2,
                    "grace_s": 1.0,
                    "lab": {"record": str(self.record)},
                }
                | more
            )
        )
        self.seed.write_text(yaml.safe_dump(seed or {"config": SETTINGS}))
        self.controls = {s["name"]: Control(self, s) for s in servers}
        self.brokers = {}
        self.count = 0

    def start(self, fault=""):
        """All of them; whoever comes to the fault first has it. The primary's name."""
        for control in self.controls.values():
            control.start("--first", str(self.seed), fault=fault)
        return self.primary()

    def primary(self, but="", seconds=WAIT):
        """Waits for one; its name."""

        def found():
            said = {c.name: c.status() for c in self.controls.values() if c.name != but}
            return next((n for n, s in said.items() if s.get("role") == "primary"), None)

        got = until(found, seconds, 0.05)
        assert got, self.words()
        return got

    def broker(self, name, *what, **how):
        self.brokers[name] = Broker(self, name, *what, **how)
        self.brokers[name].start()
        return self.brokers[name]

    def at(self):
        return [w for c in self.controls.values() for w in ("--at", c.spec["management"])]

    def change(self, what, *more):
        """`control change` of plain data; (exit code, all words)."""
        self.count += 1
        file = self.folder / f"change-{self.count}.yaml"
        file.write_text(yaml.safe_dump(what))
        code, out, err = run("control", "change", str(file), *self.at(), *more)
        return code, out + err

    def records(self, event):
        lines = self.record.read_text().splitlines() if self.record.exists() else []
        return [told for told in map(json.loads, lines) if told["event"] == event]

    def words(self):
        return "\n".join(p.words()[-2500:] for p in [*self.controls.values(), *self.brokers.values()])

    def end(self):
        for process in [*self.controls.values(), *self.brokers.values()]:
            process.kill()
        self.own.cleanup()
