from __future__ import annotations

import random

import pytest

from bergamotmast.policy.size_bands import MOST_CLASSES
from bergamotmast.policy.size_bands import WINDOW_SIZES
from bergamotmast.policy.size_bands import ClassSizes
from bergamotmast.policy.size_bands import RecentSizes
from bergamotmast.policy.size_bands import SizeBand


@pytest.mark.parametrize("scale", [1, 40, 5_000])
def test_bands_follow_the_sizes_that_a_class_has(scale):
    rng = random.Random(7)
    sizes = RecentSizes()
    for _ in range(WINDOW_SIZES):
        sizes.observe(int(scale * rng.uniform(100, 200)))
    assert sizes.observe(198 * scale) is SizeBand.LARGEST
    assert sizes.observe(182 * scale) is SizeBand.LARGE
    assert sizes.observe(150 * scale) is SizeBand.REST


def test_prompts_of_one_size_are_all_in_the_lowest_band():
    sizes = RecentSizes()
    bands = {sizes.observe(4_000) for _ in range(2 * WINDOW_SIZES)}
    assert bands == {SizeBand.REST}


def test_the_first_prompts_of_a_class_are_not_called_large():
    sizes = RecentSizes()
    assert {sizes.observe(size) for size in range(9)} == {SizeBand.REST}
    assert sizes.observe(100) is SizeBand.LARGEST


def test_sizes_of_long_ago_are_forgotten():
    sizes = RecentSizes()
    for size in range(10_000, 11_000):
        sizes.observe(size)
    for size in range(WINDOW_SIZES):
        sizes.observe(size % 100)
    assert len(sizes.latest) == len(sizes.ordered) == WINDOW_SIZES
    assert sizes.observe(9_000) is SizeBand.LARGEST


def test_classes_are_bounded_whatever_the_configuration_names():
    classes = ClassSizes()
    for number in range(10 * MOST_CLASSES):
        classes.observe("kept", 1)
        classes.observe(f"class-{number}", 1)
    assert len(classes.classes) <= MOST_CLASSES
    assert len(classes.classes["kept"].latest) == WINDOW_SIZES
