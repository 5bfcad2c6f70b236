"""The hosted service: its file, its reload and its graceful shutdown."""

import threading

import pytest

from cypressledge.lab.site import free_port
from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    stream_rows,
)
from tests.fakes.fake_engines import ROW, never_answer
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase


class HostedService(ClickHouseTestCase):
    def test_off_unless_asked_for(self):
        lines = self.engine(never_answer)
        self.broker(lines)
        self.port = free_port()
        with pytest.raises(ConnectionRefusedError):
            self.ask()

    def test_bad_service_file_is_one_plain_line(self):
        for text, word in (
            ("x", "TOML"),
            ("[admin]", "clickhouse"),
            ('[clickhouse]\nlisten = "x"', "HOST:PORT"),
            ('[clickhouse]\nlisten="127.0.0.1:1"\n[admin]\nlisten="127.0.0.1:2"', "token"),
        ):
            with self.subTest(word):
                broker = self.broker(service=lambda b, text=text: text)
                assert broker.process.wait(WAIT) == 2
                assert word in broker.log_text()
                assert len(broker.log_text().splitlines()) == 1

    def test_reload_takes_the_service_file_too(self):
        broker = self.service(self.engine(kind=FakeClickHouseEngine))
        file = broker.path.parent / "service.toml"
        good = file.read_text()
        file.write_text(good.replace("[[tenant]]", "[[tenant]]\nmost_open = -1"))
        assert "stays in force" in broker.reload()[-1]
        assert self.ask()[0] == 200
        file.write_text(good.replace('name = "sales"', 'name = "desk"'))
        broker.reload()
        assert self.code() == (403, 516)
        assert self.ask(login=LOGIN | {"X-ClickHouse-User": "desk"})[0] == 200

    def test_sigterm_answers_what_was_taken_over_http(self):
        def held(engine, send, params, statement):
            engine.released.wait(WAIT)
            stream_rows(ROW)(engine, send, params, statement)

        engine = self.engine(held, kind=FakeClickHouseEngine)
        engine.released = threading.Event()
        broker = self.service(engine)
        conn = self.begin("/?workload=report")
        wait_until(lambda: engine.asked, "the attempt")
        broker.process.terminate()
        wait_until(lambda: "stopping" in broker.log_text(), "the log line")
        assert self.ask(method="GET", path="/ping", login={})[0] == 503
        engine.released.set()
        answer = conn.getresponse()
        assert (answer.status, answer.read()) == (200, ROW)
        assert broker.process.wait(WAIT) == 0
        assert "counters (exit):" in broker.log_text()
