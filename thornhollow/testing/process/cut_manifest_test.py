"""A platform's answer with neither a length nor chunks that ends in the middle:
a part of the list of parts may be a list as well, and must not be put in force."""

import hashlib
import http.server
import unittest
import urllib.request

import harness
import relay_site

MANIFEST = "/v1/values/thornhollow/manifest"


class PlatformFront:
    """Hands on what the platform answers. While `cuts` is set, its answers with
    a manifest have no length, and end within the last line."""

    def __init__(self, platform):
        self.cuts = False
        self.cut_answers = 0
        front = self

        class Handler(http.server.BaseHTTPRequestHandler):

            def log_message(self, *_):
                pass

            def do_GET(self):
                try:
                    with urllib.request.urlopen(
                            f"http://{platform}{self.path}") as answer:
                        front.hand_on(self, answer.status, answer.headers,
                                      answer.read())
                except urllib.error.HTTPError as answer:
                    front.hand_on(self, answer.code, answer.headers,
                                  answer.read())

        self.server = relay_site.Server(Handler)

    def hand_on(self, call, status, headers, body):
        cut = (self.cuts and status == 200
               and call.path.startswith(MANIFEST))
        call.send_response(status)
        if "X-Version" in headers:
            call.send_header("X-Version", headers["X-Version"])
        if not cut:
            call.send_header("Content-Length", str(len(body)))
        call.end_headers()
        call.wfile.write(body[:body.rstrip().rindex(b"\n") + 1] if cut
                         else body)
        self.cut_answers += cut


class CutManifest(harness.SiteTest):

    def publish_in_two_parts(self):
        """The second part declares the last endpoint."""
        lines = self.declarations().rstrip("\n").split("\n")
        digests = []
        for part in ("\n".join(lines[:-1]) + "\n",
                     "endpoints:\n" + lines[-1] + "\n"):
            digests.append(hashlib.sha256(part.encode()).hexdigest())
            self.put(f"thornhollow/parts/{digests[-1]}", part)
        listed = "".join(f'- "{each}"\n' for each in digests)
        return self.put("thornhollow/manifest", f"format: 1\nparts:\n{listed}")

    # Guards against a configuration that lacks its last part.
    def test_part_of_a_manifest_is_not_put_in_force(self):
        self.engine("e1")
        self.engine("e2")
        front = PlatformFront(self.platform.address)
        self.addCleanup(front.server.stop)
        before = self.publish()
        daemon = self.daemon(platform=front.server.address)
        front.cuts = True
        newest = self.publish_in_two_parts()
        harness.wait_until(
            lambda: front.cut_answers >= 3 or daemon.version() != before,
            "cut answers were read")
        self.assertEqual(daemon.version(), before)
        front.cuts = False
        harness.wait_until(lambda: daemon.version() == newest,
                           "the whole manifest is in force")


if __name__ == "__main__":
    unittest.main()
