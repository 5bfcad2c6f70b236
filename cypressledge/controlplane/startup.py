"""Starts one control process: its settings, its store, and its limits of memory and descriptors."""

import gc
import os
import resource

from cypressledge.broker.metrics import log
from cypressledge.config import ConfigError
from cypressledge.controlplane.control_process import SPARE_CONNECTIONS, ControlProcess, ProcessOptions
from cypressledge.controlplane.faults import FAULT_VARIABLE, ONCE_VARIABLE, FaultInjection
from cypressledge.controlplane.log_storage import StorageError
from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.operator_messages import ChangeOps
from cypressledge.controlplane.settings import ControlSettings, read_control_settings
from cypressledge.controlplane.sqlite_storage import OpenMode, SqliteStorage, StorageUnusableError
from cypressledge.controlplane.state_values import StateError, encode_value
from cypressledge.net import receive_buffer, socket_writer

RESERVED_DESCRIPTORS = 128  # that are nobody's connection, or an operator's
MAX_QUEUED_BYTES = 256 << 20  # to all peers and brokers together
MAX_BUFFERED_BYTES = 64 << 20  # from all of them
STORE_FILE = "history.sqlite"  # in the folder that a control process is given
UNUSABLE_EXIT_CODE = 2  # settings or store can't be used


def raise_descriptor_limit(brokers: int) -> None:
    """Raise this process's limit of descriptors as far as so many brokers need. Guards against brokers that
    take the descriptors which the store and the other processes need. Raises `ConfigError`."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = brokers + SPARE_CONNECTIONS + RESERVED_DESCRIPTORS
    if soft < needed:
        soft = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft < needed:
        raise ConfigError(f"brokers_most needs {needed} descriptors; this process may have {soft}")


def run_control_process(file: str, name: str, folder: str, seed: ChangeOps | None, rejoin: bool) -> int:
    """Run one control process until it is stopped; the exit code. What is wrong with its settings or its
    store is one plain line.

    `file`: of the settings; `name`: of this process there; `folder`: of its store; `seed`: begins a new
    history; `rejoin`: the store was lost.
    """
    receive_buffer.BUFFER_GROWTH.limit = MAX_BUFFERED_BYTES
    socket_writer.QUEUED_BYTES.limit = MAX_QUEUED_BYTES
    try:
        settings = read_control_settings(file)
        raise_descriptor_limit(settings.max_brokers)
        process = ControlProcess(settings, _read_options(settings, name, folder, seed, rejoin))
    except (ConfigError, StateError, StorageUnusableError, StorageError) as err:
        log(f"cypressledge: {err}")
        return UNUSABLE_EXIT_CODE
    except OSError as err:
        log(f"cypressledge: cannot begin: {err}")
        return UNUSABLE_EXIT_CODE
    gc.collect()
    gc.freeze()
    process.run()
    return 0


def _read_options(
    settings: ControlSettings, name: str, folder: str, seed: ChangeOps | None, rejoin: bool
) -> ProcessOptions:
    """What the start's flags and the environment ask for; opens the store of a voter."""
    faults = FaultInjection(os.environ.get(FAULT_VARIABLE, ""), os.environ.get(ONCE_VARIABLE, ""))
    disk = None
    if settings.server(name).votes:
        os.makedirs(folder, exist_ok=True)
        mode = _open_mode(seed is not None, rejoin)
        disk = SqliteStorage(os.path.join(folder, STORE_FILE), name, mode, faults.check_disk)
    first_ops = None
    if seed is not None:
        first_ops = [Op(key, encode_value(value)) for key, value in seed.assigned.items()]
    return ProcessOptions(name, disk, faults, first_ops, rejoin)


def _open_mode(is_first: bool, rejoin: bool) -> OpenMode:
    if rejoin:
        return OpenMode.REJOIN
    return OpenMode.FIRST if is_first else OpenMode.EXISTING
