"""Evaluation of label expressions on all upstreams of a document at once."""

from __future__ import annotations

import collections

from .document import Configuration
from .document import LabelExpression
from .document import Selector
from .document import parse_label_expression

_Upstreams = frozenset[str]


class GroupIndex:
    """Index of a document's upstreams by label, for evaluating many expressions.

    Matching every upstream against every selector blocks an entry's event loop, and so
    all its streams, for a tenth of a second at 600 upstreams and 50 selectors.

    :param configuration: the document.
    :param labels: the names of all labels.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.labels: set[str] = set()
        self._all_upstreams = frozenset(configuration.labels)
        self._by_label: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
        for upstream, labels in configuration.labels.items():
            self.labels.update(labels)
            for pair in labels.items():
                self._by_label[pair].add(upstream)

    def members(self, selector: Selector) -> _Upstreams:
        """Return the names of the upstreams in a selector's group.

        :raises ValueError: if its label expression can't be parsed.
        """
        return self._matching(parse_label_expression(selector.group))

    def _matching(self, wanted: LabelExpression) -> _Upstreams:
        if not wanted.terms:
            return frozenset()
        upstreams = self._all_upstreams
        for term in wanted.terms:
            labelled = self._by_label.get((term.label, term.value), set())
            upstreams = upstreams & labelled if term.equal else upstreams - labelled
        return upstreams


def selectors_by_upstream(configuration: Configuration) -> dict[str, frozenset[str]]:
    """Return the names of the selectors that match each upstream, if any."""
    index = GroupIndex(configuration)
    selector_names: dict[str, set[str]] = collections.defaultdict(set)
    for selector in configuration.selectors:
        for upstream in index.members(selector):
            selector_names[upstream].add(selector.name)
    return {upstream: frozenset(names) for upstream, names in selector_names.items()}
