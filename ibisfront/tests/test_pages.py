"""Tests that the documentation pages match the code."""

from __future__ import annotations

import re
import unittest
from pathlib import Path
from unittest import mock

from ibisfront.adapters.admin import admin_routes, health_routes
from ibisfront.adapters.callers import caller_routes
from ibisfront.core.coverage import MissingReason
from ibisfront.core.error_advice import ADVICE
from ibisfront.core.errors import ErrorKind
from ibisfront.core.logs import LOG_PART_HELP, LogPart
from ibisfront.core.settings import check_settings
from ibisfront.testing.pages import PAGES, update_generated_sections

ROOT = Path(__file__).parents[2]
INTERFACE = (ROOT / "docs/INTERFACE.md").read_text()
EVERY_PAGE = (ROOT / "README.md", ROOT / "CONTRIBUTING.md", *ROOT.glob("docs/*.md"))


class GeneratedSectionsTest(unittest.TestCase):
    """The generated sections are up to date."""

    def test_pages_match_the_code(self):
        for path in PAGES:
            with self.subTest(path=path):
                text = (ROOT / path).read_text()
                self.assertEqual(
                    text, update_generated_sections(text), "run: make pages"
                )

    def test_every_error_and_log_part_is_documented(self):
        self.assertEqual(set(ADVICE), set(ErrorKind))
        self.assertEqual(set(LOG_PART_HELP), set(LogPart))


class InterfacePageTest(unittest.TestCase):
    """The interface page lists exactly what exists."""

    def setUp(self):
        instance = mock.Mock()
        self.routes = (
            *caller_routes(instance, settings=mock.Mock()),
            *health_routes(instance),
            *admin_routes(instance, platform=mock.Mock(), clock=mock.Mock()),
        )

    def has_route(self, method, path):
        return any(
            route.method == method and route.pattern.fullmatch(path)
            for route in self.routes
        )

    def test_every_curl_example_has_a_route(self):
        calls = re.findall(r"curl -sS -X ([A-Z]+) http://\$[A-Z]+(/\S+)", INTERFACE)
        self.assertGreaterEqual(len(calls), 8)
        for method, path in calls:
            with self.subTest(method=method, path=path):
                self.assertTrue(self.has_route(method, path))

    def test_every_operator_route_is_listed(self):
        listed = re.findall(r"^\| `([A-Z]+) (/\S+)`", INTERFACE, re.MULTILINE)
        for method, path in listed:
            with self.subTest(method=method, path=path):
                self.assertTrue(self.has_route(method, path))
        operators = len(
            admin_routes(mock.Mock(), platform=mock.Mock(), clock=mock.Mock())
        )
        self.assertEqual(len(listed), operators)

    def test_every_reason_of_a_missing_service_is_listed(self):
        for reason in MissingReason:
            self.assertIn(f"`{reason.value}`", INTERFACE)


class EveryPageTest(unittest.TestCase):
    """Links resolve, and examples are valid."""

    def test_links_resolve(self):
        for page in EVERY_PAGE:
            for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())

    def test_the_settings_in_the_readme_are_valid(self):
        shown = re.search(r"```toml\n(.*?)```", EVERY_PAGE[0].read_text(), re.DOTALL)
        check_settings(shown[1])

    def test_named_modules_exist(self):
        architecture = (ROOT / "docs/ARCHITECTURE.md").read_text()
        for name in re.findall(r"`((?:core|adapters)/\w+\.py)`", architecture):
            self.assertTrue((ROOT / "ibisfront" / name).exists(), name)
        glossary = (ROOT / "docs/GLOSSARY.md").read_text()
        for name in re.findall(r"`ibisfront\.((?:core|adapters)\.\w+)", glossary):
            path = ROOT / "ibisfront" / (name.replace(".", "/") + ".py")
            self.assertTrue(path.exists(), name)
