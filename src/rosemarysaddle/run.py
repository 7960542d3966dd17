"""Command line: one function for each command.

The docstrings of the commands and their parameters are the help texts.
"""

from __future__ import annotations

import asyncio
import contextlib
import http
import json
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final, Literal

import attrs
import defopt
import pyjson5
from absl import logging

from rosemarysaddle._limits import raise_file_limit
from rosemarysaddle._logging import set_up_logging
from rosemarysaddle.daemon import HostDaemon
from rosemarysaddle.demo import DEPLOYMENTS, run_demo, run_trial
from rosemarysaddle.operate import (
    AdminClient,
    AdminFault,
    apply_document,
    diff_document,
    explain_request,
    parse_log_lines,
    read_document_file,
)
from rosemarysaddle.schema import (
    Inventory,
    Node,
    Rules,
    SchemaFault,
    Settings,
    StandIn,
    load_file,
)
from rosemarysaddle.serve import EntryServer
from rosemarysaddle.soak import (
    ALL_FAULTS,
    PLAYS,
    checked_out_build,
    run_play,
    run_soak,
)
from rosemarysaddle.standin import StandInDaemon, load_stand_in

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rosemarysaddle.soak import SoakReport

__all__ = ("main",)

DEFAULT_HOST: Final = "127.0.0.1:8100"
CREDENTIAL_VARIABLE: Final = "ROSEMARYSADDLE_CREDENTIAL"

Kind = Literal["inventory", "rules"]


def demo(
    *,
    deployment: Literal["co-operative", "foundation"] = "co-operative",
    seed: int = 1,
    report: str = "",
) -> int:
    """Run a demonstration with faults and check its guarantees.

    :param deployment: deployment to run
    :param seed: seed of the callers' random choices
    :param report: file to write the report to, as JSON
    """
    result = run_demo(DEPLOYMENTS[deployment], seed=seed)
    if report:
        Path(report).write_text(result.to_json(), encoding="utf-8")
    print(result.to_text())
    for violation in result.violations:
        print(violation, file=sys.stderr)
    return 1 if result.violations else 0


def trial(
    *,
    deployment: Literal["co-operative", "foundation"] = "co-operative",
    seed: int = 1,
    faults: list[str] | None = None,
) -> int:
    """Run a demonstration with one pair of faults and check it.

    :param deployment: deployment to run
    :param seed: seed of the pair of faults, their times and the callers
    :param faults: names of the faults, in place of the seed's pair
    """
    result = run_trial(DEPLOYMENTS[deployment], seed=seed, pair=faults or ())
    print(json.dumps(attrs.asdict(result)))
    return 1 if result.violations else 0


def soak(
    *,
    seed: int = 1,
    runs: int = 1,
    faults: int = 8,
    only: tuple[str, ...] = (),
    slot: int = 0,
    entry_hosts: int = 1,
    control_hosts: int = 1,
    teams: bool = False,
    sync_replicas: int | None = None,
    members: bool = False,
    play: str = "",
    from_build: str = "",
) -> int:
    """Run the platform under faults and check its guarantees.

    :param seed: seed of the first run; each further run adds one
    :param runs: number of runs
    :param faults: number of faults in a run
    :param only: names of faults to inject instead, in this order
    :param slot: number of the loopback network, for parallel soaks
    :param entry_hosts: number of entry hosts of each data centre
    :param control_hosts: number of control hosts of each data centre
    :param teams: whether callers have teams, whose keys are removed
    :param sync_replicas: number of replicas that have received a commit
        when it is acknowledged; drawn from the seed if not given
    :param members: whether faults are drawn too in which a replica is
        replaced or comes back with nothing
    :param play: name of scripted faults around one change of primary to
        run instead, with one control host in each data centre
    :param from_build: commit with which all hosts start; they are
        replaced by the present build, and half of them back, during the
        faults
    """
    unknown = sorted(set(only) - set(ALL_FAULTS))
    if play and play not in PLAYS:
        unknown.append(play)
    if unknown:
        print(f"no such fault: {', '.join(unknown)}", file=sys.stderr)
        return 2
    failed_runs = 0
    with contextlib.ExitStack() as stack:
        build = None
        if from_build:
            build = stack.enter_context(checked_out_build(from_build))
        for run_seed in range(seed, seed + runs):
            if play:
                result = run_play(
                    play, seed=run_seed, slot=slot, entry_hosts=entry_hosts
                )
                failed_runs += _report_soak(result)
                continue
            result = run_soak(
                seed=run_seed,
                count=faults,
                faults=only,
                slot=slot,
                entry_hosts=entry_hosts,
                control_hosts=control_hosts,
                teams=teams,
                sync_replicas=sync_replicas,
                members=members,
                earlier_build=build,
            )
            failed_runs += _report_soak(result)
    return 1 if failed_runs else 0


def _report_soak(report: SoakReport) -> bool:
    """Print the report of a run and tell whether it failed."""
    print(json.dumps(attrs.asdict(report)), flush=True)
    return bool(report.violations)


def entry(*, settings: str) -> int:
    """Run an entry host until SIGTERM or SIGINT.

    :param settings: file with the settings
    """
    return _run_host(settings)


def control(*, settings: str) -> int:
    """Run a control host until SIGTERM or SIGINT.

    :param settings: file with the settings
    """
    return _run_host(settings)


def stand_in(*, settings: str) -> int:
    """Run stand-in targets until SIGTERM or SIGINT.

    :param settings: file with the settings of the stand-ins
    """
    loaded = load_stand_in(settings)
    if isinstance(loaded, SchemaFault):
        return _print_fault(loaded)
    server = StandInDaemon(settings=loaded)
    return _serve(server.start, server.stop)


