"""Guards the daemon's file: mistakes are refused with their line, and the examples load."""

import pathlib
import tempfile
import unittest

from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.config.key_ring import KeyRing
from geraniumrail.config.keys import KeyOwner, hash_key, new_key
from geraniumrail.config.settings_file import SettingsFile
from geraniumrail.errors.config import ConfigError
from geraniumrail.settings.change import apply_change
from geraniumrail.settings.resolve import resolve
from geraniumrail.settings.tree import Tree

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'
DIGEST = 'a' * 64
VALID = f"""instance: entry-1
region: klang-valley
data_centre: cheras
roles: [entry, control]
callers: {{listen: 127.0.0.1:8001}}
operators: {{listen: 127.0.0.1:8101}}
peers: {{listen: 127.0.0.1:8201, tls: {{certificate: c, key: k, authority: a}}}}
metrics: {{exporter: otlp, endpoint: 'http://127.0.0.1:4318/v1/metrics'}}
control: {{seeds: [127.0.0.1:8201], data_folder: run/entry-1}}
keys: [{{name: op, role: operator, sha256: {DIGEST}}}]
limits: {{max_body_bytes: 2048}}
"""
# (line of the valid file to replace, replacement, key that the error names)
REFUSED = (
    (1, 'instance: 7', 'instance'),
    (1, 'instance: a/b', 'instance'),
    (1, 'instance: 2020-99-99', 'instance'),
    (1, 'colour: red', 'colour'),
    (2, 'instance: again', 'instance'),
    (4, 'roles: [entry, proxy]', 'roles'),
    (4, 'roles: [entry, entry]', 'roles'),
    (4, 'roles: entry', 'roles'),
    (4, 'roles: []', 'roles'),
    (5, 'callers: {listen: localhost:8001}', 'callers.listen'),
    (5, 'callers: {listen: 0.0.0.0:8001}', 'callers.listen'),
    (5, 'callers: {listen: 127.0.0.1:0}', 'callers.listen'),
    (5, 'callers: {listen: 127.0.0.1:70000}', 'callers.listen'),
    (5, 'callers: {listen: 127.0.0.1:8001, tls: {key: k}}', 'callers.tls.certificate'),
    (5, 'callers: 127.0.0.1:8001', 'callers'),
    (6, 'operators: {listen: 127.0.0.1:8001}', 'operators'),
    (7, 'peers: {listen: 127.0.0.1:8201, tls: {certificate: c, key: k}}', 'peers'),
    (8, 'metrics: {exporter: prometheus}', 'metrics.listen'),
    (8, 'metrics: {exporter: none, listen: 127.0.0.1:1}', 'metrics.listen'),
    (8, 'metrics: {exporter: otlp, endpoint: 127.0.0.1:1}', 'metrics.endpoint'),
    (9, 'control: {seeds: []}', 'control.seeds'),
    (9, 'control: {seeds: [127.0.0.1:1], snapshot_after_bytes: 1}', 'control.snapshot_after_bytes'),
    (9, 'control: {seeds: [127.0.0.1:1, 127.0.0.1:1]}', 'control.seeds'),
    (9, 'control: {seeds: [127.0.0.1:1], durable: true}', 'control.durable'),
    (9, 'control: {seeds: [127.0.0.1:1], durable: 1, data_folder: x}', 'control.durable'),
    (10, f'keys: [{{name: a, role: caller, sha256: {DIGEST}}}]', 'keys[0].organisation'),
    (10, f'keys: [{{name: a, role: root, sha256: {DIGEST}}}]', 'keys[0].role'),
    (10, 'keys: [{name: a, role: backend, sha256: abc}]', 'keys[0].sha256'),
    (11, 'limits: {max_body_bytes: 1}', 'limits.max_body_bytes'),
    (11, 'limits: {max_body_bytes: true}', 'limits.max_body_bytes'),
    (11, 'limits: {max_body_bytes: 2048.5}', 'limits.max_body_bytes'),
    (11, 'limits: {header_timeout_s: .nan}', 'limits.header_timeout_s'),
    (11, 'limits: {body_timeout_s: !!float x}', 'limits.body_timeout_s'),
    (11, 'limits: {<<: {}}', 'limits.<<'),
    (11, 'log: {level: loud}', 'log.level'),
)


class ConfigTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / 'daemon.yaml'

    def read(self, text: str) -> DaemonConfig:
        self.file.write_text(text)
        return DaemonConfig.from_file(self.file)

    def refusal(self, text: str) -> ConfigError:
        with self.assertRaises(ConfigError) as caught:
            self.read(text)
        self.assertTrue(str(caught.exception).startswith(f'{self.file}:'))
        return caught.exception

    def test_valid_file(self):
        config = self.read(VALID)
        self.assertEqual((config.callers.host, config.callers.port), ('127.0.0.1', 8001))
        self.assertEqual(config.control.data_folder, pathlib.Path('run/entry-1'))
        self.assertTrue(config.control.durable)
        self.assertEqual(config.limits.max_body_bytes, 2048)
        self.assertEqual(config.limits.body_timeout_s, 30)

    def test_mistakes_are_refused_with_line_and_key(self):
        for line, replacement, key in REFUSED:
            with self.subTest(replacement=replacement):
                lines = VALID.splitlines()
                lines[line - 1] = replacement
                fields = self.refusal('\n'.join(lines)).fields
                self.assertEqual((fields['line'], fields['key']), (line, key))

    def test_missing_sections_and_files_that_are_not_yaml_are_refused(self):
        cases = (
            ('', 'file'),
            ('- a', 'file'),
            ('a: [', 'syntax'),
            ('a: 1\n---\nb: 2', 'syntax'),
            (VALID.replace('callers:', '#'), 'callers'),
            (VALID.replace('peers:', '#'), 'peers'),
            (VALID.replace('control:', '#'), 'control'),
            (VALID.replace('[entry, control]', '[control]'), 'callers'),
            (VALID.replace('[entry, control]', '[entry]'), 'control.data_folder'),
        )
        for text, key in cases:
            with self.subTest(key=key, text=text[:20]):
                self.assertEqual(self.refusal(text).fields['key'], key)
        self.file.unlink()
        with self.assertRaises(ConfigError):
            DaemonConfig.from_file(self.file)

    def test_repeated_keys_of_owners_are_refused(self):
        # Guards against a key that opens another organisation than the operator reads in the file.
        for name, digest, key in (('op', 'b' * 64, 'name'), ('op2', DIGEST, 'sha256')):
            item = f', {{name: {name}, role: backend, sha256: {digest}}}]'
            fields = self.refusal(VALID.replace(f'{DIGEST}}}]', f'{DIGEST}}}{item}')).fields
            self.assertEqual(fields['key'], f'keys[1].{key}')

    def test_settings_errors_name_the_line(self):
        for text, line in (
            ('- path: /\n  values: {weight: 1}\n- path: /a\n  values:\n    weight: 0.01', 5),
            ('- path: /a/\n  values: {}', 1),
            ('- path: /\n  values: {}\n- path: /\n  values: {}', 3),
            ('- path: /\n  values: {weight: [1]}', 2),
        ):
            with self.subTest(text=text):
                self.file.write_text(text)
                with self.assertRaises(ConfigError) as caught:
                    SettingsFile.from_file(self.file, 'op', 'load')
                self.assertEqual(caught.exception.fields['line'], line)


class KeyRingTest(unittest.TestCase):
    def test_only_known_keys_are_found(self):
        config = DaemonConfig.from_file(EXAMPLES / 'koperasi-entry-1.yaml')
        ring = KeyRing.from_config(config)
        owner = KeyOwner(name='salon-a', role='caller', organisation='salon-a')
        self.assertEqual(ring.lookup('koperasi-salon-a-example-key'), owner)
        for key in ('', new_key(), hash_key('koperasi-salon-a-example-key'), '\udcff'):
            self.assertIsNone(ring.lookup(key))


class ExamplesTest(unittest.TestCase):
    def test_daemons_of_a_deployment_fit_together(self):
        for name in ('koperasi', 'techos'):
            configs = [
                DaemonConfig.from_file(EXAMPLES / f'{name}-entry-{number}.yaml')
                for number in range(1, 5)
            ]
            seeds = tuple(config.peers.listen for config in configs)
            self.assertEqual({config.control.seeds for config in configs}, {seeds})
            self.assertEqual(len({config.data_centre for config in configs}), 3)
            self.assertEqual(len({config.keys for config in configs}), 1)
            folders = [config.control.data_folder for config in configs]
            self.assertEqual((len(set(folders)), folders[3]), (4, None))

    def test_settings_apply_and_have_the_asked_effect(self):
        trees = {}
        for name in ('koperasi', 'techos'):
            trees[name] = Tree.empty()
            file = SettingsFile.from_file(EXAMPLES / f'{name}-settings.yaml', 'op', 'load')
            for change in file.changes:
                trees[name] = apply_change(trees[name], change)
        booking = resolve(trees['koperasi'], 'salon-b', 'repair-desk', 'bookings')
        self.assertEqual((booking.kind, booking.repeatable), ('plain', False))
        self.assertTrue(resolve(trees['techos'], 'x', 'franchise-app', 'stock').repeatable)
        review = resolve(trees['techos'], 'x', 'assistant-llm', 'review')
        self.assertEqual((review.traffic_class, review.fencing), ('review', 'ignored'))


if __name__ == '__main__':
    unittest.main()
