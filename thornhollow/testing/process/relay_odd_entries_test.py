"""Entries of another writer among those of the endpoints, and odd documents and
reports: an instance stays up, follows the list further, serves, and logs what
it refused."""

import unittest

import harness
import relay_site

LEVELS = 100_000
HUGE = "x" * 100_000
# No store keeps such a key in JSON as UTF-8: it comes as half a pair.
NOT_UTF8 = "servers/\udcff"
ODD_KEYS = (NOT_UTF8, "servers/", "servers/a\r\nX-Injected: y", "servers/a b",
            "servers/\u00e9")
# A possible name, which means something else within a query.
QUERY_KEY = "servers/a&wait_ms=x#y%zz"
ADDRESSES = ("", ":", "somewhere", "somewhere:80", "127.0.0.1",
             "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:7e4",
             "127.0.0.1:80x", "127.0.0.1:-1", HUGE, None, 80, [], {})
NUMBERS = ("-1", "1e400", "-1e400", "1e19", "18446744073709551616",
           "18446744073709551615", "9" * 5000, "1.5", '"1"', "[]")
NESTED = ("[" * LEVELS, '{"a":' * LEVELS, '[{"a":' * LEVELS,
          "[" * LEVELS + "]" * LEVELS)


class PagedStore(relay_site.Store):
    """Lists one item a page."""

    def answer(self, path, asked):
        status, body = super().answer(path, asked)
        if path == "/v1/kv-range" and status == 200:
            keys = [item["key"] for item in body["entries"]]
            if asked.get("after"):
                if asked["after"] not in keys:
                    return 400, {}
                del body["entries"][:keys.index(asked["after"]) + 1]
            body["has_more"] = len(body["entries"]) > 1
            del body["entries"][1:]
        return status, body


class OddEntries(relay_site.RelayTest):

    def text(self, **fields):
        """An entry's text; a field given as bytes stands there unquoted."""
        entry = {"service": "engines", "address": "127.0.0.1:9", "zone": "hall",
                 "version": "v1", "slots": 8, "state": "ready",
                 "cold_remaining_ms": 0, "sequence_number": 1, "born": 1}
        entry.update(fields)
        raw = {name: value for name, value in entry.items()
               if isinstance(value, bytes)}
        text = relay_site.json.dumps(
            {name: f"@{name}@" if name in raw else value
             for name, value in entry.items()}).encode()
        for name, value in raw.items():
            text = text.replace(f'"@{name}@"'.encode(), value)
        return text

    def odd_values(self):
        yield from (each.encode() for each in NESTED)
        yield from (b"", b"\xff\xfe", b"null", b"[]", b"{}", b"1e400")
        for address in ADDRESSES:
            yield self.text(address=address)
        for field in ("slots", "cold_remaining_ms", "sequence_number", "born"):
            for number in NUMBERS:
                if (field, number) not in (("cold_remaining_ms", "1.5"),
                                           ("slots", NUMBERS[5]),
                                           ("sequence_number", NUMBERS[5])):
                    yield self.text(**{field: number.encode()})
        for field in ("service", "zone", "version"):
            yield self.text(**{field: HUGE})
            yield self.text(**{field: None})
        yield self.text(extra=NESTED[3].encode())

    def put_odd_keys(self, keys):
        for key in keys:
            self.store.put(key, self.text())
        self.store.put(QUERY_KEY, self.text(address=""))
        return [*keys, QUERY_KEY]

    def put_odd_entries(self):
        """Returns the keys."""
        keys = self.put_odd_keys(ODD_KEYS)
        for number, value in enumerate(self.odd_values()):
            keys.append(f"servers/odd-{number}")
            self.store.put(keys[-1], value)
        return keys

    def assert_follows(self, daemon, keys):
        """The daemon refused each, and takes and uses what comes after."""
        later = self.engine(f"i-later-{daemon.operators.replace(':', '-')}")
        harness.wait_until(
            lambda: not daemon.running()
            or any(line["endpoint"] == later.name
                   for line in daemon.events("endpoint_joined")),
            "the later entry is followed")
        self.assertTrue(daemon.running(), daemon.story())
        self.assertEqual(self.ask(daemon, "/l/x", later.name)[0], 200)
        joined = {line["endpoint"]
                  for line in daemon.events("endpoint_joined")}
        refused = {line["key"]
                   for line in daemon.events("endpoint_entry_refused")}
        for key in keys:
            self.assertNotIn(key.removeprefix("servers/"), joined)
            if key != NOT_UTF8:
                self.assertIn(key, refused)
        # What isn't UTF-8 is shown with a replacement character.
        if NOT_UTF8 in keys:
            self.assertIn("servers/\ufffd", refused)

    def test_odd_entries_that_come_refused_each_by_itself(self):
        self.engine("i-1")
        fleet = self.daemons_that_know_each_other(2)
        keys = self.put_odd_entries()
        for daemon in fleet:
            self.assert_follows(daemon, keys)

    def test_odd_entries_of_a_listing_refused_each_by_itself(self):
        self.engine("i-1")
        keys = self.put_odd_entries()
        self.assert_follows(self.daemon(), keys)

    def test_odd_keys_at_ends_of_pages_leave_the_listing_whole(self):
        self.store.server.stop()
        self.store = PagedStore()
        self.engine("i-1")
        keys = self.put_odd_keys([key for key in ODD_KEYS if key != NOT_UTF8])
        self.assert_follows(self.daemon(), keys)

    def test_odd_documents_refused_and_the_next_in_force(self):
        self.engine("i-1")
        daemon = self.daemon()
        odd = [each.encode() for each in NESTED] + [
            relay_site.json.dumps(relay_site.document(2)).replace(
                '"timeout_ms": 20000', f'"timeout_ms": {number}').encode()
            for number in ("-1", "1e400", "9" * 5000, '"1"', "[]")]
        for number, value in enumerate(odd):
            self.store.put("op/config", value)
            harness.wait_until(
                lambda n=number: not daemon.running()
                or len(daemon.events("configuration_refused")) > n,
                "the document is refused")
            self.assertTrue(daemon.running(), daemon.story())
        self.store.put("op/config", relay_site.document(3))
        harness.wait_until(
            lambda: any(line["version"] == 3 for line in
                        daemon.events("configuration_in_force")),
            "the next document is in force")
        self.assertEqual(self.ask(daemon, "/l/x")[0], 200)

    def test_odd_reports_of_an_endpoint_leave_it_unconfirmed(self):
        engine = self.engine("i-1")
        daemon = self.daemon()
        for number, text in enumerate([each.encode() for each in NESTED] + [
                b'{"born":%s}' % each.encode() for each in NUMBERS]):
            def report(call, text=text):
                engine.reports += 1
                call.send_response(200)
                call.send_header("Content-Length", str(len(text)))
                call.end_headers()
                call.wfile.write(text)
            engine.report = report
            engine.server.end()
            engine.server = relay_site.Server(engine.handler,
                                              engine.server.server_port)
            self.ask(daemon, "/s/x", f"r{number}", stream=True)
            self.assertTrue(daemon.running(), daemon.story())
        self.assertGreater(engine.reports, 0)
        self.assertEqual(self.ask(daemon, "/l/x", "last")[0], 200)


if __name__ == "__main__":
    unittest.main()