def check_settings(file: str) -> int:
    """Check a settings file of an entry or control host.

    :param file: path of the file
    """
    return _check(Settings, file)


def check(file: str) -> int:
    """Check a settings file of any kind of process.

    :param file: path of the file
    """
    return _check(_detect_settings_class(file), file)


def explain(request_id: str, *files: str) -> int:
    """Explain what happened to a request, from the logs of all hosts.

    :param request_id: id of the request
    :param files: log files; standard input if none is given
    """
    lines: list[str] = []
    for file in files:
        lines.extend(Path(file).read_text(encoding="utf-8").splitlines())
    if not files:
        lines.extend(sys.stdin)
    explanation = explain_request(request_id, parse_log_lines(lines))
    for text in explanation:
        print(text)
    if not explanation:
        print(f"no log line names {request_id}", file=sys.stderr)
    return 0 if explanation else 1


def check_inventory(file: str) -> int:
    """Check an inventory file.

    :param file: path of the file
    """
    return _check(Inventory, file)


def check_rules(file: str) -> int:
    """Check a rules file.

    :param file: path of the file
    """
    return _check(Rules, file)


def show(kind: Kind, *, host: str = DEFAULT_HOST) -> int:
    """Show the document that is in force at a host.

    :param kind: inventory or rules
    :param host: address and port of the host
    """
    return _get(host, f"/admin/documents/{kind}")


def history(*, host: str = DEFAULT_HOST) -> int:
    """List the accepted changes of documents.

    :param host: address and port of the host
    """
    return _get(host, "/admin/history")


def status(*, host: str = DEFAULT_HOST) -> int:
    """Show the state of a host.

    :param host: address and port of the host
    """
    return _get(host, "/admin/status")


def diff(kind: Kind, file: str, *, host: str = DEFAULT_HOST) -> int:
    """Compare a file with the document in force.

    :param kind: inventory or rules
    :param file: path of the file
    :param host: address and port of the host
    """
    document = read_document_file(kind, file)
    if isinstance(document, SchemaFault):
        return _print_fault(document)
    difference = diff_document(_client(host), kind, document)
    if isinstance(difference, AdminFault):
        return _print_fault(difference)
    print(difference)
    return 0


def apply(
    kind: Kind,
    file: str,
    *,
    base_version: int,
    change_id: str = "",
    host: str = DEFAULT_HOST,
) -> int:
    """Put a document in force in the whole deployment.

    :param kind: inventory or rules
    :param file: path of the file
    :param base_version: version that the file is based on
    :param change_id: id of an earlier attempt whose answer was lost
    :param host: address and port of the host
    """
    document = read_document_file(kind, file)
    if isinstance(document, SchemaFault):
        return _print_fault(document)
    answer = apply_document(
        _client(host),
        kind,
        document,
        base_version=base_version,
        change_id=change_id,
    )
    if isinstance(answer, AdminFault):
        return _print_fault(answer)
    print(json.dumps(answer, indent=2))
    return 0 if answer.get("outcome") == "done" else 1


def main() -> None:
    """Run the command given by the arguments."""
    raise_file_limit()
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    commands = {
        "demo": demo,
        "trial": trial,
        "soak": soak,
        "entry": entry,
        "control": control,
        "stand-in": stand_in,
        "check": check,
        "explain": explain,
        "settings": {"check": check_settings},
        "inventory": {"check": check_inventory},
        "rules": {"check": check_rules},
        "show": show,
        "diff": diff,
        "apply": apply,
        "history": history,
        "status": status,
    }
    sys.exit(defopt.run(commands, show_defaults=True))


def _run_host(path: str) -> int:
    settings = load_file(Settings, path)
    if isinstance(settings, SchemaFault):
        return _print_fault(settings)
    set_up_logging(settings.host)
    server = EntryServer(daemon=HostDaemon(settings=settings))
    return _serve(server.start, server.stop)


def _serve(
    start: Callable[[], Awaitable[None]], stop: Callable[[], Awaitable[None]]
) -> int:
    async def serve() -> None:
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        await start()
        await stop_requested.wait()
        await stop()

    asyncio.run(serve())
    return 0


def _detect_settings_class(file: str) -> type[Settings | Node | StandIn]:
    """Detect from its keys which kind of process a file configures."""
    try:
        body = pyjson5.decode(Path(file).read_text(encoding="utf-8"))
    except (OSError, pyjson5.Json5Exception):
        # Checking the file as Settings reports the error.
        return Settings
    if isinstance(body, dict) and "seeds" in body:
        return Node
    if isinstance(body, dict) and "instances" in body:
        return StandIn
    return Settings


def _check(
    document_class: type[Settings | Node | StandIn | Inventory | Rules],
    file: str,
) -> int:
    loaded = load_file(document_class, file)
    if isinstance(loaded, SchemaFault):
        return _print_fault(loaded)
    print(f"{file}: valid")
    return 0


def _client(host: str) -> AdminClient:
    return AdminClient(
        address=host,
        credential=os.environ.get(CREDENTIAL_VARIABLE, ""),
        operator=os.environ.get("USER", "operator"),
    )


def _get(host: str, path: str) -> int:
    result = _client(host).request("GET", path)
    if isinstance(result, AdminFault):
        return _print_fault(result)
    code, body = result
    print(json.dumps(body, indent=2))
    return 0 if code == http.HTTPStatus.OK else 1


def _print_fault(fault: SchemaFault | AdminFault) -> int:
    print(fault, file=sys.stderr)
    return 2


if __name__ == "__main__":
    main()
