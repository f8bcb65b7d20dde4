"""Guards the commands that the package declares: one of them named a module that did not exist."""

import contextlib
import importlib
import io
import pathlib
import tomllib
import unittest

from geraniumrail.bench.main import experiments, main

PROJECT = pathlib.Path(__file__).resolve().parents[2] / 'pyproject.toml'


class CommandsTest(unittest.TestCase):
    def test_each_declared_command_exists(self):
        scripts = tomllib.loads(PROJECT.read_text())['project']['scripts']
        for command, target in scripts.items():
            module, _, name = target.partition(':')
            with self.subTest(command=command):
                self.assertTrue(callable(getattr(importlib.import_module(module), name)))

    def test_list_names_each_experiment(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertEqual(main(['list']), 0)
        for name in experiments():
            self.assertIn(name, output.getvalue())
        self.assertIn('routing_experiment', experiments())

    def exit_code(self, *arguments):
        """Returns the exit code and what was printed."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            try:
                return main(arguments), output.getvalue()
            except SystemExit as ended:
                return ended.code, output.getvalue()

    def test_unknown_experiment(self):
        code, printed = self.exit_code('run', 'none')
        self.assertEqual(code, 2)
        self.assertIn('geraniumrail-bench list', printed)

    def test_experiment_gets_its_options(self):
        code, printed = self.exit_code('run', 'routing_experiment', '--help')
        self.assertEqual(code, 0)
        self.assertIn('--seeds', printed)


if __name__ == '__main__':
    unittest.main()
