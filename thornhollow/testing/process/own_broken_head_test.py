"""Engines and services in trouble, of the project's own interface, whose answers
have a head that is none: a status that doesn't exist, or a line that is no
field. No caller may get one as an answer."""

import json
import unittest

import harness
import raw_answers

PATHS = {"orders": "/orders", "lookups": "/lookups",
         "m": "/v1/chat/completions"}


class OwnBrokenHead(harness.SiteTest):

    def submit(self, pool):
        body = harness.chat_body(8) if pool == "m" else {"order": "x"}
        headers = {"Host": "a.example",
                   "Authorization": f"Bearer {harness.TOKEN}",
                   "Content-Type": "application/json"}
        return raw_answers.Got(self.daemons[0].address, PATHS[pool], headers,
                               json.dumps(body).encode())

    def check(self, pool, answers):
        broken = ""

        def choose(request):
            fields = (f"X-Request-Id: {request}\r\n"
                      "Content-Type: text/plain\r\n").encode()
            return raw_answers.RawAnswer(answers(fields)[broken])

        endpoint = raw_answers.RawEndpoint(pool, choose)
        self.addCleanup(endpoint.server.stop)
        self.endpoints.append(endpoint)
        self.site()
        self.publish_instances()
        for broken in answers(b""):
            with self.subTest(broken):
                before = len(endpoint.ran)
                got = self.submit(pool)
                self.assertIn(got.status, range(500, 600), got.text)
                self.assertTrue(got.is_complete(), got.text)
                self.assertNotIn(raw_answers.MARK, got.text)
                self.assertNotIn(raw_answers.BODY, got.text)
                if len(endpoint.ran) > before:
                    # It may have run: nothing may say otherwise.
                    self.assertNotEqual(
                        json.loads(got.body)["error"]["ran"], "no")

    # Guards against a status that doesn't exist, given as an answer.
    def test_status_that_does_not_exist_of_an_order_service(self):
        self.check("orders", raw_answers.broken_statuses)

    def test_status_that_does_not_exist_of_a_look_up_service(self):
        self.check("lookups", raw_answers.broken_statuses)

    def test_status_that_does_not_exist_of_an_engine(self):
        self.check("m", raw_answers.broken_statuses)

    # Guards against a line of a head that is no field, within another field or
    # with a body that is cut by the wrong framing.
    def test_line_that_is_no_field_of_an_order_service(self):
        self.check("orders", raw_answers.broken_fields)

    def test_line_that_is_no_field_of_a_look_up_service(self):
        self.check("lookups", raw_answers.broken_fields)

    def test_line_that_is_no_field_of_an_engine(self):
        self.check("m", raw_answers.broken_fields)


if __name__ == "__main__":
    unittest.main()
