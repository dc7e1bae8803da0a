"""Reading the configuration: all faults at once, each with its path, its value and what was expected."""

import copy
import json
import logging
import os
from dataclasses import FrozenInstanceError
from dataclasses import fields as dataclass_fields

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_simulator_adapter import SETTINGS_DOCUMENT

from quota_gateway import __main__ as program
from quota_gateway import api
from quota_gateway import config as config_module
from quota_gateway import settings_fields as fields
from quota_gateway.config import read, read_file
from quota_gateway.config_reader import parse
from quota_gateway.errors import ConfigurationError
from quota_gateway.process.log_limiter import MAX_LINES_PER_S
from quota_gateway.settings_reader import settings_from

GOOD = {
    "name": "n0",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"generation": 1, "reset": True, "instances": []},
    "settings": SETTINGS_DOCUMENT,
}
ABSENT = object()


def changed(path: tuple, value: object, document: dict = GOOD) -> dict:
    """A copy of the document with one value set, or removed if it is ABSENT."""
    result = copy.deepcopy(document)
    parent = result
    for step in path[:-1]:
        parent = parent[step]
    if value is ABSENT:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return result


def raw(document: object) -> bytes:
    return json.dumps(document).encode()


def faults(document: object, **environment: str) -> list[str]:
    with pytest.raises(ConfigurationError) as caught:
        read(document if isinstance(document, bytes) else raw(document), environment)
    return caught.value.faults


