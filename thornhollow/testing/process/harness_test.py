"""The harness itself, where a fault of it would look like one of a daemon."""

import pathlib
import socket
import subprocess
import sys
import unittest

import harness
import relay_site

OUTGOING = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
MANY = 200


class Ports(unittest.TestCase):

    def test_port_not_one_of_outgoing_connections(self):
        # A daemon was started again while a peer's connection had its port.
        first, last = map(int, OUTGOING.read_text().split())
        for _ in range(MANY):
            port = harness.free_port()
            self.assertFalse(first <= port <= last, port)

    def test_port_of_one_process_not_given_to_another(self):
        own = {harness.free_port() for _ in range(MANY)}
        self.assertEqual(len(own), MANY)
        code = ("import harness; print(*(harness.free_port() for _ in "
                "range(500)))")
        other = subprocess.run(
            [sys.executable, "-c", code], check=True, text=True,
            stdout=subprocess.PIPE, cwd=pathlib.Path(__file__).parent)
        others = set(map(int, other.stdout.split()))
        self.assertEqual(len(others), 500)
        self.assertFalse(own & others)


class Start(relay_site.RelayTest):

    def test_relay_address_taken_told_as_such(self):
        # The test waited for a minute for a daemon that had ended at once.
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            with self.assertRaises(harness.PortTaken):
                relay_site.RelayDaemon(self.store.server.address,
                                       caller=address)


if __name__ == "__main__":
    unittest.main()
