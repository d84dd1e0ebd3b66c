"""The floors of the package: imports point down only, and the decisions import nothing but themselves."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "embertray"

# floor -> the floors that it may import beside itself
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
    """Dotted names of the package's modules that a file imports, wherever the import stands."""
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
        """The process harness is used by scenarios; an import back would make a cycle."""
        for path in sorted((PACKAGE / "simulation" / "processes").glob("*.py")):
            for module in imported_modules(path):
                with self.subTest(path=path.name, imports=module):
                    self.assertFalse(module.startswith("embertray.simulation.scenarios"))


if __name__ == "__main__":
    unittest.main()
