"""Generate the frozen dataclasses in ``shallotgate/generated``.

The classes are generated from the schemas in ``shallotgate/schema``.

``--check`` writes nothing and fails if the committed files are out of date.
"""

import subprocess  # noqa: S404 - runs the pinned generator only
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / 'shallotgate' / 'schema'
GENERATED = ROOT / 'shallotgate' / 'generated'
OPTIONS = (
    '--input-file-type=jsonschema',
    '--output-model-type=dataclasses.dataclass',
    '--frozen-dataclasses',
    '--keyword-only',
    '--use-generic-container-types',
    '--use-standard-collections',
    '--use-union-operator',
    '--strict-nullable',
    '--target-python-version=3.11',
    '--use-schema-description',
    '--use-field-description',
    '--disable-timestamp',
    '--enum-field-as-literal=all',
    '--formatters=builtin',
)


def generate(schema: Path, output: Path) -> None:
    """Write the dataclasses generated from one schema file."""
    subprocess.run(
        [
            sys.executable,
            '-m',
            'datamodel_code_generator',
            f'--input={schema}',
            f'--output={output}',
            *OPTIONS,
        ],
        check=True,
    )


def generate_text(schema: Path) -> str:
    """Return the source text generated from one schema file.

    The generator applies formatter settings that it finds near its output, so
    it writes to an empty temporary directory.
    """
    with tempfile.TemporaryDirectory() as directory:
        output = Path(directory) / f'{schema.stem}.py'
        generate(schema, output)
        return output.read_text()


def main() -> int:
    """Generate all files, or with ``--check`` compare the committed ones."""
    stale = []
    for schema in sorted(SCHEMAS.glob('*.yaml')):
        committed = GENERATED / f'{schema.stem}.py'
        generated = generate_text(schema)
        if '--check' not in sys.argv:
            committed.write_text(generated)
        elif generated != committed.read_text():
            stale.append(committed.name)
    for name in stale:
        sys.stderr.write(f'generated/{name} differs: run "make generate"\n')
    return int(bool(stale))


if __name__ == '__main__':
    sys.exit(main())