def test_valid_document_is_read_as_an_immutable_configuration():
    config = read(raw(GOOD), {})
    assert config.settings == settings_from(SETTINGS_DOCUMENT)
    assert config.descriptors == 1024
    assert config.admin is None
    assert config.listen == ("127.0.0.1", 6379)
    assert len(config.digest) == 12
    assert json.loads(config.endpoint_list) == GOOD["known"]
    with pytest.raises(FrozenInstanceError):
        config.seed = 1
    with pytest.raises(TypeError):
        config.values["discovery"] = "x"


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (
            ("settings", "tariffs", 0, "refill"),
            -1,
            "settings.tariffs[0].refill: -1, want a number of at least 0",
        ),
        (("settings", "tariffs", 0, "refill"), True, "settings.tariffs[0].refill: true, want a number"),
        (("settings", "tariffs", 0, "refill"), "2", 'settings.tariffs[0].refill: "2", want a number'),
        (("settings", "tariffs", 0, "refill"), None, "settings.tariffs[0].refill: null, want a number"),
        (
            ("settings", "tariffs", 0, "refill"),
            float("nan"),
            "settings.tariffs[0].refill: NaN, want a finite",
        ),
        (
            ("settings", "tariffs", 0, "refill"),
            float("inf"),
            "settings.tariffs[0].refill: Infinity, want a fin",
        ),
        (
            ("settings", "tariffs", 0, "refill"),
            10**13,
            "settings.tariffs[0].refill: 10000000000000, want a numb",
        ),
        (
            ("settings", "tariffs", 0, "most_at_once"),
            0,
            "settings.tariffs[0].most_at_once: 0, want a number abo",
        ),
        (
            ("settings", "tariffs", 0, "parallel"),
            1.5,
            "settings.tariffs[0].parallel: 1.5, want a whole number",
        ),
        (
            ("settings", "tariffs", 0),
            {**SETTINGS_DOCUMENT["tariffs"][0], "cap_rate": 1.0, "cap_depth": 9.0},
            "settings.tariffs[0].cap_rate: 1.0, want a ceiling not below the quota",
        ),
        (
            ("settings", "tariffs", 0),
            {**SETTINGS_DOCUMENT["tariffs"][0], "cap_rate": 9.0, "cap_depth": 1.0},
            "settings.tariffs[0].cap_depth: 1.0, want a ceiling not below the quota",
        ),
        (("settings", "tariffs", 0), 7, "settings.tariffs[0]: 7, want a table"),
        (("settings", "tariffs"), {}, "settings.tariffs: {}, want a list of 1 to 256 tables"),
        (("settings", "tariffs"), [], "settings.tariffs: [], want a list"),
        (
            ("settings", "tariffs"),
            [SETTINGS_DOCUMENT["tariffs"][0]] * 2,
            'settings.tariffs[1].name: "basic", want a name that',
        ),
        (("settings", "tariffs"), [SETTINGS_DOCUMENT["tariffs"][0]] * 300, "settings.tariffs: [{"),
        (("settings", "services", 0, "effect"), "maybe", 'settings.services[0].effect: "maybe", want one of'),
        (
            ("settings", "services", 0, "effect"),
            ["safe"],
            'settings.services[0].effect: ["safe"], want one of',
        ),
        (("settings", "services", 0, "slo_ms"), 0, "settings.services[0].slo_ms: 0, want a number above 0"),
        (("settings", "services", 0, "stream"), 1, "settings.services[0].stream: 1, want true or false"),
        (("settings", "services", 0, "name"), "", 'settings.services[0].name: "", want a printable text'),
        (("settings", "services", 0, "name"), "a\nb", 'settings.services[0].name: "a\\nb", want a printable'),
        (("settings", "services", 0, "name"), "x" * 300, 'settings.services[0].name: "xxx'),
        (
            ("settings", "services", 0, "name"),
            "\ud800",
            'settings.services[0].name: "\\ud800", want a printable',
        ),
        (("settings", "slot_no"), 2, "settings.slot_no: 2, want a number below balancers"),
        (("settings", "balancers"), 0, "settings.balancers: 0, want a number of at least 1"),
        (
            ("settings", "contract", "start_capacity"),
            1.5,
            "settings.contract.start_capacity: 1.5, want a number",
        ),
        (("settings", "contract"), [], "settings.contract: [], want a table"),
        (("settings", "contract"), ABSENT, "settings.contract: missing, want a table"),
        (
            ("settings", "limits", "attempts_cap"),
            0,
            "settings.limits.attempts_cap: 0, want a number of at least",
        ),
        (
            ("settings", "load_info", "names"),
            "busy",
            'settings.load_info.names: "busy", want a list of short printable texts',
        ),
        (
            ("settings", "goal"),
            {"whole": float("-inf")},
            "settings.goal.whole: -Infinity, want a finite number",
        ),
        (("settings",), ABSENT, "settings: missing, want a table"),
        (("discovery",), "127.0.0.1", 'discovery: "127.0.0.1", want host:port'),
        (("discovery",), "127.0.0.1:70000", 'discovery: "127.0.0.1:70000", want host:port'),
        (("discovery",), ":8500", 'discovery: ":8500", want host:port'),
        (("listen",), 6379, "listen: 6379, want host:port"),
        (("admin",), "nowhere", 'admin: "nowhere", want host:port'),
        (("name",), ABSENT, "name: missing, want a printable text"),
        (("seed",), "0xg", 'seed: "0xg", want 1 to 64 hexadecimal digits'),
        (("limits", "sockets"), 0, "limits.sockets: 0, want a number of at least 1"),
        (("limits",), ABSENT, "limits: missing, want a table"),
    ],
)
def test_fault_is_reported_once_with_path_value_and_what_was_expected(path, value, expected):
    (fault,) = faults(changed(path, value))
    assert fault.startswith(expected)
    assert ", want " in fault


def test_all_faults_are_reported_at_once():
    document = changed(("settings", "tariffs", 0, "refill"), -1)
    document = changed(("settings", "services", 0, "effect"), 3, changed(("discovery",), "", document))
    assert [fault.split(":")[0] for fault in faults(document)] == [
        "discovery",
        "settings.services[0].effect",
        "settings.tariffs[0].refill",
    ]


@pytest.mark.parametrize(
    ("text", "path"),
    [
        (b'{"name": "a", "name": "b"}', "name"),
        (b'{"settings": {"goal": {"x": 1, "x": 1}}}', "settings.goal.x"),
        (b'{"settings": {"tariffs": [{"refill": 1, "refill": 2}]}}', "settings.tariffs[0].refill"),
    ],
)
def test_duplicate_name_is_a_fault(text, path):
    assert any(
        fault.startswith(f"{path}: ") and fault.endswith("want each name once") for fault in faults(text)
    )


