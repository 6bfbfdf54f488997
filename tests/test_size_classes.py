"""Size classes of prompts, relative to recent sizes of their request class."""

from __future__ import annotations

import random

import pytest

from bergamotmast.policy.size_classes import MAX_REQUEST_CLASSES
from bergamotmast.policy.size_classes import SIZE_SAMPLES
from bergamotmast.policy.size_classes import RecentSizes
from bergamotmast.policy.size_classes import RequestClassSizes
from bergamotmast.policy.size_classes import SizeClass


@pytest.mark.parametrize("scale", [1, 40, 5_000])
def test_size_classes_follow_recent_sizes(scale):
    rng = random.Random(7)
    sizes = RecentSizes()
    for _ in range(SIZE_SAMPLES):
        sizes.observe(int(scale * rng.uniform(100, 200)))
    assert sizes.observe(198 * scale) is SizeClass.LARGEST
    assert sizes.observe(182 * scale) is SizeClass.LARGE
    assert sizes.observe(150 * scale) is SizeClass.REST


def test_prompts_of_one_size_are_in_the_lowest_size_class():
    sizes = RecentSizes()
    size_classes = {sizes.observe(4_000) for _ in range(2 * SIZE_SAMPLES)}
    assert size_classes == {SizeClass.REST}


def test_first_prompts_are_in_the_lowest_size_class():
    sizes = RecentSizes()
    assert {sizes.observe(size) for size in range(9)} == {SizeClass.REST}
    assert sizes.observe(100) is SizeClass.LARGEST


def test_old_sizes_are_dropped():
    sizes = RecentSizes()
    for size in range(10_000, 11_000):
        sizes.observe(size)
    for size in range(SIZE_SAMPLES):
        sizes.observe(size % 100)
    assert len(sizes.latest) == len(sizes.ordered) == SIZE_SAMPLES
    assert sizes.observe(9_000) is SizeClass.LARGEST


def test_number_of_request_classes_is_bounded():
    classes = RequestClassSizes()
    for number in range(10 * MAX_REQUEST_CLASSES):
        classes.observe("kept", 1)
        classes.observe(f"class-{number}", 1)
    assert len(classes.classes) <= MAX_REQUEST_CLASSES
    assert len(classes.classes["kept"].latest) == SIZE_SAMPLES
