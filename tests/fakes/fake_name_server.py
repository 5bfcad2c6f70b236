"""A fake name server for the engine directory and for DNS-SD, whose lists a test sets."""

import itertools
import socket
import threading

import dns.message
import dns.rrset

OUTDATED_SERIAL = 0  # older than every list


class FakeNameServer:
    """A UDP server that answers SRV queries for the engine directory and PTR/SRV/TXT/A queries for DNS-SD.

    `engines` maps names to (port, SRV priority), `instances` the names of DNS-SD instances to (port, state).
    `asked` counts all queries; with `is_silent` none is answered.
    """

    def __init__(self):
        self.engines, self.serial, self.is_silent, self.asked = {}, 1, False, 0
        self.engines_started_ms = 0  # ms since 1970; start time in the TXT records of the engines
        self.sends_invalid_answers = False  # send invalid answers before the valid one
        self.instances = {}
        self.directory_clients = []  # client address of each directory query; each poll has its own
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                raw, peer = self.sock.recvfrom(4096)
                self._reply(raw, peer)
            except OSError:
                return

    def _reply(self, raw, peer):
        self.last = raw, peer
        self.asked += 1
        query = dns.message.from_wire(raw)
        if _is_directory_query(query):
            self.directory_clients.append(peer)
        if self.is_silent:
            return
        valid = self._answer(query)
        if self.sends_invalid_answers:
            outdated = self._answer(dns.message.from_wire(raw), OUTDATED_SERIAL)
            server_failure = valid[:3] + bytes([valid[3] | 2]) + valid[4:]
            for invalid in (server_failure, valid[:-9], bytes([valid[0] ^ 1]) + valid[1:], outdated):
                self.sock.sendto(invalid, peer)
        self.sock.sendto(valid, peer)

    def polls_ended_after(self, query_count):
        """Return the number of queries of each ended poll that began after the first `query_count` queries.

        Only directory queries count. The last poll is left out, since it may still be running.
        """
        clients = list(self.directory_clients)
        polls = [list(queries) for _, queries in itertools.groupby(clients[query_count:])]
        if query_count and polls and polls[0][0] == clients[query_count - 1]:
            del polls[0]  # this poll began earlier
        return [len(queries) for queries in polls[:-1]]  # the last one may still be running

    def answer_last_query(self):
        """Answer the last query (again) from the present lists."""
        raw, peer = self.last
        self.sock.sendto(self._answer(dns.message.from_wire(raw)), peer)

    def _answer(self, query, serial=None):
        """Return the answer to a query, with the serial number of the present list unless one is given."""
        serial = self.serial if serial is None else serial
        answer = dns.message.make_response(query)
        name = query.question[0].name.to_text()

        def add(section, owner, kind, *texts):
            section.append(dns.rrset.from_text_list(owner, 1, "IN", kind, texts))

        if _is_directory_query(query):
            if self.engines:
                add(
                    answer.answer,
                    name,
                    "SRV",
                    *(
                        f"{priority} 40 {port} {engine_name}.room1.hosts."
                        for engine_name, (port, priority) in self.engines.items()
                    ),
                )
            for engine_name in self.engines:
                add(answer.additional, f"{engine_name}.room1.hosts.", "A", "127.0.0.1")
                add(
                    answer.additional,
                    f"{engine_name}.room1.hosts.",
                    "TXT",
                    f'"kind=node-8c" "cell=0" "started={self.engines_started_ms}"',
                )
            add(answer.authority, "cluster.lan.", "SOA", f"ns. root. {serial} 1 1 1 1")
        elif name in self.instances:
            port, state = self.instances[name]
            add(answer.answer, name, "SRV", f"0 0 {port} host.cluster.lan.")
            add(answer.answer, name, "TXT", f'"txtvers=1" "kind=node-8c" "state={state}"')
        elif name == "host.cluster.lan.":
            add(answer.answer, name, "A", "127.0.0.1")
        elif self.instances:
            add(answer.answer, name, "PTR", *self.instances)
        return answer.to_wire(max_size=8000)

    def close(self):
        self.sock.close()


def _is_directory_query(query):
    """Return whether a query is for the engine directory and not for DNS-SD."""
    return query.question[0].name.to_text().startswith("_app.")
