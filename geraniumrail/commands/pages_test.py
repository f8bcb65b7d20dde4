"""Guards the guides: every command line in them is accepted by the command line's parser."""

import contextlib
import io
import pathlib
import shlex
import unittest

from geraniumrail.commands.main import build_parser

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGES = ('README.md', 'docs/operators.md')
SHELL = frozenset(('&', '>', '2>', 'done'))


def commands_of(page):
    for line in (ROOT / page).read_text().splitlines():
        if line.startswith('    ') and line.lstrip().startswith('geraniumrail '):
            words = shlex.split(line, comments=True)[1:]
            end = next((place for place, word in enumerate(words) if word in SHELL), len(words))
            yield words[:end]


class PagesTest(unittest.TestCase):
    def test_commands_are_accepted(self):
        for page in PAGES:
            commands = list(commands_of(page))
            self.assertGreater(len(commands), 3)
            for words in commands:
                errors = io.StringIO()
                with self.subTest(' '.join(words)), contextlib.redirect_stderr(errors):
                    try:
                        build_parser().parse_args(words)
                    except SystemExit:
                        self.fail(errors.getvalue())

    def test_links_lead_to_files(self):
        for page in (ROOT / 'README.md', *(ROOT / 'docs').glob('*.md')):
            for rest in page.read_text().split('](')[1:]:
                target = rest.partition(')')[0].partition('#')[0]
                with self.subTest(f'{page.name}: {target}'):
                    self.assertTrue((page.parent / target).exists())


if __name__ == '__main__':
    unittest.main()
