"""Reloads, and the two processes of an upgrade, while requests are being accepted.

Each test forces an order of events on real connections: with a fake that controls when bytes arrive, or with
a hook that stops the program at a certain point (tests/fakes/program_with_breakpoints.py).
"""

import json
import tempfile
import threading
from pathlib import Path

from cypressledge.lab.site import free_port
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once, answer_with
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT, http_call, wait_until
from tests.race_conditions.scenarios import METRICS_OFTEN, NOT_IDEMPOTENT, site


class ReloadRaces(BrokerTestCase):
    """Each request keeps the settings under which it was accepted."""

    def test_a_request_accepted_before_a_reload_keeps_its_class(self):
        """Regression: request and reload were handled in one iteration of the event loop, and the decision
        module applied the new settings first: an idempotent request was handled as not idempotent, or vice
        versa."""
        engine = self.engine(
            lambda engine, *args: (answer_with("500") if len(engine.wants) == 1 else answer_at_once)(
                engine, *args
            )
        )
        broker = self.broker(
            engine, env=METRICS_OFTEN, hooks={"wait": "cypressledge.broker.event_loop:EventLoop._wait#1"}
        )
        broker.wait_for_hook("wait")  # the event loop is stopped
        client = self.client(broker)
        client.ask()
        broker.wait_for_counter("accepted.lookup")
        broker.reload(**site(NOT_IDEMPOTENT))
        broker.release_hook("wait")
        assert result_rows(client.get()) == ROW
        client.ask()
        engine.wants.clear()
        assert "error" in client.get()  # the class is not idempotent now, so that there is no retry

    def test_tenants_change_and_classes_stay_while_requests_are_in_flight(self):
        """An open request keeps its tenant, and a file that changes the classes is rejected as a whole."""
        waiting = []
        engine = self.engine(lambda engine, say, name, *_: waiting.append((say, name)))
        old, new, swapped = (site()["settings"] for _ in range(3))
        old["Customers"] = [{"Name": "ada"}, {"Name": "bo"}]
        new["Customers"] = [{"Name": "bo"}, {"Name": "cy"}]
        swapped["Customers"] = old["Customers"]
        swapped["Classes"] = swapped["Classes"][::-1]
        broker = self.broker(engine, change={"settings": old})
        client = self.client(broker)
        ada, bo = client.ask(tenant="ada"), client.ask("report", tenant="bo")
        wait_until(lambda: len(waiting) == 2, "both queries")
        assert "in force" in broker.reload(settings=new)[-1]
        assert "other classes need a restart" in broker.reload(settings=swapped)[-1]
        client.ask(tenant="ada")
        assert client.get()["error"]["code"] == -32602  # removed; the rejected file has no effect
        cy = client.ask(tenant="cy")
        wait_until(lambda: len(waiting) == 3, "the third")
        for say, name in waiting:
            say(name, "200", "count=1", ROW)
        assert sorted(client.get()["id"] for _ in range(3)) == [ada, bo, cy]
        assert [want[2]["c"] for want in engine.wants] == ["lookup", "report", "lookup"]

    def test_engine_kinds_in_another_order_select_the_same_engines(self):
        """Regression: the engine list kept the previous kind indices, and a class restricted to one kind was
        executed on the other."""
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


class UpgradeRaces(BrokerTestCase):
    """The old and the new process of an upgrade run at the same time."""

    def test_engines_taken_out_at_both_processes_at_once_all_stay_out(self):
        """Regression: each process read the file before the other had written it, and one of the engines was
        put back in service."""
        engines = [self.engine(name=f"s-{number}") for number in range(3)]
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

        def take_out(number):
            """Take an engine out of service through one of the processes, on a new thread."""
            head = "POST /maintenance/enter HTTP/1.1\r\nHost: b"
            calls.append(
                threading.Thread(target=http_call, args=(ports[number], head, f"s-{number}".encode()))
            )
            calls[-1].start()

        take_out(0)
        brokers[0].wait_for_hook("save")
        take_out(1)
        save_reached = Path(brokers[1].dir.name) / "save.at"
        calls[1].join(0.2)  # a call that reaches its own save has read the file too early
        read_stale_data = save_reached.exists()
        brokers[0].release_hook("save")
        calls[0].join(WAIT)
        brokers[1].release_hook("save")
        calls[1].join(WAIT)
        saved = json.loads((Path(shared) / "cypressledge-n1-maintenance.json").read_text())
        assert saved["out"] == ["s-0", "s-1"]
        assert not read_stale_data
