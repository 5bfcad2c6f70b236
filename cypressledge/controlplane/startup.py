"""Starts one control process: settings, store, and limits on memory and file descriptors."""

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

RESERVED_DESCRIPTORS = 128  # file descriptors for operators' connections and for all but connections
MAX_QUEUED_BYTES = 256 << 20  # bytes queued for all peers and brokers together
MAX_BUFFERED_BYTES = 64 << 20  # bytes received from all peers and brokers together, and not processed yet
STORE_FILE = "history.sqlite"  # name of the store in the directory given by `--store`
UNUSABLE_EXIT_CODE = 2  # exit code if settings or store can't be used


def raise_descriptor_limit(brokers: int) -> None:
    """Raise this process's limit of file descriptors as far as so many brokers require.

    Otherwise the brokers could use up the descriptors that the store and the other control processes need.
    Raises `ConfigError` if the hard limit is too low.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = brokers + SPARE_CONNECTIONS + RESERVED_DESCRIPTORS
    if soft < needed:
        soft = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft < needed:
        raise ConfigError(f"brokers_most requires {needed} file descriptors, but the limit is {soft}")


def run_control_process(file: str, name: str, folder: str, seed: ChangeOps | None, rejoin: bool) -> int:
    """Run one control process until it is stopped; return the exit code.

    An error in its settings or its store is logged in one line. `file`: path of the settings; `name`: name of
    this process there; `folder`: directory of its store; `seed`: contents of a new history, if one is to be
    begun; `rejoin`: the store was lost.
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
        log(f"cypressledge: cannot start: {err}")
        return UNUSABLE_EXIT_CODE
    gc.collect()
    gc.freeze()
    process.run()
    return 0


def _read_options(
    settings: ControlSettings, name: str, folder: str, seed: ChangeOps | None, rejoin: bool
) -> ProcessOptions:
    """Return the options given by the flags and the environment; open the store of a voter."""
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
