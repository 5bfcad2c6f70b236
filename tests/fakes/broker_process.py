"""A broker as a process, and a test case that starts and stops brokers, engines and clients."""

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
    """Options of a broker process."""

    change: dict | None = None  # top-level configuration keys to replace
    optimise: bool = True  # run with -O, without assertions, as in production
    service: Callable[["BrokerProcess"], str] | None = None  # returns the text of the service file
    env: dict[str, str] | None = None  # environment variables to add
    inherited_fds: tuple[int, ...] = ()  # file descriptors that the process inherits
    port: int | None = None  # port to listen on; a free one by default
    hooks: dict[str, str] | None = None  # name -> point to stop at; see program_with_breakpoints.py
    max_open_fds: int | None = None  # limit of open file descriptors (RLIMIT_NOFILE)


def engine_member(engine) -> dict:
    """Return the entry of an engine in the engine list."""
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
    """The program as a process, with a fake name server and its files in a temporary folder.

    `options` are the fields of `ProcessOptions`.
    """

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
        if limit := self.options.max_open_fds:  # set at once, before the program reads the limit
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
        """Return whether the broker accepts connections and reports itself as healthy.

        Raises `AssertionError` if its process has ended or the connection fails before the answer.
        """
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
            raise AssertionError(
                f"no answer to `status` from the broker on port {self.port}: {err}\n{self.log_text()}"
            ) from err
        client.close()
        return answer["result"]["healthy"]

    def wait_until_ready(self):
        """Wait until the broker is healthy, and return it."""
        wait_until(self.healthy, "a healthy broker")
        return self

    def wait_for_hook(self, name):
        """Wait until the program has stopped at a hook."""
        wait_until((Path(self.dir.name) / f"{name}.at").exists, f"the program to reach the hook {name}")

    def release_hook(self, name):
        """Let the program continue from a hook."""
        (Path(self.dir.name) / f"{name}.go").touch()

    def wait_for_log(self, text):
        """Wait until the log contains a text."""
        wait_until(lambda: text in self.log_text(), f"{text!r} in the log")

    def wait_for_counter(self, name, min_count=1):
        """Wait until a counter has reached `min_count`.

        The broker must run with ROUTER_FIGURES_S, which makes it log its counters periodically.
        """
        wait_until(lambda: self.count(name) >= min_count, f"{name}={min_count}")

    def count(self, name):
        """Return the value of a counter from the newest log line with counters; 0 if it is missing."""
        lines = [line for line in self.log_text().splitlines() if "counters (" in line]
        counters = dict(pair.split("=") for pair in lines[-1].split(": ", 1)[1].split()) if lines else {}
        return int(counters.get(name, 0))

    def publish_list(self, serial):
        """Set the serial number of the directory's list, and wait until the broker has read the list."""
        self.dns.serial = serial
        self.wait_for_list()

    def publish_outdated_list(self, serial):
        """Set a lower serial number for the directory's list, and wait until a poll has received it."""
        self.dns.serial = serial
        query_count = len(self.dns.directory_clients)
        wait_until(lambda: self.dns.polls_ended_after(query_count), "a poll that receives the outdated list")

    def wait_for_list(self):
        """Wait until the broker has read the current engine list of the directory.

        A poll without a valid answer repeats its query, so a poll of one query has accepted its answer.
        Counting queries alone is not enough: on a slow machine, two queries may belong to one poll that has
        no answer yet.
        """
        query_count = len(self.dns.directory_clients)
        wait_until(lambda: 1 in self.dns.polls_ended_after(query_count), "the new list")

    def reload(self, text=None, **change):
        """Replace the configuration file, send SIGHUP, wait for the result in the log and return its lines.

        The file contains `text`, or the present configuration with the keys in `change` replaced.
        """
        reload_count = self.log_text().count("reload:")
        self.config |= change
        self.path.write_text(json.dumps(self.config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)
        wait_until(lambda: self.log_text().count("reload:") > reload_count, "the reload")
        return self.log_text().splitlines()

    def log_text(self):
        """Return the log so far."""
        return Path(self.log.name).read_text()

    def close(self):
        """Kill the process, stop the name server and remove the folder."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()
        self.dns.close()
        self.dir.cleanup()


class BrokerTestCase(unittest.TestCase):
    """A test case that starts engines, brokers and clients, and stops them when a test ends."""

    def engine(self, *args, kind=FakeLineEngine, **more):
        """Start a fake engine of the class `kind`."""
        engine = kind(*args, **more)
        self.addCleanup(engine.close)
        return engine

    def broker(self, *engines, **more):
        """Start a broker, and wait until it is healthy if it has engines."""
        broker = BrokerProcess(engines, **more)
        self.addCleanup(broker.close)
        return broker.wait_until_ready() if engines else broker

    def client(self, broker):
        """Connect a client to a broker."""
        client = JsonRpcClient(broker.port)
        self.addCleanup(client.close)
        return client
