"""Guards the sockets and the splitting of streams below the clients."""

import random
import socket
import unittest

from geraniumrail.backends.connections import ConnectionsConfig, make_socket
from geraniumrail.backends.event_lines import EventLines, LineTooLongError


class SocketTest(unittest.TestCase):
    @unittest.skipUnless(hasattr(socket, 'TCP_USER_TIMEOUT'), 'Linux only')
    def test_cut_off_peer_does_not_hold_a_connection_for_minutes(self):
        with make_socket(
            ConnectionsConfig(user_timeout_ms=4000), (socket.AF_INET, socket.SOCK_STREAM, 0)
        ) as made:
            option = made.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(option, 4000)


class EventLinesTest(unittest.TestCase):
    def test_payloads_do_not_depend_on_how_the_bytes_arrive(self):
        stream = b'data: {"a": 1}\n\n: comment\n\ndata:{"b": 2}\r\n\r\nevent: x\ndata: [DONE]\n\n'
        expected = [b'{"a": 1}', b'{"b": 2}', b'[DONE]']
        rng = random.Random(5)
        for _ in range(300):
            cuts = sorted(rng.sample(range(len(stream)), rng.randrange(12)))
            lines = EventLines(100)
            pieces = (
                stream[start:end] for start, end in zip([0, *cuts], [*cuts, None], strict=True)
            )
            payloads = [payload for piece in pieces for payload in lines.feed(piece)]
            self.assertEqual(payloads, expected)

    def test_endless_line_does_not_fill_the_memory(self):
        lines = EventLines(100)
        with self.assertRaises(LineTooLongError):
            for _ in range(11):
                lines.feed(b'data: xxxx')


if __name__ == '__main__':
    unittest.main()
