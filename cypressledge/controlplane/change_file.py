"""An operator's YAML file of changes with the sections config, engines and brokers; null removes a key."""

import click
import yaml

from cypressledge.controlplane.operator_messages import ChangeOps

KEY_KIND_BY_SECTION = {"config": "config", "engines": "engine", "brokers": "broker"}  # section -> kind of key


def read_change_file(path: str) -> ChangeOps:
    """Return the keys that a file's sections assign, and those they remove by null.

    Raises `click.UsageError`.
    """
    sections = _read_yaml(path)
    if not isinstance(sections, dict) or not sections or not set(sections) <= set(KEY_KIND_BY_SECTION):
        raise click.UsageError(
            f"{path}: must be a non-empty mapping with only the sections {', '.join(KEY_KIND_BY_SECTION)}"
        )
    assigned: dict[str, object] = {}
    removed: list[str] = []
    for section_name, section in sections.items():
        if not isinstance(section, dict):
            raise click.UsageError(f"{path}: section {section_name!r} must be a mapping")
        for name, value in section.items():
            key = f"{KEY_KIND_BY_SECTION[section_name]}/{name}"
            if value is None:
                removed.append(key)
            else:
                assigned[key] = value
    return ChangeOps(assigned, removed)


def _read_yaml(path: str) -> object:
    try:
        with open(path, encoding="utf-8") as file:
            return yaml.safe_load(file)
    except (OSError, UnicodeDecodeError) as err:
        raise click.UsageError(f"{path}: {err}") from None
    except (yaml.YAMLError, RecursionError) as err:
        raise click.UsageError(f"{path} is not YAML: {' '.join(str(err).split())}") from None
