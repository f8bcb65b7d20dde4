"""Guards metrics: what is exported, bounded labels, the page, and a missing exporter package."""

import pathlib
import socket
import unittest
from unittest import mock

import aiohttp

from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.config.metrics import MetricsConfig
from geraniumrail.errors.config import MissingPackageError
from geraniumrail.metrics.labels import WrongLabelsError
from geraniumrail.metrics.metrics import Metrics
from geraniumrail.metrics.page import metrics_page

DOCS = pathlib.Path(__file__).resolve().parents[2] / 'docs'
OTLP_MODULE = 'opentelemetry.exporter.otlp.proto.http.metric_exporter'


def _config(**metrics):
    return mock.Mock(
        spec=DaemonConfig,
        instance='entry-1',
        region='klang-valley',
        data_centre='cheras',
        metrics=MetricsConfig(**metrics),
    )


def _free_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


class PrometheusTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.address = _free_address()
        self.metrics = Metrics.from_config(_config(exporter='prometheus', listen=self.address))
        await self.metrics.start()
        self.addAsyncCleanup(self.metrics.stop)
        self.instruments = self.metrics.instruments

    async def shown(self):
        async with (
            aiohttp.ClientSession() as session,
            session.get(f'http://{self.address}/metrics') as response,
        ):
            self.assertEqual(response.status, 200)
            return (await response.text()).splitlines()

    async def test_values_and_target_buckets_are_exported(self):
        self.instruments.first_token.record(0.505, 'model-bench', 'chat')
        self.instruments.between_tokens.record(0.0585, 'model-bench', 'chat')
        self.instruments.commit.record(0.003)
        self.instruments.control_bytes.add(12, 'sent')
        lines = await self.shown()
        labels = 'service="model-bench",traffic_class="chat"'
        for line in (
            f'geraniumrail_first_token_seconds_bucket{{le="0.45",{labels}}} 0.0',
            f'geraniumrail_first_token_seconds_bucket{{le="0.51",{labels}}} 1.0',
            f'geraniumrail_between_tokens_seconds_bucket{{le="0.05",{labels}}} 0.0',
            f'geraniumrail_between_tokens_seconds_bucket{{le="0.059",{labels}}} 1.0',
            'geraniumrail_commit_seconds_count 1.0',
            'geraniumrail_control_bytes_total{direction="sent"} 12.0',
        ):
            self.assertIn(line, lines)
        self.assertIn('service_instance_id="entry-1"', '\n'.join(lines))

    async def test_organisations_over_the_cap_are_counted_as_other(self):
        for number in range(200):
            self.instruments.requests.add(1, 'chat', f'organisation-{number}', 'ok')
        counts = [
            line for line in await self.shown() if line.startswith('geraniumrail_requests_total{')
        ]
        self.assertEqual(len(counts), 65)
        self.assertEqual(sum(float(line.split()[-1]) for line in counts), 200)
        self.assertTrue(any('organisation="other"' in line for line in counts))

    async def test_a_state_without_servers_is_not_exported(self):
        self.instruments.backends.replace({('model-bench', 'serving'): 3})
        self.instruments.backends.replace({('model-bench', 'leaving'): 1})
        lines = await self.shown()
        name = 'geraniumrail_backends{service="model-bench",state='
        counts = [line for line in lines if line.startswith(name)]
        self.assertEqual(counts, [f'{name}"leaving"}} 1.0'])

    async def test_wrong_number_of_labels_is_refused(self):
        with self.assertRaises(WrongLabelsError):
            self.instruments.requests.add(1, 'chat')


class ExporterTest(unittest.IsolatedAsyncioTestCase):
    async def test_without_exporter_nothing_is_kept(self):
        metrics = Metrics.from_config(_config())
        await metrics.start()
        metrics.instruments.lease_left.set(3)
        await metrics.stop()

    async def test_missing_otlp_package_is_named(self):
        config = _config(exporter='otlp', endpoint='http://127.0.0.1:4318/v1/metrics')
        with mock.patch.dict('sys.modules', {OTLP_MODULE: None}):
            with self.assertRaisesRegex(MissingPackageError, 'exporter-otlp-proto-http'):
                Metrics.from_config(config)


class PageTest(unittest.TestCase):
    def test_page_is_up_to_date(self):
        self.assertEqual((DOCS / 'metrics.md').read_text(), metrics_page())


if __name__ == '__main__':
    unittest.main()
