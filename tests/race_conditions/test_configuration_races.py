"""Reloads, and two processes of an upgrade, at the moment at which requests are taken.

Each test makes its order of events happen every time, on real connections: by a fake that decides when the
next byte comes, or by a hook at the point in question (tests/fakes/program_with_breakpoints.py).
"""

import json
import tempfile
import threading
from pathlib import Path

from tests.race_conditions.scenarios import METRICS_OFTEN, NOT_IDEMPOTENT, site
from tests.stands import (
    ROW,
    WAIT,
    Case,
    content,
    failing,
    free_port,
    http,
    until,
    whole,
)


class ReloadRaces(Case):
    """Each request keeps the settings under which it was accepted."""

    def test_a_request_accepted_before_a_reload_keeps_its_class(self):
        """Regression: both came in one turn of the event loop, and the decisions applied the new settings
        first: an idempotent request was handled as one that is not, and the other way round."""
        engine = self.engine(lambda e, say, *a: (failing("500") if len(e.wants) == 1 else whole)(e, say, *a))
        broker = self.broker(
            engine, env=METRICS_OFTEN, hooks={"wait": "cypressledge.broker.event_loop:EventLoop._wait#1"}
        )
        broker.reached("wait")  # the event loop stands still
        client = self.client(broker)
        client.ask()
        broker.counted("accepted.lookup")
        broker.reload(**site(NOT_IDEMPOTENT))
        broker.go("wait")
        assert content(client.get()) == ROW
        client.ask()
        engine.wants.clear()
        assert "error" in client.get()  # from here on it is not idempotent, and not retried

    def test_tenants_change_and_classes_stay_while_requests_are_in_flight(self):
        """A request keeps its tenant; a file that changes the classes is rejected as a whole."""
        waiting = []
        engine = self.engine(lambda e, say, name, *a: waiting.append((say, name)))
        old, new, swapped = (site()["settings"] for _ in range(3))
        old["Customers"] = [{"Name": "ada"}, {"Name": "bo"}]
        new["Customers"] = [{"Name": "bo"}, {"Name": "cy"}]
        swapped["Customers"] = old["Customers"]
        swapped["Classes"] = swapped["Classes"][::-1]
        broker = self.broker(engine, change={"settings": old})
        client = self.client(broker)
        ada, bo = client.ask(tenant="ada"), client.ask("report", tenant="bo")
        until(lambda: len(waiting) == 2, "both queries")
        assert "in force" in broker.reload(settings=new)[-1]
        assert "other classes need a restart" in broker.reload(settings=swapped)[-1]
        client.ask(tenant="ada")
        assert client.get()["error"]["code"] == -32602  # gone, whatever the file turned down says
        cy = client.ask(tenant="cy")
        until(lambda: len(waiting) == 3, "the third")
        for say, name in waiting:
            say(name, "200", "count=1", ROW)
        assert sorted(client.get()["id"] for _ in range(3)) == [ada, bo, cy]
        assert [w[2]["c"] for w in engine.wants] == ["lookup", "report", "lookup"]

    def test_engine_kinds_in_another_order_select_the_same_engines(self):
        """Regression: the engine list kept the former indices, and a class bound to one kind ran on the
        other."""
        small, big = self.engine(name="s-1"), self.engine(name="s-2")
        big.kind = "node-16c"
        before, after = site()["settings"], site()["settings"]
        before["Classes"][0]["SkusAllowed"], after["Classes"][0]["SkusAllowed"] = [1], [0]
        after["Skus"] = after["Skus"][::-1]
        after["FamilyInfo"]["CoresByKind"] = after["FamilyInfo"]["CoresByKind"][::-1]
        after["FamilyInfo"]["KindMemoryMb"] = after["FamilyInfo"]["KindMemoryMb"][::-1]
        broker = self.broker(small, big, change={"settings": before})
        client = self.client(broker)
        for settings in (before, after):
            broker.reload(settings=settings)
            for _ in range(8):
                client.ask()
                assert "result" in client.get()
        assert [len(small.wants), len(big.wants)] == [0, 16]


class UpgradeRaces(Case):
    """Two processes of an upgrade run at the same time."""

    def test_engines_taken_out_at_both_processes_at_once_all_stay_out(self):
        """Regression: each process read the file before the other had written it, and one engine was back in
        service."""
        engines = [self.engine(name=f"s-{n}") for n in range(3)]
        shared = self.enterContext(tempfile.TemporaryDirectory())
        ports, brokers, calls = [], [], []
        for _ in range(2):
            ports.append(free_port())
            brokers.append(
                self.broker(
                    *engines,
                    env={"ROUTER_MANAGEMENT": f"127.0.0.1:{ports[-1]}", "TMPDIR": shared},
                    hooks={"save": "cypressledge.net.maintenance_file:MaintenanceFile._save"},
                )
            )

        def out(n):
            head = "POST /maintenance/enter HTTP/1.1\r\nHost: b"
            calls.append(threading.Thread(target=http, args=(ports[n], head, f"s-{n}".encode())))
            calls[-1].start()

        out(0)
        brokers[0].reached("save")
        out(1)
        reached = Path(brokers[1].dir.name) / "save.at"
        calls[1].join(0.2)  # if it reaches its own save, it has read stale data
        early = reached.exists()
        brokers[0].go("save")
        calls[0].join(WAIT)
        brokers[1].go("save")
        calls[1].join(WAIT)
        kept = json.loads((Path(shared) / "cypressledge-n1-maintenance.json").read_text())
        assert kept["out"] == ["s-0", "s-1"]
        assert not early
