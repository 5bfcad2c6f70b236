"""The site configuration of brokers that experiments start, and free ports on the loopback."""

import random
import socket
from typing import Any

RESERVED_PORTS: set[int] = set()  # ports that `free_port` has returned
PORT_ATTEMPTS = 1_000
FIRST_PORT, END_PORT = 15_000, 32_000  # below the system's ephemeral port range

SETTINGS: dict[str, Any] = {
    "Classes": [
        {
            "Name": "lookup",
            "Objective": 600000,
            "Deadline": 3000000,
            "Idempotency": "free",
            "AimStretch": 1.5,
            "Worth": 1.0,
            "LateWorth": 0.1,
        },
        {
            "Name": "report",
            "Objective": 1500000,
            "Deadline": 25000000,
            "Idempotency": "free",
            "AimStretch": 2.5,
            "Worth": 10.0,
            "LateWorth": 0.4,
        },
        {
            "Name": "order-load",
            "Objective": 4000000,
            "Deadline": 20000000,
            "Idempotency": "guarded",
            "Group": "all",
            "MemorySpan": 12000000,
            "AimStretch": 2.5,
            "Worth": 12.0,
            "LateWorth": 0.6,
        },
    ],
    "Customers": [{"Name": "sahel"}],
    "Dcs": ["room1"],
    "Skus": ["node-8c", "node-16c"],
    "Step": 5000,
    "SlotNo": 0,
    "PeersTotal": 1,
    "RegistryMode": "pushed",
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
    },
    "Limits": {
        "ConnIdle": 30000000,
        "ConnectTimeout": 250000,
        "MaxAttempts": 3,
        "MayCancel": True,
        "MaxRetryAfter": 1000000,
        "SecondCopies": True,
        "StreamsPerConn": 32,
    },
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
    },
}


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback that is free now. Raises `OSError` if none is found.

    Returns no port from the system's ephemeral range and no port twice, so that another socket does not take
    the port before the caller binds it.
    """
    for _ in range(PORT_ATTEMPTS):
        port = random.SystemRandom().randrange(FIRST_PORT, END_PORT)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in RESERVED_PORTS:
            RESERVED_PORTS.add(port)
            return port
    raise OSError(f"no free port found on 127.0.0.1 in {PORT_ATTEMPTS} attempts")


def reserve_port(port: int) -> socket.socket:
    """Keep a port from other processes while no process of this experiment listens on it.

    Returns the socket that does so until it is closed. It is bound and never listens, so a listener that sets
    SO_REUSEADDR, as those of the program do, can still bind the port; `free_port` of any process cannot."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    return sock


def config(
    name: str, listen: int, management: int, members: list[dict] | None = None, more: dict | None = None
) -> dict:
    """Return a broker's configuration.

    `members`: its engines, as the directory lists them; `more`: site settings that override `SETTINGS`.
    """
    return {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "management": f"127.0.0.1:{management}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {
            "offset": 1,
            "batch": [{"offset": 1, "topology": {"revision": 1, "complete": True, "members": members or []}}],
        },
        "settings": SETTINGS
        | {"Dcs": sorted({m["locality"] for m in members or []}) or SETTINGS["Dcs"]}
        | (more or {}),
    }


def free_udp_ports(names: list[str]) -> dict[str, int]:
    """Return a free UDP port for each name."""
    ports: dict[str, int] = {}
    while len(ports) < len(names):
        port = free_port(socket.SOCK_DGRAM)
        if port not in ports.values():
            ports[names[len(ports)]] = port
    return ports
