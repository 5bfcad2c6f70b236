"""The real program as a process, and a test case that starts what a test needs and ends it."""

import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from cypressledge.lab.site import SETTINGS, free_port
from tests.fakes.fake_engines import FakeLineEngine
from tests.fakes.fake_name_server import FakeNameServer
from tests.fakes.json_rpc_client import JsonRpcClient
from tests.fakes.support import ROOT, wait_until

CONFIGURED_VARIABLES = ("ROUTER_NAME", "ROUTER_LISTEN")  # not inherited: the configuration sets both
PROGRAM_WITH_BREAKPOINTS = "tests/fakes/program_with_breakpoints.py"


@dataclass(frozen=True, slots=True)
class ProcessOptions:
    """How a broker process is started."""

    change: dict | None = None  # of the configuration, by its keys
    optimise: bool = True  # without the interpreter's assertions, as in production
    service: Callable[["BrokerProcess"], str] | None = None  # gives the service file's text
    env: dict[str, str] | None = None
    inherited_fds: tuple[int, ...] = ()  # descriptors that it inherits
    port: int | None = None
    hooks: dict[str, str] | None = None  # see program_with_breakpoints.py
    max_open_fds: int | None = None  # how many it may have open


def engine_member(engine) -> dict:
    """An engine as the directory lists it."""
    return {
        "id": engine.name,
        "host_port": f"127.0.0.1:{engine.port}",
        "locality": "room1",
        "cell": 0,
        "flavor": getattr(engine, "kind", "node-8c"),
        "phase": "Ready",
        "size": 4,
        "up_since_ms": 0,
    }


class BrokerProcess:
    """The real program as a process; `options`: see `ProcessOptions`."""

    def __init__(self, engines=(), **options):
        self.options = ProcessOptions(**options)
        self.dns = FakeNameServer()
        self.port = self.options.port or free_port()
        self.dir = tempfile.TemporaryDirectory()
        for engine in engines:
            self.dns.engines[engine.name] = (engine.port, 0)
        self.config = self._configuration(engines) | (self.options.change or {})
        self.path = Path(self.dir.name) / "config.json"
        self.path.write_text(json.dumps(self.config))
        self.log = open(Path(self.dir.name) / "log", "w+")
        self.process = subprocess.Popen(
            self._command(),
            cwd=ROOT,
            stderr=self.log,
            env=self._environment(),
            pass_fds=self.options.inherited_fds,
        )
        if limit := self.options.max_open_fds:  # before it has read how many there are
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limit, limit))

    def _configuration(self, engines) -> dict:
        members = [engine_member(engine) for engine in engines]
        return {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "dns": f"127.0.0.1:{self.dns.port}",
            "known": {
                "offset": 1,
                "batch": [{"offset": 1, "topology": {"revision": 1, "complete": True, "members": members}}],
            },
            "settings": SETTINGS,
        }

    def _command(self) -> list[str]:
        optimise = ["-O"] if self.options.optimise else []
        program = [str(ROOT / PROGRAM_WITH_BREAKPOINTS)] if self.options.hooks else ["-m", "cypressledge"]
        command = [sys.executable, *optimise, *program]
        if self.options.service:
            file = Path(self.dir.name) / "service.toml"
            file.write_text(self.options.service(self))
            command += ["--service", str(file)]
        return command

    def _environment(self) -> dict[str, str]:
        inherited = {name: value for name, value in os.environ.items() if name not in CONFIGURED_VARIABLES}
        environment = inherited | {"ROUTER_CONFIG": str(self.path)}
        if self.options.hooks:
            points = " ".join(f"{name}={point}" for name, point in self.options.hooks.items())
            environment |= {"HOOKS": points, "HOOKS_DIR": self.dir.name}
        return environment | (self.options.env or {})

    def healthy(self):
        """Whether it serves."""
        if self.process.poll() is not None:
            raise AssertionError(self.log_text())
        try:
            client = JsonRpcClient(self.port)
        except OSError:
            return False
        client.send("status")
        try:
            answer = client.get()
        except OSError as err:
            raise AssertionError(f"no answer of a broker that starts: {err}\n{self.log_text()}") from err
        client.close()
        return answer["result"]["healthy"]

    def wait_until_ready(self):
        """Wait until it serves."""
        wait_until(self.healthy, "a healthy broker")
        return self

    def wait_for_hook(self, name):
        """Wait until the program stands at a hook."""
        wait_until((Path(self.dir.name) / f"{name}.at").exists, f"the point {name}")

    def release_hook(self, name):
        """Let it on."""
        (Path(self.dir.name) / f"{name}.go").touch()

    def wait_for_log(self, text):
        """Wait until the log says so."""
        wait_until(lambda: text in self.log_text(), text)

    def wait_for_counter(self, name, min_count=1):
        """Wait until the program has counted so many of a name (start it with ROUTER_FIGURES_S)."""
        wait_until(lambda: self.count(name) >= min_count, f"{name}={min_count}")

    def count(self, name):
        """What it has counted of a name, as its log tells."""
        lines = [line for line in self.log_text().splitlines() if "counters (" in line]
        counters = dict(pair.split("=") for pair in lines[-1].split(": ", 1)[1].split()) if lines else {}
        return int(counters.get(name, 0))

    def publish_list(self, serial):
        """Give the directory's list a number, and wait until the broker has it."""
        self.dns.serial = serial
        self.wait_for_list()

    def publish_outdated_list(self, serial):
        """Give the directory's list a lower number, and wait until a poll has met it."""
        self.dns.serial = serial
        query_count = len(self.dns.directory_clients)
        wait_until(lambda: self.dns.polls_ended_after(query_count), "a poll that meets the outdated list")

    def wait_for_list(self):
        """Wait until the broker has the directory's list as it is now.

        A poll that took one query has accepted its answer: without a good one it repeats the query.
        Guards against slow machines, where two queries may belong to one poll that has no answer yet.
        """
        query_count = len(self.dns.directory_clients)
        wait_until(lambda: 1 in self.dns.polls_ended_after(query_count), "the new list")

    def reload(self, text=None, **change):
        """Replace the configuration file, send SIGHUP, and wait for what the broker says of it."""
        reload_count = self.log_text().count("reload:")
        self.config |= change
        self.path.write_text(json.dumps(self.config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)
        wait_until(lambda: self.log_text().count("reload:") > reload_count, "the reload")
        return self.log_text().splitlines()

    def log_text(self):
        return Path(self.log.name).read_text()

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()
        self.dns.close()
        self.dir.cleanup()


class BrokerTestCase(unittest.TestCase):
    """Starts what a test needs and ends it."""

    def engine(self, *args, kind=FakeLineEngine, **more):
        engine = kind(*args, **more)
        self.addCleanup(engine.close)
        return engine

    def broker(self, *engines, **more):
        broker = BrokerProcess(engines, **more)
        self.addCleanup(broker.close)
        return broker.wait_until_ready() if engines else broker

    def client(self, broker):
        client = JsonRpcClient(broker.port)
        self.addCleanup(client.close)
        return client
