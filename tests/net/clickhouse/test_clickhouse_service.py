"""The hosted service: its configuration file, reload and graceful shutdown."""

import threading

import pytest

from cypressledge.lab.site import free_port
from tests.fakes.fake_clickhouse_engine import FakeClickHouseEngine, stream_rows
from tests.fakes.fake_engines import ROW, never_answer
from tests.fakes.support import WAIT, wait_until
from tests.net.clickhouse.clickhouse_test_case import LOGIN, ClickHouseTestCase


class HostedService(ClickHouseTestCase):
    def test_the_service_is_off_by_default(self):
        lines = self.engine(never_answer)
        self.broker(lines)
        self.port = free_port()
        with pytest.raises(ConnectionRefusedError):
            self.query()

    def test_an_invalid_service_file_is_reported_in_one_log_line(self):
        for text, reason in (
            ("x", "TOML"),
            ("[admin]", "clickhouse"),
            ('[clickhouse]\nlisten = "x"', "HOST:PORT"),
            ('[clickhouse]\nlisten="127.0.0.1:1"\n[admin]\nlisten="127.0.0.1:2"', "token"),
        ):
            with self.subTest(reason):
                broker = self.broker(service=lambda b, text=text: text)
                assert broker.process.wait(WAIT) == 2
                assert reason in broker.log_text()
                assert len(broker.log_text().splitlines()) == 1

    def test_a_reload_reads_the_service_file_too(self):
        broker = self.start_service(self.engine(kind=FakeClickHouseEngine))
        file = broker.path.parent / "service.toml"
        good = file.read_text()
        file.write_text(good.replace("[[tenant]]", "[[tenant]]\nmost_open = -1"))
        assert "stays in force" in broker.reload()[-1]
        assert self.query()[0] == 200
        file.write_text(good.replace('name = "sales"', 'name = "desk"'))
        broker.reload()
        assert self.query_error() == (403, 516)
        assert self.query(login=LOGIN | {"X-ClickHouse-User": "desk"})[0] == 200

    def test_a_graceful_shutdown_answers_open_http_requests(self):
        def answer_after_release(engine, send, params, statement):
            engine.released.wait(WAIT)
            stream_rows(ROW)(engine, send, params, statement)

        engine = self.engine(answer_after_release, kind=FakeClickHouseEngine)
        engine.released = threading.Event()
        broker = self.start_service(engine)
        conn = self.start_query("/?workload=report")
        wait_until(lambda: engine.asked, "the attempt")
        broker.process.terminate()
        wait_until(lambda: "stopping" in broker.log_text(), "the log line")
        assert self.query(method="GET", path="/ping", login={})[0] == 503
        engine.released.set()
        answer = conn.getresponse()
        assert (answer.status, answer.read()) == (200, ROW)
        assert broker.process.wait(WAIT) == 0
        assert "counters (exit):" in broker.log_text()
