"""Days of service, beside calm ones: new configurations, bad clients, bad peers, engines that come and go."""

from tests.stands import ROW, SETTINGS, Case, NameServer, content, until, whole


class Reload(Case):
    """SIGHUP: the configuration is read again while everything else lives on."""

    def test_new_directory_is_asked_at_once_and_open_requests_live_on(self):
        def slow(engine, say, name, fields, statement):
            until(lambda: engine.released, "the release")
            whole(engine, say, name, fields, statement)

        engine, other = self.engine(slow), self.engine(name="s-2")
        engine.released = False
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask("report", wait=15000)
        until(lambda: engine.wants, "the attempt")
        broker.dns.mute = True
        moved = NameServer()
        self.addCleanup(moved.close)
        moved.serial, moved.engines = 2, {"s-1": (engine.port, 1), "s-2": (other.port, 0)}
        broker.reload(dns=f"127.0.0.1:{moved.port}")
        until(lambda: moved.asked > 1, "the new directory")
        client.ask()  # on the connection from before, and only s-2 is ready now
        self.assertEqual(client.get()["id"], 2)
        engine.released = True
        self.assertEqual(content(client.get()), ROW)
        self.assertIsNone(broker.process.poll())

    def test_serial_is_kept_over_a_reload(self):
        engine = self.engine()
        broker = self.broker(engine)
        broker.relist(7)
        moved = NameServer()
        self.addCleanup(moved.close)
        moved.serial = 3  # an older list, with no engine in it
        broker.reload(dns=f"127.0.0.1:{moved.port}")
        until(lambda: moved.asked > 3, "the new directory")
        client = self.client(broker)
        client.ask()
        self.assertEqual(content(client.get()), ROW)

    def test_unusable_file_leaves_the_old_configuration_in_force(self):
        broker = self.broker(self.engine())
        client = self.client(broker)
        for text, change, word in (
            ("{half a fi", {}, "Expecting"), (None, {"dns": "nowhere"}, "HOST:PORT"),
            (None, {"listen": "127.0.0.1:1"}, "restart"),
            (None, {"settings": SETTINGS | {"Classes": SETTINGS["Classes"][:1]}}, "restart"),
        ):
            with self.subTest(word):
                before = dict(broker.config)
                line = broker.reload(text, **change)[-1]
                broker.config = before
                self.assertIn("the old configuration stays in force", line)
                self.assertIn(word, line)
                client.ask()
                self.assertEqual(content(client.get()), ROW)

    def test_whatever_else_has_changed_counts_too(self):
        broker = self.broker(self.engine())
        client = self.client(broker)
        client.ask(tenant="sud")
        self.assertEqual(client.get()["error"]["code"], -32602)
        broker.reload(settings=SETTINGS | {"Customers": [{"Name": "sud"}]})
        client.ask(tenant="sud")
        self.assertEqual(content(client.get()), ROW)


class Directory(Case):
    def test_good_answer_counts_behind_a_bad_one(self):
        """Spoilt answers in front: a failure, a cut one, one under another id, an older list."""
        first, second = self.engine(), self.engine(name="s-2")
        broker = self.broker(first)
        broker.dns.spoil = True
        broker.dns.engines = {"s-2": (second.port, 0)}
        broker.relist(5)
        client = self.client(broker)
        client.ask()
        self.assertEqual(content(client.get()), ROW)
        self.assertEqual(len(second.wants), 1)
