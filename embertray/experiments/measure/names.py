"""Counts the lines that hold a word as an identifier, by package.

`python -m embertray.experiments.measure.names WORD...` ignores comments, strings and the expressions within
f-strings.
"""

import tokenize
from collections import defaultdict
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parents[3]


def package_of(path):
    """Returns the package of a file as shown: the first two folders of its path."""
    parts = path.relative_to(ROOT).parts
    return "/".join(parts[:2]) if len(parts) > 2 else parts[0]


def lines_with(words, paths):
    """Returns word -> package -> number of lines that hold the word as an identifier."""
    counts = defaultdict(lambda: defaultdict(int))
    for path in paths:
        with tokenize.open(path) as file:
            tokens = list(tokenize.generate_tokens(file.readline))
        names = {(token.string, token.start[0]) for token in tokens if token.type == tokenize.NAME}
        for word, _ in sorted(names):
            if word in words:
                counts[word][package_of(path)] += 1
    return counts


@click.command()
@click.argument("words", nargs=-1, required=True)
def main(words):
    """Prints the counts of each word, the packages with the most lines first."""
    paths = sorted(path for folder in ("embertray", "tests") for path in (ROOT / folder).rglob("*.py"))
    counts = lines_with(frozenset(words), paths)
    for word in words:
        packages = sorted(counts[word].items(), key=lambda item: -item[1])
        per_package = ", ".join(f"{name} {count}" for name, count in packages)
        click.echo(f"{word}: {sum(counts[word].values())}" + (f" ({per_package})" if per_package else ""))


if __name__ == "__main__":
    main()
