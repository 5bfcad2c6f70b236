"""Time to read `fleet.yaml` by the number of its peers, and the maximum number of peers."""

import tempfile
from functools import partial
from pathlib import Path

import yaml

from cypressledge.config import ConfigError
from cypressledge.fleet import settings as fleet_settings
from cypressledge.lab.results import Fact, Source, slope
from cypressledge.lab.scaling.measuring import TARGET_BROKERS, ZONES, Findings, median_cpu_ms

ROLE = "broker, control part"


def write_fleet_file(folder: Path, peers: int) -> str:
    """Write a fleet file with `peers` peers, five voters and 50 leases; return its path."""
    path = folder / f"{peers}.yaml"
    names = [f"n{i:03d}" for i in range(peers)]
    path.write_text(
        yaml.safe_dump(
            {
                "peers": [
                    {"name": n, "address": f"10.0.{i >> 8}.{i & 255}:9701", "zone": ZONES[i % 4]}
                    for i, n in enumerate(names)
                ],
                "voters": [{"version": 1, "names": names[:5]}],
                "leases": [{"name": f"lease-{i}"} for i in range(50)],
            }
        )
    )
    return str(path)


def fleet_file_costs(quick: bool, seed: int, source: Source) -> Findings:
    """Measure reading the file by its number of peers, and find its limit; `quick`: few and small points."""
    sizes = (20, 60) if quick else (25, 50, 100, 150, 200)
    with tempfile.TemporaryDirectory(prefix="cypressledge-lab-") as folder:
        points = []
        for size in sizes:
            path = write_fleet_file(Path(folder), size)
            points.append((size, median_cpu_ms(partial(fleet_settings.read_fleet_settings, path), 3)))
        try:
            fleet_settings.read_fleet_settings(write_fleet_file(Path(folder), TARGET_BROKERS))
            peers = TARGET_BROKERS
        except ConfigError:
            peers = fleet_settings.MAX_PEERS
    return Findings(
        [slope("fleet_yaml_ms", ROLE, "fleet.yaml read and checked", "ms", "brokers", points, source)],
        [Fact("fleet_yaml_peers", "peers that fleet.yaml may name (460 tried)", peers, "brokers", source)],
    )
