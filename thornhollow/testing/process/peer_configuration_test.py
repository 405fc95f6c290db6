"""A daemon that starts while the platform is down or answers an older version
takes the configuration from its peers.

An instance is replaced during an outage of the platform. Its neighbours hold
the configuration in force; without them the new one would refuse everything,
or serve yesterday's declarations.
"""

import unittest

from configuration_test import ConfigurationTest


class PeerConfiguration(ConfigurationTest):

    def test_started_while_platform_is_down_takes_it_from_its_peers(self):
        self.start_three()
        newest = self.publish(self.changed(100))
        self.wait_for(newest)
        self.publish_instances()
        self.platform.mode(down=True)
        self.daemon("d3")
        self.assertEqual(self.daemons[-1].version(), newest)

    def test_started_while_platform_is_stale_takes_the_newest(self):
        """An instance is replaced while the platform answers an older version:
        its peers hold the newer one, and it must not serve the older."""
        self.start_three()
        newest = self.publish(self.changed(100))
        self.wait_for(newest)
        self.publish_instances()
        self.platform.mode(stale_version=1)
        self.daemon("d3")
        self.assertEqual(self.daemons[-1].version(), newest)


if __name__ == "__main__":
    unittest.main()
