"""Guards docs/settings.md: it lists the keys of the schema as they are."""

import pathlib
import unittest

from geraniumrail.settings.page import settings_page

DOCS = pathlib.Path(__file__).resolve().parents[2] / 'docs'


class PageTest(unittest.TestCase):
    def test_page_is_up_to_date(self):
        self.assertEqual((DOCS / 'settings.md').read_text(), settings_page())


if __name__ == '__main__':
    unittest.main()
