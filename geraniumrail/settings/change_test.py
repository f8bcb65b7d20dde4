"""Guards the settings tree against invalid changes, lost updates and partial effects."""

import copy
import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumrail.core import codec
from geraniumrail.errors import settings as errors
from geraniumrail.settings.change import Change, apply_change
from geraniumrail.settings.combinations import problems
from geraniumrail.settings.effective import Effective
from geraniumrail.settings.resolve import explain, resolve
from geraniumrail.settings.schema import SCHEMA, SETTINGS_BY_KEY
from geraniumrail.settings.tree import Tree

PATHS = ('/', '/*/bench', '/*/bench/chat', '/a', '/a/bench', '/a/bench/chat', '/b/desk', '/bad//')
REQUESTS = tuple(
    (organisation, service, route)
    for organisation in ('a', 'b', 'new')
    for service in ('bench', 'desk', 'new')
    for route in ('chat', '')
)
FIXED = settings(max_examples=150, derandomize=True, deadline=None, database=None)


def change(path: str, expected: int = 0, **values: object) -> Change:
    return Change(
        change_id=f'{path}@{expected}',
        path=path,
        expected_version=expected,
        values=values,
        operator='op',
    )


def tree_of(*changes: Change) -> Tree:
    tree = Tree.empty()
    for item in changes:
        tree = apply_change(tree, item)
    return tree


def values() -> st.SearchStrategy:
    times = st.sampled_from((1, 60, 500, 3000, 5000, 100_000, 200_000, -1))
    odd = st.one_of(st.booleans(), st.floats(), st.text(max_size=3), st.none())
    by_key = {
        'kind': st.sampled_from(('engine', 'plain', None)),
        'repeatable': st.sampled_from((True, False, None)),
        'traffic_class': st.sampled_from(('review', 'chat', None)),
        'outcome_path': st.sampled_from(('/outcomes', '', None)),
        'review_completion_s': st.sampled_from((1, 60.0, 150, None)),
        'canary_share': st.sampled_from((0.05, 0.3)),
        'no_such_key': odd,
        **{key: st.one_of(times, st.none()) for key in SETTINGS_BY_KEY if key.endswith('_ms')},
        'queue_limit': odd,
    }
    return st.fixed_dictionaries({}, optional=by_key).map(
        # A change with many random keys is nearly always refused.
        lambda drawn: dict(sorted(drawn.items())[:2])
    )


CHANGES = st.lists(
    st.tuples(st.sampled_from(PATHS), values(), st.integers(0, 9).map(lambda roll: roll == 0)),
    max_size=12,
)


class ChangePropertyTest(unittest.TestCase):
    @FIXED
    @given(CHANGES)
    def test_any_sequence_keeps_the_tree_valid(self, drawn):
        tree = Tree.empty()
        for path, asked, is_stale in drawn:
            node = tree.nodes_by_path.get(path)
            version = (node.version if node else 0) + is_stale
            before = copy.deepcopy(tree)
            try:
                after = apply_change(tree, change(path, version, **asked))
            except errors.SettingsError as refusal:
                self.assertEqual(refusal.fields['node'], path)
            else:
                self.assertEqual(after.revision, before.revision + 1)
                self.assertEqual(after.nodes_by_path[path].version, version + 1)
                self.assertEqual(tree, before)
                tree = after
                continue
            self.assertEqual(tree, before)
        for request in REQUESTS:
            found = {item.key: item for item in explain(tree, *request)}
            shown = {key: item.value for key, item in found.items()}
            self.assertEqual(list(problems(shown)), [])
            self.assertEqual(shown, dataclasses.asdict(resolve(tree, *request)))
            for item in found.values():
                if item.path == 'default':
                    self.assertEqual(item.value, SETTINGS_BY_KEY[item.key].default)
                else:
                    node = tree.nodes_by_path[item.path]
                    self.assertEqual(
                        (node.values[item.key], node.version), (item.value, item.version)
                    )
        self.assertEqual(codec.decode(codec.encode(tree)), tree)