@pytest.mark.parametrize(
    ("text", "expected", "transient"),
    [
        (b"", "the configuration file is empty", True),
        (b" \n", "the configuration file is empty", True),
        (raw(GOOD)[:-9], "the configuration file is not JSON", True),
        (b"\xff\xfe", "the configuration file is not JSON", True),
        (raw(GOOD) + b"}", "the configuration file is not JSON", True),
        (b"[" * 100_000, "the configuration file is nested", False),
        (b"9" * 5000, "the configuration file is not JSON", True),
        (b"[]", "the configuration file: []", False),
        (b"null", "the configuration file: null", False),
        (b'{"a":' * 40 + b"1" + b"}" * 40, "a.a.a", False),
    ],
)
def test_malformed_document_is_reported_as_transient_if_it_may_be_partly_written(text, expected, transient):
    with pytest.raises(ConfigurationError) as caught:
        read(text, {})
    assert caught.value.faults[0].startswith(expected)
    assert caught.value.is_transient == transient


def test_malformed_server_list_is_passed_on_without_a_fault():
    for known in (None, 7, {"instances": [{"a": float("nan")}]}):
        assert json.dumps(json.loads(read(raw(changed(("known",), known)), {}).endpoint_list)) == json.dumps(
            known
        )


def test_unknown_names_are_reported_except_those_of_the_platform():
    document = changed(("settings", "goal"), {"whole": 0.4})
    document = changed(("counter",), "127.0.0.1:6400", changed(("settings", "limits", "colour"), 3, document))
    assert set(read(raw(document), {}).unknown_names) == {"settings.limits.colour", "settings.a_new_key"}


def test_environment_fills_gaps_and_takes_precedence_except_for_discovery_on_a_reload():
    environment = {
        "EDGE_NAME": "n7",
        "EDGE_LISTEN": "127.0.0.1:1",
        "EDGE_DISCOVERY": "127.0.0.1:2",
        "EDGE_ADMIN": "127.0.0.1:3",
    }
    for document in (GOOD, {k: v for k, v in GOOD.items() if k not in ("name", "listen", "discovery")}):
        config = read(raw(document), environment)
        assert (config.name, config.listen[1], config.discovery[1], config.admin) == (
            "n7",
            1,
            2,
            ("127.0.0.1", 3),
        )
    assert read(raw(GOOD), environment, reload=True).discovery == ("127.0.0.1", 8500)
    assert faults(GOOD, EDGE_ADMIN="x") == ['EDGE_ADMIN: "x", want host:port']


def test_changes_give_path_and_both_values_with_rows_by_name():
    before = read(raw(GOOD), {})
    after = read(raw(changed(("settings", "tariffs", 0, "refill"), 3, changed(("discovery",), "h:9"))), {})
    assert after.changes(before) == [
        'discovery "127.0.0.1:8500" -> "h:9"',
        "settings.tariffs[basic].refill 2.0 -> 3",
    ]
    assert not after.changes(after)
    assert not after.faults_of_fixed_names(before)


@pytest.mark.parametrize(("name", "value"), [("name", "n9"), ("listen", "127.0.0.1:7"), ("seed", "ab")])
def test_changed_value_that_is_fixed_in_a_process_is_a_fault(name, value):
    before = read(raw(GOOD), {"EDGE_LISTEN": "127.0.0.1:1"})
    after = read(raw(changed((name,), value)), {"EDGE_LISTEN": "127.0.0.1:1"}, reload=True)
    (fault,) = after.faults_of_fixed_names(before)
    assert fault.startswith(f"{name}: ")
    assert "can't change" in fault


VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


def paths(value: object, prefix: tuple = ()) -> list[tuple]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [path for name, item in items for path in [(*prefix, name), *paths(item, (*prefix, name))]]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.sampled_from(paths(GOOD)), VALUES)
def test_any_value_at_any_path_gives_a_configuration_or_a_list_of_faults(path, value):
    document = changed(path, value)
    faults = None
    try:
        config = read(json.dumps(document).encode(), {})
    except ConfigurationError as error:
        faults = error.faults
    if faults is None:
        assert config.settings.gateways > config.settings.index
    else:
        assert faults


