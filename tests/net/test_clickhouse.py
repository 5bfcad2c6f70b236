"""The second front: ClickHouse HTTP, DNS-SD and the administration API, against stand-ins."""

import base64
import hashlib
import http.client
import json
import socket
import threading
import time
from contextlib import closing
from urllib.parse import urlencode

import pytest

from cypressledge.lab.site import free_port
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_clickhouse_engine import (
    FakeClickHouseEngine,
    answer_exception,
    break_after_first_rows,
    stall_after_first_rows,
    stream_rows,
)
from tests.fakes.fake_engines import ROW, never_answer, page_rows
from tests.fakes.json_rpc_client import result_rows
from tests.fakes.support import WAIT, close_connection, wait_until

KEY, TOKEN = "key-of-the-sales-office", "token-of-the-administrators"
LOGIN = {"X-ClickHouse-User": "sales", "X-ClickHouse-Key": KEY}
TYPE = "_clickhouse-http._tcp.cluster.lan."


class Service(BrokerTestCase):
    """A broker with the second front; its engines are found by DNS-SD."""

    def service(self, *engines, lines=()):
        self.port, self.admin = free_port(), free_port()
        broker = self.broker(
            *lines,
            env={"ADMIN": TOKEN, "ENGINE": "secret"},
            service=lambda b: f"""
            [clickhouse]
            listen = "127.0.0.1:{self.port}"
            [engines]
            user = "broker"
            key_env = "ENGINE"
            [dns_sd]
            server = "127.0.0.1:{b.dns.port}"
            service = "{TYPE}"
            [admin]
            listen = "127.0.0.1:{self.admin}"
            token_env = "ADMIN"
            [[tenant]]
            name = "sales"
            key_sha256 = "{hashlib.sha256(KEY.encode()).hexdigest()}"
            """,
        )
        for n, engine in enumerate(engines):
            broker.dns.instances[f"ch-{n}.{TYPE}"] = (engine.port, "ready")
        if engines:
            broker.wait_until_ready()
            wait_until(lambda: len(self.api("GET", "/v1/engines")[1]["engines"]) == len(engines) + len(lines))
        return broker

    def ask(
        self, body=b"SELECT a, b, c FROM sales_17.orders", method="POST", path="/", login=LOGIN, **params
    ):
        """One exchange: status, headers, body."""
        with closing(http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT)) as conn:
            conn.request(method, f"{path}?{urlencode(params)}", body if method == "POST" else None, login)
            answer = conn.getresponse()
            return answer.status, answer.headers, answer.read()

    def begin(self, target):
        """A query whose answer is not awaited."""
        conn = http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT)
        self.addCleanup(conn.close)
        conn.request("POST", target, b"SELECT a FROM sales_1.t", LOGIN)
        return conn

    def code(self, *args, **more):
        status, headers, body = self.ask(*args, **more)
        code = headers["X-ClickHouse-Exception-Code"]
        assert body.startswith(b"Code: %s. DB::Exception: " % code.encode()), body
        return status, int(code)

    def api(self, method, path, value=None, token=TOKEN):
        with closing(http.client.HTTPConnection("127.0.0.1", self.admin, timeout=WAIT)) as conn:
            conn.request(
                method,
                path,
                json.dumps(value) if value is not None else None,
                {"Authorization": f"Bearer {token}"},
            )
            answer = conn.getresponse()
            body = answer.read()
            return answer.status, json.loads(body) if body else None

    def count(self, name):
        return self.api("GET", "/v1/counters")[1].get(name, 0)


