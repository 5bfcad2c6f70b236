"""Starts control processes and brokers of a small deployment. Files are JSON, which is YAML as well."""

import json
import socket
from pathlib import Path

from harness import RUN_BROKER, RUN_PROGRAM, Case, CouldNotRunError, call, free_port, get_json, wait_for

SETTINGS = {
    "Classes": [
        {
            "Name": "lookup",
            "Objective": 600000,
            "Deadline": 3000000,
            "Idempotency": "free",
            "Group": "all",
            "AimStretch": 1.5,
            "Worth": 1.0,
            "LateWorth": 0.1,
            "MemorySpan": 5000000,
            "Stream": False,
        },
        {
            "Name": "report",
            "Objective": 1500000,
            "Deadline": 25000000,
            "Idempotency": "free",
            "Group": "all",
            "AimStretch": 2.5,
            "Worth": 10.0,
            "LateWorth": 0.4,
            "MemorySpan": 5000000,
            "Stream": False,
        },
        {
            "Name": "order-load",
            "Objective": 4000000,
            "Deadline": 20000000,
            "Idempotency": "guarded",
            "Group": "all",
            "AimStretch": 2.5,
            "Worth": 12.0,
            "LateWorth": 0.6,
            "MemorySpan": 12000000,
            "Stream": False,
        },
    ],
    "Customers": [
        {"Name": "grand-tunis", "Fraction": 0.58, "QuotaRps": 58.0},
        {"Name": "sahel", "Fraction": 0.26, "QuotaRps": 26.0},
    ],
    "Callers": {"MarksRetry": True},
    "Dcs": ["sfax-room1"],
    "Skus": ["node-8c", "node-16c"],
    "Family": "queries",
    "Step": 5000,
    "SlotNo": 0,
    "PeersTotal": 1,
    "RegistryMode": "pushed",
    "Tier": 0,
    "Zone": 0,
    "WeightKind": "none",
    "WorthBy": "request",
    "OverShareWorth": 0.1,
    "Layers": ["order-query"],
    "FamilyInfo": {
        "CoresByKind": [8, 16],
        "KindMemoryMb": [16384.0, 32768.0],
        "LargestShare": 0.4,
        "IsLoad": [False, False, True],
        "ClassWaits": [True, False, False],
        "Priorities": True,
        "TakesGrants": True,
        "TellsEvery": 1000000,
        "ThreadsByClass": [1, 2, 2],
        "CostInAnswers": False,
        "WhenShort": "page",
    },
    "Limits": {
        "ConnIdle": 30000000,
        "ConnectTimeout": 250000,
        "MaxAttempts": 3,
        "MayCancel": True,
        "MaxRetryAfter": 1000000,
        "SecondCopies": True,
        "StreamsPerConn": 32,
        "OpenCap": 40000,
        "Peers": False,
        "Probes": False,
        "RetryAfter": False,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 800000,
    },
    "Report": {"How": "none", "Names": []},
    "Rules": {
        "DrainGrace": 2000000,
        "Fall": 2000000,
        "FallMultiple": 2.0,
        "GraceToAnswer": 20000,
        "MinExtra": 3.0,
        "RatioSpan": 5000000,
        "ResendRatio": 0.1,
        "StartCapacity": 0.31,
        "WarmWithin": 14000000,
        "AskWithin": 10000000,
    },
}


