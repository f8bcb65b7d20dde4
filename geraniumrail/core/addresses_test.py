"""Guards the knowledge of which backend server is at an address."""

import unittest

from geraniumrail.core.addresses import Addresses
from geraniumrail.core.backend import Backend


def server(instance, incarnation, address='127.0.0.1:1'):
    return Backend(
        instance=instance,
        service='model-bench',
        address=address,
        data_centre='a1',
        region='a',
        version='v1',
        incarnation=incarnation,
    )


class AddressesTest(unittest.TestCase):
    def test_two_starts_in_one_millisecond_replace_nothing(self):
        """Nothing tells which of them is there; removing both must not fail."""
        addresses = Addresses()
        first, second = server('first', 100), server('second', 100)
        self.assertEqual([addresses.add(each) for each in (first, second)], [None, None])
        self.assertFalse(addresses.is_replaced(first))
        addresses.remove('second')
        addresses.remove('first')

    def test_server_that_is_gone_replaces_nothing(self):
        """A wrong clock at a server that is gone must not keep out the one that came after it."""
        addresses = Addresses()
        addresses.add(server('ahead', 9000))
        self.assertTrue(addresses.is_replaced(server('sound', 5000)))
        addresses.remove('ahead')
        self.assertFalse(addresses.is_replaced(server('sound', 5000)))

    def test_server_that_has_moved_leaves_its_earlier_address(self):
        """The next server there would have replaced one that serves at another address."""
        addresses = Addresses()
        addresses.add(server('moved', 100))
        addresses.add(server('moved', 150, '127.0.0.1:2'))
        self.assertIsNone(addresses.add(server('other', 200)))
        self.assertEqual(addresses.add(server('third', 300, '127.0.0.1:2')), 'moved')
