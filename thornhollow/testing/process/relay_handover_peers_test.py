"""A silent attempt beside other instances that stand still or are gone."""

import signal
import socket
import time
import unittest

import cut_off_site
import harness
import relay_site


class HandoverAtPeers(cut_off_site.CutOffTest):

    def configuration(self):
        """Look-ups are silent after as long as streams are."""
        made = super().configuration()
        for route in made["routes"]:
            route["target_latency_ms"] = 150
            route["max_attempts"] = 4
        return made

    def test_carrier_stands_still_and_contact_is_back(self):
        # Guards against endpoints that aren't asked once no instance is left.
        self.begin(2)
        self.traffic(0.5)
        one = self.fleet[0]
        self.cut([one], "reset")
        self.ask(one, "/l/x", "first")
        harness.wait_until(lambda: one.events("endpoint_contact"), "lost")
        for e in self.engines:
            e.mode = "hang"
        asked = harness.Background(self.timed, one, "held")
        harness.wait_until(lambda: any("held" in e.ran for e in self.engines),
                           "runs")
        self.fleet[1].process.send_signal(signal.SIGSTOP)
        for e in self.engines:
            e.mode = ""
        self.heal([one])
        time.sleep(4)
        got = asked.result()
        self.fleet[1].process.send_signal(signal.SIGCONT)
        self.assertEqual(got[0], 200)
        self.assertLess(got[1], 8)

    def timed(self, at, name):
        begun = time.monotonic()
        return self.ask(at, "/l/x", name)[0], round(time.monotonic() - begun, 1)

    def test_peer_does_not_connect(self):
        # Guards against an attempt that is closed for one that was never sent.
        self.begin(2)
        self.traffic(0.5)
        one, other = self.fleet
        for e in self.engines:
            e.events, e.event_gap_s = 60, 0.1
        caller = relay_site.StreamCaller(self, "s")
        asked = harness.Background(caller.submit, one)
        time.sleep(0.3)
        self.cut([one], "alone")
        time.sleep(0.1)
        # They find out that no endpoint can be connected to.
        more = [harness.Background(self.ask, one, "/s/x", f"f{n}", True)
                for n in range(12)]
        harness.wait_until(lambda: one.events("endpoint_contact"), "lost")
        for e in self.engines:
            e.running.clear()
        time.sleep(0.95)
        text = other.settings.read_text()
        line = next(each for each in text.splitlines()
                    if each.startswith("forward_address"))
        host, port = line.split(" ")[1].rsplit(":", 1)
        other.process.kill()
        other.process.wait()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        fill = []
        for _ in range(2):
            s = socket.socket()
            s.setblocking(False)
            s.connect_ex((host, int(port)))
            fill.append(s)
        time.sleep(1.4)
        for e in self.engines:
            e.running.set()
        time.sleep(5)
        asked.result()
        self.assertEqual(caller.numbers, list(range(1, 61)))


if __name__ == "__main__":
    unittest.main()