# ---- The fields of the settings

GENERAL = (
    *fields.GENERAL_FIELDS,
    *fields.CLOCK_FIELDS,
    *fields.LOAD_INFO_FIELDS,
    *fields.FAMILY_INFO_FIELDS,
    *fields.DEDUCTIONS_FIELDS,
)


@pytest.mark.parametrize(
    ("owner", "table"),
    [
        (api.RequestClass, fields.CLASS_FIELDS),
        (api.Plan, fields.PLAN_FIELDS),
        (api.Limits, fields.LIMITS_FIELDS),
        (api.Contract, fields.CONTRACT_FIELDS),
        (api.Settings, GENERAL),
    ],
)
def test_every_attribute_of_the_settings_has_one_field_with_its_unit_and_help(owner, table):
    """A setting without a field would keep its default whatever the configuration says."""
    read_as_tables = {"classes", "plans", "limits", "contract"} if owner is api.Settings else set()
    assert sorted(item.attribute for item in table) == sorted(
        attribute.name for attribute in dataclass_fields(owner) if attribute.name not in read_as_tables
    )
    assert all(item.help for item in table)
    assert all((item.unit == "ms") == item.attribute.endswith("_ms") for item in table)


# ---- Files and the command line


def test_unreadable_files_are_reported_without_blocking(tmp_path):
    os.mkfifo(tmp_path / "pipe")  # opening it to read would wait for a writer
    (tmp_path / "large").write_bytes(b" " * 10 * 1024 * 1024)
    first_faults = {}
    for path in (tmp_path, tmp_path / "pipe", tmp_path / "large", tmp_path / "none", "/proc/self/mem"):
        with pytest.raises(ConfigurationError) as caught:
            read_file(str(path))
        first_faults[os.path.basename(path)] = caught.value.faults[0]
    assert (
        first_faults.pop("large")
        == f"the configuration file is larger than {config_module.MAX_FILE_BYTES} bytes"
    )
    assert len(first_faults) == 4
    assert all(fault.startswith("the configuration file can't be read") for fault in first_faults.values())


def test_check_reports_all_faults_and_exits_with_2_or_with_0_without_faults(tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_bytes(raw(changed(("settings", "slot_no"), 5, changed(("seed",), "z"))))
    assert program.main(["--check", str(path)]) == 2
    out, err = capsys.readouterr()
    assert not out
    assert len(err.splitlines()) == 2
    assert "settings.slot_no: 5, want" in err
    path.write_bytes(raw(GOOD))
    assert program.main(["--check", str(path)]) == 0
    assert capsys.readouterr().err == "warning: settings.a_new_key: unknown name, ignored\n"
    assert program.main(["--check"]) == 2
    assert program.main(["--help", "x"]) == 2


def test_start_with_a_faulty_file_reports_faults_and_exits_with_2(tmp_path, capsys, monkeypatch):
    path = tmp_path / "config.json"
    path.write_text("{}")
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    assert program.main() == 2
    assert "settings: missing, want a table" in capsys.readouterr().err


def test_start_limits_the_log_rate_only_of_the_handler_that_it_adds(tmp_path, monkeypatch, caplog):
    """A rate limit left on pytest's handlers would drop lines that a later test of the log looks for."""
    path = tmp_path / "config.json"
    path.write_text("{}")
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    assert program.main() == 2
    lines = 3 * MAX_LINES_PER_S  # beyond the limit even if a second ends while they are logged
    for number in range(lines):
        logging.getLogger("quota_gateway").error("line %d", number)
    assert len(caplog.records) == lines


def test_number_of_listed_faults_is_limited():
    with pytest.raises(ConfigurationError) as caught:
        read(json.dumps({"x": [float("nan")] * 5000}).encode(), {})
    assert len(caught.value.faults) == 101
    assert caught.value.faults[-1].startswith("and ")
    assert parse(b'{"a": 1}') == {"a": 1}
