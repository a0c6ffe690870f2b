"""Generate the frozen dataclasses in ``shallotgate/generated``.

The source is ``shallotgate/schema``.

``--check`` writes nothing and fails if the committed files differ.
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
    """Write the dataclasses of one schema file."""
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


def render(schema: Path) -> str:
    """Return the generated text of one schema file.

    The generator formats by the settings it finds near its output, so it
    always writes to a folder of its own.
    """
    with tempfile.TemporaryDirectory() as folder:
        output = Path(folder) / f'{schema.stem}.py'
        generate(schema, output)
        return output.read_text()


def main() -> int:
    """Generate all files, or compare them with ``--check``."""
    stale = []
    for schema in sorted(SCHEMAS.glob('*.yaml')):
        committed = GENERATED / f'{schema.stem}.py'
        fresh = render(schema)
        if '--check' not in sys.argv:
            committed.write_text(fresh)
        elif fresh != committed.read_text():
            stale.append(committed.name)
    for name in stale:
        sys.stderr.write(f'generated/{name} differs: run "make generate"\n')
    return int(bool(stale))


if __name__ == '__main__':
    sys.exit(main())