class ChangeTest(unittest.TestCase):
    def assert_refused(self, error: type, key: str, *changes: Change) -> errors.SettingsError:
        tree = tree_of(*changes[:-1])
        with self.assertRaises(error) as caught:
            apply_change(tree, changes[-1])
        self.assertEqual(caught.exception.fields['node'], changes[-1].path)
        self.assertEqual(caught.exception.fields.get('key', ''), key)
        return caught.exception

    def test_second_of_two_equal_versions_learns_the_winner(self):
        refusal = self.assert_refused(
            errors.VersionConflictError, '', change('/a', weight=2), change('/a', weight=3)
        )
        self.assertEqual(refusal.fields['winner'], '/a@0')
        self.assertEqual(refusal.fields['version'], 1)

    def test_version_goes_on_after_all_overrides_are_removed(self):
        # Guards against a compare-and-set that succeeds against a node that was emptied meanwhile.
        tree = tree_of(change('/a', weight=2), change('/a', 1, weight=None))
        self.assertEqual(tree.nodes_by_path['/a'].values, {})
        with self.assertRaises(errors.VersionConflictError):
            apply_change(tree, change('/a', 0, weight=2))

    def test_malformed_paths_are_refused(self):
        for path in ('', 'a', '//', '/a/', '/*', '/a/*', '/*/*', '/a/b/c/d', '/a b', '/é', '/a\n'):
            with self.subTest(path=path):
                self.assert_refused(errors.BadPathError, '', change(path, weight=1))

    def test_keys_types_ranges_and_levels_are_checked(self):
        unknown, wrong = errors.UnknownSettingError, errors.WrongSettingTypeError
        out, level = errors.SettingRangeError, errors.SettingCombinationError
        cases = (
            (unknown, '/', 'models', 'x'),
            (unknown, '/', 'models', None),
            (wrong, '/', 'queue_limit', True),
            (wrong, '/', 'queue_limit', 1.0),
            (wrong, '/', 'weight', '1'),
            (wrong, '/*/s', 'repeatable', 1),
            (wrong, '/*/s', 'kind', 1),
            (out, '/', 'weight', 0.05),
            (out, '/', 'weight', float('nan')),
            (out, '/', 'weight', 10**400),
            (out, '/', 'canary_share', 0.21),
            (out, '/*/s', 'kind', 'Engine'),
            (out, '/*/s', 'version', 'v 1'),
            (out, '/*/s', 'outcome_path', '/../x'),
            (level, '/a', 'keep_for_s', 10),
            (level, '/a/s', 'max_concurrent', 10),
            (level, '/a', 'kind', 'plain'),
        )
        for error, path, key, value in cases:
            with self.subTest(key=key, value=value):
                self.assert_refused(error, key, change(path, **{key: value}))

    def test_impossible_combinations_are_refused(self):
        plain = change('/*/desk', kind='plain')
        cases = (
            ('first_token_timeout_ms', change('/', first_token_timeout_ms=509)),
            ('between_tokens_timeout_ms', change('/a', between_tokens_ms=2001)),
            ('deadline_ms', change('/a/s/r', deadline_ms=4999)),
            ('repeatable', change('/a/s', repeatable=False)),
            (
                'repeatable',
                plain,
                change('/a/desk', repeatable=False),
                change('/*/desk', 1, kind=None),
            ),
            ('outcome_path', change('/*/s', outcome_path='/outcomes')),
            ('deadline_ms', change('/a', traffic_class='review', review_completion_s=121)),
        )
        for key, *changes in cases:
            with self.subTest(change=changes[-1]):
                self.assert_refused(errors.SettingCombinationError, key, *changes)

    def test_values_of_two_unrelated_nodes_are_checked_together(self):
        # /a and /*/s don't inherit from each other, but both hold for requests of a to s.
        refusal = self.assert_refused(
            errors.SettingCombinationError,
            'first_token_timeout_ms',
            change('/a', first_token_timeout_ms=1500),
            change('/*/s', first_token_ms=1501),
        )
        self.assertIn('/a/s/*', str(refusal))


class ResolveTest(unittest.TestCase):
    def test_last_node_of_the_chain_wins(self):
        paths = ('/', '/*/s', '/*/s/r', '/a', '/a/s', '/a/s/r')
        tree = Tree.empty()
        for limit, path in enumerate(paths, start=1):
            tree = apply_change(tree, change(path, first_token_ms=limit))
            self.assertEqual(resolve(tree, 'a', 's', 'r').first_token_ms, limit)
        self.assertEqual(resolve(tree, 'b', 's', 'r').first_token_ms, 3)
        self.assertEqual(resolve(tree, '*', 's', 'r').first_token_ms, 3)
        self.assertEqual(resolve(tree, 'b', 't', 'r').first_token_ms, 1)

    def test_names_with_a_slash_do_not_reach_another_node(self):
        tree = tree_of(change('/a/s/r', first_token_ms=7))
        self.assertEqual(resolve(tree, 'a', 's/r').first_token_ms, 510)

    def test_cache_does_not_mix_up_trees_of_equal_revision(self):
        first, second = (tree_of(change('/a', weight=weight)) for weight in (2, 3))
        weights = [resolve(tree, 'a', 's').weight for tree in (first, second, first)]
        self.assertEqual(weights, [2, 3, 2])

    def test_effective_has_the_keys_of_the_schema(self):
        fields = [field.name for field in dataclasses.fields(Effective)]
        self.assertEqual(fields, [setting.key for setting in SCHEMA])
        for setting in SCHEMA:
            self.assertEqual(setting.check('/', setting.default), setting.default)


if __name__ == '__main__':
    unittest.main()
