"""Guards the codec: records survive a round trip and unknown bytes are refused with a type."""

import unittest

import msgspec

from geraniumrail.core import codec
from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport


class CodecTest(unittest.TestCase):
    def test_round_trip_keeps_nested_records(self):
        backend = Backend(
            instance='e1',
            service='model-bench',
            address='127.0.0.1:1',
            data_centre='cheras',
            region='klang-valley',
            version='v1',
            models=('bench',),
            load=LoadReport(running=3),
        )
        self.assertEqual(codec.decode(codec.encode(backend)), backend)

    def test_unknown_record_is_refused(self):
        payload = msgspec.msgpack.encode(('NoSuchRecord', {}))
        with self.assertRaises(codec.UnknownRecordError):
            codec.decode(payload)

    def test_truncated_bytes_are_refused(self):
        payload = codec.encode(LoadReport())
        with self.assertRaises(msgspec.DecodeError):
            codec.decode(payload[:-1])


if __name__ == '__main__':
    unittest.main()
