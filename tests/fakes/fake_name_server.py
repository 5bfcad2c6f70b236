"""A name server for the directory and for DNS-SD, whose lists a test sets."""

import itertools
import socket
import threading

import dns.message
import dns.rrset


class FakeNameServer:
    """Answers SRV queries for the directory and PTR/SRV/TXT/A queries for DNS-SD."""

    def __init__(self):
        self.engines, self.serial, self.is_silent, self.asked = {}, 1, False, 0
        self.born = 0  # ms: when the engines started
        self.sends_invalid_answers = False  # send bad answers in front of the good one
        self.instances = {}
        self.directory_clients = []  # the address behind each query for the directory: one a poll
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
        good = self._answer(query)
        if self.sends_invalid_answers:
            serial, self.serial = self.serial, 0
            old = self._answer(dns.message.from_wire(raw))
            self.serial = serial
            failure = good[:3] + bytes([good[3] | 2]) + good[4:]
            for bad in (failure, good[:-9], bytes([good[0] ^ 1]) + good[1:], old):
                self.sock.sendto(bad, peer)
        self.sock.sendto(good, peer)

    def polls_ended_after(self, query_count):
        """The number of queries of each poll that began after so many queries, and has ended."""
        clients = list(self.directory_clients)
        polls = [list(queries) for _, queries in itertools.groupby(clients[query_count:])]
        if query_count and polls and polls[0][0] == clients[query_count - 1]:
            del polls[0]  # it began before
        return [len(queries) for queries in polls[:-1]]  # the last one may go on

    def answer_last_query(self):
        """Answer the last query now, as things stand."""
        raw, peer = self.last
        self.sock.sendto(self._answer(dns.message.from_wire(raw)), peer)

    def _answer(self, query):
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
                    *(f"{rank} 40 {port} {who}.room1.hosts." for who, (port, rank) in self.engines.items()),
                )
            for who in self.engines:
                add(answer.additional, f"{who}.room1.hosts.", "A", "127.0.0.1")
                add(
                    answer.additional,
                    f"{who}.room1.hosts.",
                    "TXT",
                    f'"kind=node-8c" "cell=0" "started={self.born}"',
                )
            add(answer.authority, "cluster.lan.", "SOA", f"ns. root. {self.serial} 1 1 1 1")
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
    """Whether it asks for the directory's list, not for DNS-SD."""
    return query.question[0].name.to_text().startswith("_app.")
