"""Classes, names, tenants, limits and costs are taken only from the settings."""

import ast
import base64
import copy
import json
import random
import re
import tomllib

from cypressledge.lab.site import SETTINGS
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import ROOT

SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
PLATFORM = {
    "lookup",
    "report",
    "order-load",
    "grand-tunis",
    "sahel",
    "sud",
    "node-8c",
    "node-16c",
    "sfax-room1",
    "sfax-orders",
}
DOCUMENTED = ast.Module | ast.ClassDef | ast.FunctionDef


def names(site):
    """Return the names of a site and of its classes, tenants, zones and machine kinds."""
    return (
        {entry["name"] for section in ("class", "tenant") for entry in site[section]}
        | set(site["net"]["zones"])
        | {kind["name"] for tier in site["tier"] for kind in tier["kind"]}
        | {site["name"]}
    )


def literals(file):
    """Return the string literals of a file, without its docstrings."""
    tree = ast.parse(file.read_text())
    docstrings = {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, DOCUMENTED) and ast.get_docstring(node) is not None
    }
    return [
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in docstrings
    ]


def test_no_name_of_a_site_is_in_the_program():
    """The package `lab`, which a broker does not import, has its own example site and is not checked."""
    site_names = PLATFORM.union(*(names(tomllib.loads(path.read_text())) for path in SITES))
    assert len(site_names) > 20
    assert len(SITES) == 2
    found = [
        (path.name, text)
        for path in (ROOT / "cypressledge").rglob("*.py")
        if "lab" not in path.parts
        for text in literals(path)
        if any(re.fullmatch(rf"{re.escape(name)}", text) for name in site_names)
    ]
    assert not found
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert not [name for name in site_names if re.search(rf"\b{re.escape(name)}\b", json.dumps(deploy))]


def random_settings(rng):
    """Return the settings of a random site: classes, tenants, limits and costs."""

    def random_name():
        letters = rng.choices("bcdfghklmnprstvz", k=rng.randint(3, 9))
        return "".join(letters) + rng.choice(("", "-x", "_2"))

    settings = copy.deepcopy(SETTINGS)
    class_count = rng.randint(1, 5)
    settings["Classes"] = [
        {
            "Name": f"{random_name()}{number}",
            "Objective": rng.randint(200, 900) * 1000,
            "Deadline": rng.randint(2, 20) * 1_000_000,
            "Group": "all",
            "Idempotency": rng.choice(("free", "guarded", "single_shot")),
            "MemorySpan": rng.randint(2, 9) * 1_000_000,
            "Worth": rng.random() * 10,
        }
        for number in range(class_count)
    ]
    settings["Customers"] = [{"Name": f"{random_name()}{number}"} for number in range(rng.randint(1, 4))]
    settings["Skus"], settings["Dcs"] = [random_name()], [random_name(), random_name()]
    settings["FamilyInfo"] |= {
        "CoresByKind": [rng.randint(2, 32)],
        "KindMemoryMb": [4096.0],
        "ThreadsByClass": [rng.randint(1, 3)] * class_count,
        "IsLoad": [rng.random() < 0.3 for _ in range(class_count)],
        "ClassWaits": [rng.random() < 0.3 for _ in range(class_count)],
    }
    settings["Limits"] |= {"StreamsPerConn": rng.randint(1, 40), "MaxAttempts": rng.randint(1, 5)}
    return settings


class RandomSites(BrokerTestCase):
    """The real broker with the settings of random sites."""

    def test_random_sites_are_served_by_their_own_names(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                print(f"seed {seed}")
                self.check_site(random.Random(seed))

    def check_site(self, rng):
        settings = random_settings(rng)
        engine = self.engine()
        engine.kind = settings["Skus"][0]
        broker = self.broker(engine, change={"settings": settings})
        client = self.client(broker)
        for settings_class in settings["Classes"]:
            for tenant in settings["Customers"]:
                has_key = settings_class["Idempotency"] == "guarded"
                key = {"once": f"{rng.getrandbits(64):x}"} if has_key else {}
                client.ask(settings_class["Name"], tenant=tenant["Name"], wait=2_000, **key)
                assert result_rows(client.get()) == b"1\tbread\t12.5\n"
                assert engine.wants[-1][2]["c"] == settings_class["Name"]
                assert engine.wants[-1][2].get("i") == key.get("once")
        client.ask("lookup")
        assert client.get()["error"]["code"] == -32601
        statement = base64.b64encode(b"SELECT 1").decode()
        client.send(
            settings["Classes"][0]["Name"],
            {"id": "0" * 16, "wait": 1000, "tenant": "nobody", "content": statement},
        )
        assert client.get()["error"]["code"] == -32602
        broker.close()
