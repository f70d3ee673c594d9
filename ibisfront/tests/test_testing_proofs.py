"""Tests of the check of ``docs/PROOFS.md``."""

from __future__ import annotations

import unittest

from ibisfront.testing.proofs import Proof, find_problems, read_proofs

PAGE = """
| Promise | Mechanism | Test | Failed first | Figure | State |
| --- | --- | --- | --- | --- | --- |
| One snapshot | pinning | `test_x.T.test_one` | `abc1234` | none | proved |
| Coverage | counting | | not seen failing | | not proved: later |

| Bound | Mechanism | Test | Failed first | Figure | State |
| --- | --- | --- | --- | --- | --- |
| Machine | drawing | `test_y.Machine.runTest` | not seen failing | | partly: x |
"""

MACHINE = "properties.test_y.Machine.runTest"
NOT_SEEN = "not seen failing"


class ProofsTest(unittest.TestCase):
    """The page must not claim a test that did not run."""

    def test_rows_are_read(self) -> None:
        proofs = read_proofs(PAGE)
        self.assertEqual(
            [proof.promise for proof in proofs], ["One snapshot", "Coverage", "Machine"]
        )
        self.assertEqual(proofs[0].tests, ("test_x.T.test_one",))
        self.assertEqual(proofs[0].failed_first, "`abc1234`")
        self.assertEqual(proofs[2].tests, ("test_y.Machine.runTest",))

    def test_a_test_that_did_not_run_is_a_problem(self) -> None:
        problems = find_problems(
            read_proofs(PAGE), ["ibisfront.tests.test_x.T.test_two", MACHINE]
        )
        self.assertEqual(len(problems), 1)
        self.assertIn("test_x.T.test_one did not run", problems[0])

    def test_tests_that_ran_are_no_problem(self) -> None:
        ran = ["ibisfront.tests.test_x.T.test_one", MACHINE]
        self.assertEqual(find_problems(read_proofs(PAGE), ran), [])

    def test_a_claim_without_a_test_is_a_problem(self) -> None:
        self.assertEqual(
            len(find_problems([Proof("p", (), NOT_SEEN, "proved")], [])), 1
        )

    def test_an_empty_state_is_a_problem(self) -> None:
        self.assertEqual(len(find_problems([Proof("p", (), NOT_SEEN, "")], [])), 1)

    def test_an_empty_or_vague_failed_first_is_a_problem(self) -> None:
        """Guards against proofs by a test that was never seen failing.

        If the column is empty or says "yes", readers assume that the test
        can fail.
        """
        for vague in ("", "yes", "guard taken out"):
            with self.subTest(vague):
                proof = Proof("p", (), vague, "not proved: later")
                self.assertEqual(len(find_problems([proof], [])), 1)
