"""At-most-once execution over thousands of histories of the real code."""

from __future__ import annotations

import logging
import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from properties.ledger_histories import LedgerHistory
from properties.ledger_variants import VARIANTS

HISTORIES = 2_000
VARIANT_HISTORIES = 2_000
STEPS = 14


def machine_settings(*, histories, shrink=True):
    """Return settings that make runs reproducible."""
    phases = [Phase.generate, Phase.shrink] if shrink else [Phase.generate]
    return settings(
        max_examples=histories,
        stateful_step_count=STEPS,
        derandomize=True,
        database=None,
        deadline=None,
        phases=phases,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )


class LedgerMachineTest(unittest.TestCase):
    """No history runs a key twice or makes a "not run" false."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_history_breaks_a_promise(self):
        run_state_machine_as_test(
            LedgerHistory, settings=machine_settings(histories=HISTORIES)
        )

    def test_the_machine_finds_the_fault_of_each_broken_variant(self):
        for variant in VARIANTS:
            with self.subTest(variant.inject.__name__):
                self.assertRegex(_found_fault(variant), r"ran \d+ times|ran after all")


def _found_fault(variant):
    """Return the errors found in a variant; empty if there are none."""
    quick = machine_settings(histories=VARIANT_HISTORIES, shrink=False)
    try:
        with variant.inject():
            run_state_machine_as_test(variant.machine, settings=quick)
    except ExceptionGroup as group:
        return "; ".join(str(error) for error in group.exceptions)
    return ""