class Asking(Service):
    def test_post_get_and_both_reach_the_engine_under_id_class_and_deadline(self):
        engine = self.engine(stream_rows(ROW, page_rows(1)), kind=FakeClickHouseEngine)
        self.service(engine)
        status, headers, body = self.ask(
            query_id="my-id", workload="report", max_execution_time="2.5", insert_deduplication_token="k1"
        )
        assert (status, body) == (200, ROW + page_rows(1))
        assert headers["Transfer-Encoding"] == "chunked"
        assert (headers["X-ClickHouse-Query-Id"], headers["X-ClickHouse-Format"]) == ("my-id", "TabSeparated")
        params, statement, sent = engine.asked[0]
        assert statement == b"SELECT a, b, c FROM sales_17.orders"
        assert (params["query_id"], params["workload"], params["insert_deduplication_token"]) == (
            "my-id",
            "report",
            "k1",
        )
        assert 0 < float(params["max_execution_time"]) <= 2.5
        assert (sent["x-clickhouse-user"], sent["x-clickhouse-key"]) == ("broker", "secret")
        assert self.ask(method="GET", query="SELECT 1")[2] == ROW + page_rows(1)
        data = b"1\t\xff\n"
        self.ask(data, query="INSERT INTO sales_2.orders FORMAT TSV", max_execution_time="900")
        params, statement, _ = engine.asked[-1]
        assert statement == b"INSERT INTO sales_2.orders FORMAT TSV\n" + data
        assert params["workload"] == "order-load"  # and never beyond the class's own deadline:
        assert float(params["max_execution_time"]) <= 20.0
        assert params["insert_deduplication_token"]

    def test_ways_to_name_the_tenant(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
        basic = {"Authorization": "Basic " + base64.b64encode(f"sales:{KEY}".encode()).decode()}
        assert self.ask(login=basic)[0] == 200
        assert self.ask(login={}, user="sales", password=KEY)[0] == 200
        for login in (
            {},
            {"X-ClickHouse-User": "sales"},
            LOGIN | {"X-ClickHouse-Key": "wrong"},
            LOGIN | basic,
            {"Authorization": "Bearer x"},
            {"X-ClickHouse-User": "sahel"},
        ):
            with self.subTest(login):
                assert self.code(login=login) == (403, 516)

    def test_ping_tells_whether_it_serves(self):
        broker = self.service()
        wait_until(lambda: "cannot listen" not in broker.log_text() and self._ping())
        assert self._ping() == 503
        engine = self.engine(kind=FakeClickHouseEngine)
        broker.dns.instances[f"ch-0.{TYPE}"] = (engine.port, "ready")
        wait_until(lambda: self._ping() == 200, "a healthy ping")

    def _ping(self):
        try:
            return self.ask(method="GET", path="/ping", login={})[0]
        except OSError:
            return None

    def test_what_is_not_supported_gets_a_plain_error(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
        select = b"SELECT 1"
        for expected, body, more in (
            ((501, 48), select, {"session_id": "s"}),
            ((501, 48), select, {"param_x": "1"}),
            ((404, 115), select, {"max_threads": "4"}),
            ((400, 36), select, {"workload": "nothing"}),
            ((400, 36), select, {"max_execution_time": "soon"}),
            ((404, 73), b"SELECT 1 FORMAT JSON", {}),
            ((404, 73), select, {"default_format": "CSV"}),
            ((400, 62), b"  ", {}),
            ((400, 36), select, {"query_id": "a b"}),
            ((404, 48), select, {"path": "/other"}),
            ((501, 48), select, {"method": "PUT"}),
            ((500, 164), b"", {"method": "GET", "query": "INSERT INTO t VALUES (1)"}),
            ((501, 48), select, {"login": LOGIN | {"Content-Encoding": "gzip"}}),
        ):
            with self.subTest(more or body):
                assert self.code(body, **more) == expected

    def raw(self, *parts):
        """Bytes in, all bytes out."""
        with closing(socket.create_connection(("127.0.0.1", self.port), WAIT)) as sock:
            for part in parts:
                sock.sendall(part)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    def test_forms_of_http(self):
        engine = self.engine(stream_rows(ROW, page_rows(1)), kind=FakeClickHouseEngine)
        self.service(engine)
        login = b"".join(f"{k}: {v}\r\n".encode() for k, v in LOGIN.items())
        last = login + b"Connection: close\r\n"
        got = self.raw(
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%s\r\n6\r\nSELECT\r\n" % login,
            b"2\r\n 1\r\n0\r\n\r\nGET /ping HTTP/1.1\r\n%s\r\n" % last,
        )  # and one pipelined
        assert engine.asked[0][1] == b"SELECT 1"
        assert got.count(b"HTTP/1.1 200 OK") == 2
        assert got.endswith(b"Ok.\n"), got
        whole = b"Content-Length: %d\r\n\r\n%s" % (len(ROW + page_rows(1)), ROW + page_rows(1))
        for request in (
            b"GET /?query=SELECT+1 HTTP/1.0\r\n%s\r\n" % login,
            b"GET /?query=SELECT+1&wait_end_of_query=1 HTTP/1.1\r\n%s\r\n" % last,
        ):
            got = self.raw(request)
            assert whole.split(b"\r\n")[0] in got
            assert got.endswith(whole[-len(ROW) :])
            assert b"chunked" not in got

    def test_what_is_too_large_or_no_http(self):
        """The parser wraps what its callbacks raise: once, every limit came out as 400."""
        self.service(self.engine(kind=FakeClickHouseEngine))
        for status, *parts in (
            (413, b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
            (
                413,
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                *(b"100000\r\n" + bytes(1 << 20) + b"\r\n" for _ in range(5)),
            ),
            (431, b"GET /?" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n"),
            (400, b"nonsense\r\n\r\n"),
        ):
            with self.subTest(status):
                assert self.raw(*parts).startswith(b"HTTP/1.1 %d " % status)

    def test_running_id_is_not_taken_twice(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.service(engine)
        self.begin("/?query_id=one")
        wait_until(lambda: engine.asked, "the attempt")
        assert self.code(query_id="one") == (500, 216)


class Failing(Service):
    def test_refusal_is_503_with_retry_after(self):
        self.service(
            self.engine(
                answer_exception(503, 202, b"Code: 202. DB::Exception: full"), kind=FakeClickHouseEngine
            )
        )
        status, headers, _ = self.ask(max_execution_time="0.9")
        assert (status, headers["Retry-After"]) == (503, "1")
        assert headers["X-ClickHouse-Exception-Code"] == "202"

    def test_engines_error_on_the_statement_itself_is_passed_on_at_once(self):
        text = b"Code: 60. DB::Exception: no such table. (UNKNOWN_TABLE)"
        engine = self.engine(answer_exception(404, 60, text), kind=FakeClickHouseEngine)
        self.service(engine)
        status, headers, body = self.ask()
        assert (status, headers["X-ClickHouse-Exception-Code"], body) == (404, "60", text + b"\n")
        assert len(engine.asked) == 1

    def test_other_errors_are_tried_again_within_three_attempts(self):
        engine = self.engine(
            answer_exception(500, 241, b"Code: 241. DB::Exception: memory"), kind=FakeClickHouseEngine
        )
        self.service(engine)
        assert self.ask()[0] in (500, 503)
        assert len(engine.asked) == 3

    def test_engine_that_tells_nothing_of_a_query_has_not_lost_its_answer(self):
        """Only engines that speak lines tell of all they run at each interval of notes."""

        def play(engine, send, params, statement):
            if b"slow" in statement:
                engine.released.wait(WAIT)
            stream_rows(ROW)(engine, send, params, statement)

        engine = self.engine(play, kind=FakeClickHouseEngine)
        engine.released = threading.Event()
        self.service(engine)
        answers = []
        slow = threading.Thread(target=lambda: answers.append(self.ask(b"SELECT slow", workload="report")))
        slow.start()
        self.addCleanup(slow.join)
        self.addCleanup(engine.released.set)
        begun = time.monotonic()
        wait_until(lambda: self.ask()[0] == 200 and time.monotonic() > begun + 2.5, "the others' answers")
        engine.released.set()
        wait_until(lambda: answers, "the slow answer")
        assert answers[0][0] == 200
        assert sum(b"slow" in statement for _, statement, _ in engine.asked) == 1

    def test_deadline_is_kept(self):
        def mute(engine, send, params, statement):
            engine.closed.wait(WAIT)

        self.service(self.engine(mute, kind=FakeClickHouseEngine))
        began = time.monotonic()
        status, _ = self.code(workload="report", max_execution_time="0.5")
        assert status in (408, 503)
        assert time.monotonic() - began < 5.0  # of the class's 25 s

    def test_client_that_closes_mid_stream_leaves_nothing_behind(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.service(engine)
        conn = self.begin("/?workload=report")
        assert conn.getresponse().read(len(ROW)) == ROW
        close_connection(conn.sock)
        conn.close()
        assert engine.closed.wait(WAIT), "the engine's work goes on"
        wait_until(lambda: self.count("open_requests") == 0, "an empty ledger")
        wait_until(lambda: self.count("clickhouse.engine_connections") == 0, "closed connections")
        assert (self.count("client_disconnects"), len(engine.asked)) == (1, 1)
        assert self.api("GET", "/v1/tenants/sales")[1]["open"] == 0

    def test_load_whose_client_closes_is_killed_by_its_id(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.service(engine)
        conn = self.begin("/?query_id=load-7&workload=order-load&query=INSERT+INTO+sales_1.t+FORMAT+TSV")
        wait_until(lambda: engine.asked, "the attempt")
        close_connection(conn.sock)
        wait_until(
            lambda: any(b"KILL QUERY WHERE query_id = 'load-7'" in said for _, said, _ in engine.asked)
        )

    def test_after_the_first_byte_no_second_attempt_and_a_visibly_broken_stream(self):
        def tagged(engine, send, params, statement):
            send(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"X-ClickHouse-Exception-Tag: tagtag\r\n\r\n"
            )
            for part in (ROW * 9, b"\r\n__exception__\r\ntag", b"tag\r\nCode: 241\r\n"):
                send(b"%x\r\n%s\r\n" % (len(part), part))
            send(b"0\r\n\r\n")

        for play in (break_after_first_rows, tagged):
            with self.subTest(play.__name__):
                engine = self.engine(play, kind=FakeClickHouseEngine)
                self.service(engine, self.engine(play, kind=FakeClickHouseEngine))
                with pytest.raises(http.client.IncompleteRead) as caught:
                    self.ask()
                assert caught.value.partial.startswith(ROW[:5])
                assert b"__exception__" not in caught.value.partial
                assert self.count("attempts.first") == 1
                assert self.count("attempts.retry") == 0

    def test_slow_reader_does_not_make_the_broker_hold_the_result(self):
        part = b"0123456789\tx\ty\n" * 4096

        def endless(engine, send, params, statement):
            send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(1024):  # 62 MB
                send(b"%x\r\n%s\r\n" % (len(part), part))
                engine.sent += len(part)

        engine = self.engine(endless, kind=FakeClickHouseEngine)
        engine.sent = 0
        self.service(engine)
        self.begin("/?workload=report&max_execution_time=4")
        wait_until(lambda: engine.sent, "the first rows")
        assert self.api("GET", "/v1/engines")[0] == 200  # nobody else is stalled
        wait_until(lambda: self.count("open_requests") == 0, "the deadline")
        assert engine.sent < 40 << 20


class Loading(Service):
    def test_load_sent_twice_has_one_effect_and_two_answers(self):
        engines = [self.engine(kind=FakeClickHouseEngine) for _ in range(2)]
        self.service(*engines)
        answers, token = [], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

        def load(n):
            answers.append(
                self.ask(
                    b"INSERT INTO sales_5.orders VALUES (1)",
                    query_id=f"load-{n}",
                    insert_deduplication_token=token,
                )[0]
            )

        threads = [threading.Thread(target=load, args=(n,)) for n in range(2)]
        for t in threads:
            t.start()
        for t in threads:
            t.join(WAIT)
        assert answers == [200, 200]
        asked = [params for e in engines for params, *_ in e.asked]
        assert {p["insert_deduplication_token"] for p in asked} == {token}
        assert {p["query_id"] for p in asked} == {"load-0", "load-1"}
        assert len(set().union(*(e.effects for e in engines))) == 1

    def test_both_protocols_through_one_core(self):
        """Every taken request has exactly one final answer; attempts beyond the first stay in the ration."""
        lines = self.engine(self._flaky)
        hosts = [self.engine(self._flaky_http, kind=FakeClickHouseEngine) for _ in range(2)]
        broker = self.service(*hosts, lines=(lines,))
        client, got, each = self.client(broker), [], 60

        def over_http(part):
            for n in range(each // 3):
                got.append(self.ask(query_id=f"h{part}-{n}", max_execution_time="2.5")[0])

        threads = [threading.Thread(target=over_http, args=(part,)) for part in range(3)]
        for t in threads:
            t.start()
        answers = []
        for at in range(0, each, 20):
            for n in range(at, at + 20):
                client.ask(
                    "order-load" if n % 10 == 0 else "lookup",
                    wait=2500,
                    **({"once": f"{n:032x}"} if n % 10 == 0 else {}),
                )
            answers += [client.get() for _ in range(20)]
        for t in threads:
            t.join(4 * WAIT)
        assert sorted(a["id"] for a in answers) == list(range(1, each + 1))
        assert len(got) == each
        served = [result_rows(a) for a in answers if "result" in a]
        assert served
        assert all(rows == ROW for rows in served)
        assert 200 in got
        assert all(status in (200, 500, 503) for status in got), got
        counts = self.api("GET", "/v1/counters")[1]

        def total(word):
            return sum(n for name, n in counts.items() if name.startswith(word + "."))

        assert total("accepted") == 2 * each
        assert total("served") + total("rejected") + total("failed") == 2 * each
        assert total("broken") == 0
        assert counts["attempts.retry"] <= 3 + 0.1 * 2 * each
        assert lines.wants
        assert any(e.asked for e in hosts)
        client.ask(tenant="sales")  # a tenant with a key can't be named where none is asked for
        answer = client.get()  # and no second answer stood before it
        assert (answer["id"], answer["error"]["code"]) == (each + 1, -32602)

    @staticmethod
    def _flaky(engine, say, name, fields, statement):
        if len(engine.wants) % 8 == 0:
            return say(name, "500")
        say(name, "200", "count=1", ROW)
        return None

    @staticmethod
    def _flaky_http(engine, send, params, statement):
        bad = len(engine.asked) % 8 == 0
        (answer_exception(500, 241, b"memory") if bad else stream_rows(ROW))(engine, send, params, statement)


class Administering(Service):
    def test_tenants_are_added_changed_listed_and_removed(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
        login = {"X-ClickHouse-User": "hotel", "X-ClickHouse-Key": "a-key-of-the-hotel"}
        assert self.ask(login=login)[0] == 403
        made = self.api("POST", "/v1/tenants", {"name": "hotel", "key": "a-key-of-the-hotel", "most_open": 2})
        assert made == (201, {"name": "hotel", "most_open": 2, "enabled": True, "open": 0})
        assert self.ask(login=login)[0] == 200
        again = {"name": "hotel", "key": "another-long-key"}
        assert self.api("POST", "/v1/tenants", again)[0] == 409
        names = [t["name"] for t in self.api("GET", "/v1/tenants")[1]["tenants"]]
        assert names == ["hotel", "sales"]
        assert self.api("PATCH", "/v1/tenants/hotel", {"enabled": False})[0] == 200
        assert self.ask(login=login)[0] == 403
        assert self.api("PATCH", "/v1/tenants/hotel", {"enabled": True})[0] == 200
        assert self.ask(login=login)[0] == 200
        assert self.api("DELETE", "/v1/tenants/hotel") == (204, None)
        assert self.ask(login=login)[0] == 403
        assert self.api("GET", "/v1/tenants/hotel")[0] == 404

    def test_what_is_wrong_is_said(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
        for status, *call in (
            (401, "GET", "/v1/tenants", None, "wrong"),
            (404, "GET", "/v1/nothing"),
            (405, "PUT", "/v1/tenants"),
            (422, "POST", "/v1/tenants", {"name": "x y", "key": "long-enough-key"}),
            (422, "POST", "/v1/tenants", {"name": "x"}),
            (400, "POST", "/v1/tenants", [1]),
            (422, "PATCH", "/v1/tenants/sales", {"most_open": -1}),
            (422, "PATCH", "/v1/tenants/sales", {"colour": "red"}),
        ):
            with self.subTest(call):
                got = self.api(*call)
                assert got[0] == status
                assert got[1]["error"]

    def test_most_open_requests_of_a_tenant(self):
        engine = self.engine(stall_after_first_rows, kind=FakeClickHouseEngine)
        self.service(engine)
        self.api("PATCH", "/v1/tenants/sales", {"most_open": 1})
        self.begin("/?workload=report")
        wait_until(lambda: engine.asked, "the attempt")
        status, headers, _ = self.ask()
        assert (status, headers["Retry-After"]) == (503, "1")

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

    def test_engines_come_and_go_by_dns_sd(self):
        engine = self.engine(kind=FakeClickHouseEngine)
        broker = self.service(engine)
        listed = self.api("GET", "/v1/engines")[1]["engines"]
        assert listed == [
            {
                "name": "ch-0",
                "address": f"127.0.0.1:{engine.port}",
                "wire": "clickhouse",
                "state": "ready",
                "attempts": 0,
            }
        ]
        broker.dns.instances[f"ch-0.{TYPE}"] = (engine.port, "draining")
        wait_until(
            lambda: self.api("GET", "/v1/engines")[1]["engines"][0]["state"] == "draining", "the drain"
        )
        status, _, _ = self.ask(max_execution_time="0.5")
        assert (status, engine.asked) == (503, [])

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


class ServiceDays(Service):
    """What must hold on days of service, on this front as on the other."""

    def test_clients_that_say_nothing_or_half_are_let_go(self):
        self.service(self.engine(kind=FakeClickHouseEngine))
        with socket.create_connection(("127.0.0.1", self.port), 3.5) as quiet:
            assert quiet.recv(1) == b""
        with socket.create_connection(("127.0.0.1", self.port), WAIT) as half:
            half.sendall(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nSEL")
            assert b" 408 " in half.recv(4096)

    def test_id_open_on_the_other_front_is_an_error(self):
        engine = self.engine(never_answer)
        broker = self.service(lines=[engine])
        client = self.client(broker)
        client.ask(id="00000000000000aa")
        wait_until(lambda: engine.wants, "the attempt")
        assert self.code(query_id="00000000000000aa") == (500, 216)

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
