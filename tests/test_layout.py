"""Tests of the package layers: imports point downwards only, and the policy imports only itself."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "embertray"

# layer -> the other layers that it may import
MAY_IMPORT = {
    "policy": set(),
    "common": set(),
    "controller": {"policy", "common"},
    "cluster": {"common"},
    "platform": {"policy", "common", "controller"},
    "benchlink": {"policy", "controller"},
    "service": {"policy", "common", "controller", "cluster"},
    "simulation": {"policy", "common", "controller", "cluster", "service", "platform"},
    "experiments": {"policy", "common", "controller", "cluster", "service", "platform", "simulation"},
    "cli": {"common", "controller", "cluster", "service", "simulation", "experiments"},
}


def imported_modules(path):
    """Yields the dotted names of the package's modules that a file imports at any place."""
    package = ("embertray", *path.relative_to(PACKAGE).parts[:-1])
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (name.name for name in node.names if name.name.startswith("embertray"))
        elif isinstance(node, ast.ImportFrom):
            base = package[: len(package) - node.level + 1] if node.level else ()
            module = ".".join((*base, *filter(None, [node.module])))
            if module == "embertray":
                yield from (f"embertray.{name.name}" for name in node.names)
            elif module.startswith("embertray."):
                yield module


class Layers(unittest.TestCase):
    def test_every_package_belongs_to_a_layer(self):
        found = {path.name for path in PACKAGE.iterdir() if (path / "__init__.py").exists()}
        self.assertEqual(found, set(MAY_IMPORT))

    def test_imports_point_down_only(self):
        for path in sorted(PACKAGE.glob("*/**/*.py")):
            layer = path.relative_to(PACKAGE).parts[0]
            for module in imported_modules(path):
                with self.subTest(path=str(path.relative_to(PACKAGE)), imports=module):
                    self.assertIn(module.split(".")[1], MAY_IMPORT[layer] | {layer})

    def test_processes_know_nothing_of_scenarios(self):
        """Scenarios use the process harness; an import in the other direction would be a cycle."""
        for path in sorted((PACKAGE / "simulation" / "processes").glob("*.py")):
            for module in imported_modules(path):
                with self.subTest(path=path.name, imports=module):
                    self.assertFalse(module.startswith("embertray.simulation.scenarios"))


if __name__ == "__main__":
    unittest.main()
