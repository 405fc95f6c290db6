"""A service's answer with neither a length nor chunks ends with its connection.
It reaches the caller whole, and nothing is added that says that it is."""

import json
import unittest

import harness


class OpenEnded(harness.SiteTest):

    def check(self, pool, path):
        service = self.service(pool, "s1")
        daemon = self.site()
        service.mode(open_ended=True)
        connection = self.connect(daemon.address)
        connection.request(
            "POST", path, b"cots",
            {"Authorization": f"Bearer {harness.TOKEN}"})
        answer = connection.getresponse()
        framed = answer.chunked or answer.length is not None
        body = answer.read()
        self.assertEqual(answer.status, 200, body)
        self.assertEqual(json.loads(body)["body"], "cots")
        self.assertFalse(framed)
        self.assertEqual(service.runs()["totals"]["runs"], 1)

    def test_order_comes_whole_and_is_not_framed_anew(self):
        self.check("orders", "/orders")

    def test_look_up_comes_whole_and_is_not_framed_anew(self):
        self.check("lookups", "/lookups")


if __name__ == "__main__":
    unittest.main()