class ControlPlane:
    """Three control processes that vote, as in deploy/control.yaml, each with a store of its own."""

    def __init__(self, case: Case, seed: dict, **more: object) -> None:
        self.case, self.names = case, ("c1", "c2", "c3")
        self.management = {name: free_port() for name in self.names}
        servers = [
            {
                "name": name,
                "address": f"127.0.0.1:{free_port()}",
                "fleet": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}",
                "management": f"127.0.0.1:{self.management[name]}",
                "zone": f"room{name[1:]}",
            }
            for name in self.names
        ]
        settings = {
            "servers": servers,
            "version": 1,
            "term_s": 3.0,
            "forget_s": 3600,
            "drift_ppm": 10000,
        } | more
        self.file = case.tmp / "control.yaml"
        self.file.write_text(json.dumps(settings), encoding="utf-8")
        self.seed = case.tmp / "seed.yaml"
        self.seed.write_text(json.dumps(seed), encoding="utf-8")
        for name in self.names:
            self.start(name, f"--first {self.seed}")

    def store(self, name: str) -> Path:
        """Return the folder of a control process's store."""
        return self.case.tmp / f"store-{name}"

    def start(self, name: str, option: str = "") -> None:
        """Start one control process with the command of deploy/control.yaml."""
        self.case.start(
            name,
            f"exec {RUN_PROGRAM} control serve --settings {self.file} --name {name} "
            f"--store {self.store(name)} {option}",
        )

    def status(self, name: str) -> dict:
        """Return the status of a control process; empty if it does not answer."""
        return get_json(self.management[name], "/control/status")

    def leader(self) -> str:
        """Return the name of the leader, empty if there is none."""
        return next((n for n in self.names if self.status(n).get("role") == "primary"), "")

    def wait_for_leader(self) -> str:
        """Wait for a leader, and return its name."""
        return str(wait_for(self.leader, "a leader of the control plane", 30.0))

    def change(self, name: str, ops: dict, request: str, **more: object) -> tuple[int, dict]:
        """Post one change to a control process; return the status and the answer."""
        body = {"request": request, "who": "review", "why": "review", "ops": ops} | more
        status, answer = call(self.management[name], "POST", "/control/change", json.dumps(body).encode())
        try:
            return status, json.loads(answer)
        except ValueError:
            return status, {"answer": answer.decode("utf-8", "replace")}


class Broker:
    """One broker with the command `run` of the deploy file, and its configuration file."""

    def __init__(
        self,
        case: Case,
        name: str,
        engines: dict[str, int],
        options: str = "",
        settings: dict | None = None,
        memory_mb: int = 192,
        sockets: int = 1024,
        **environment: str,
    ) -> None:
        self.case, self.name, self.options, self.environment = case, name, options, environment
        self.port, self.management = free_port(), free_port()
        members = [
            {
                "id": engine,
                "host_port": f"127.0.0.1:{port}",
                "locality": "sfax-room1",
                "cell": 0,
                "flavor": "node-16c",
                "phase": "Ready",
                "size": 4,
                "up_since_ms": 0,
            }
            for engine, port in engines.items()
        ]
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "management": f"127.0.0.1:{self.management}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {
                "offset": 1,
                "batch": [{"offset": 1, "topology": {"revision": 1, "complete": True, "members": members}}],
            },
            "settings": settings or SETTINGS,
        }
        self.config = case.tmp / f"{name}.json"
        self.config.write_text(json.dumps(config), encoding="utf-8")
        self.start()

    def start(self) -> None:
        """Start the process."""
        self.case.start(
            self.name, f"{RUN_BROKER} {self.options}", ROUTER_CONFIG=str(self.config), **self.environment
        )

    def is_ready(self) -> bool:
        """Return whether the broker says that it takes clients."""
        return call(self.management, "GET", "/status", timeout=1.0)[0] == 200

    def wait_until_ready(self) -> "Broker":
        """Wait until the broker takes clients."""

        def ready() -> bool:
            if self.case.processes[self.name].poll() is not None:
                raise CouldNotRunError(f"{self.name} ended at its start: {self.case.log(self.name)[-300:]}")
            return self.is_ready()

        wait_for(ready, f"{self.name} to take clients", 30.0)
        return self


def fleet_file(case: Case, names: list[str], **more: object) -> Path:
    """Write the settings of a fleet of these brokers, and return the file's path."""
    peers = [
        {"name": n, "address": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}", "zone": "sfax-room1"}
        for n in names
    ]
    settings = {
        "peers": peers,
        "voters": [{"version": 1, "names": names[:3]}],
        "term_s": 3.0,
        "longest_term_s": 3.0,
        "drift_ppm": 10000,
        "leases": [{"name": "summary"}, {"name": "restart", "places": 1, "wanted": True}],
        "tasks": [{"kind": "summary", "lease": "summary", "every_s": 2.0, "longest_s": 1.0}],
    } | more
    file = case.tmp / "fleet.yaml"
    file.write_text(json.dumps(settings), encoding="utf-8")
    return file
