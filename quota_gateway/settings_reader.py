"""Converts the settings object of a configuration file or of the simulator's wire to ``Settings``, and back.

``Settings`` are built only after the whole object has been read, so that all of its faults are reported at
once.
"""

from __future__ import annotations

from typing import Any

from quota_gateway import api
from quota_gateway import settings_fields as fields
from quota_gateway.config_fields import Values, read_fields, write_fields
from quota_gateway.config_reader import ConfigReport, TableReader
from quota_gateway.errors import ConfigurationError


def read_settings(table: TableReader) -> Values:
    """Read all values of a settings object; faults are added to the table's report."""
    return {
        "classes": [read_fields(fields.CLASS_FIELDS, row) for row in table.rows("services", fields.MAX_ROWS)],
        "plans": [_read_plan(row) for row in table.rows("tariffs", fields.MAX_ROWS)],
        "limits": _read_limits(table.table("limits")),
        "contract": read_fields(fields.CONTRACT_FIELDS, table.table("contract")),
        **_read_general(table),
    }


def _read_plan(row: TableReader) -> Values:
    plan = read_fields(fields.PLAN_FIELDS, row)
    has_quota = bool(plan["rate"])
    row.require(not has_quota or plan["burst"] > 0, "most_at_once", "a number above 0, as refill is not 0")
    if plan["ceiling_rate"]:
        row.require(plan["ceiling_burst"] > 0, "cap_depth", "a number above 0, as cap_rate is not 0")
        row.require(
            plan["ceiling_rate"] >= plan["rate"], "cap_rate", "a ceiling not below the quota (refill)"
        )
        row.require(
            not has_quota or plan["ceiling_burst"] >= plan["burst"],
            "cap_depth",
            "a ceiling not below the quota (most_at_once)",
        )
    return plan


def _read_limits(table: TableReader) -> Values:
    table.ignore(*fields.IGNORED_LIMITS)
    return read_fields(fields.LIMITS_FIELDS, table)


def _read_general(table: TableReader) -> Values:
    family_info = table.table("family_info")
    load_info = table.table("load_info")
    deductions = table.table("deductions")
    family_info.ignore(*fields.IGNORED_FAMILY_INFO)
    load_info.ignore(*fields.IGNORED_LOAD_INFO)
    deductions.ignore(*fields.IGNORED_DEDUCTIONS)
    table.ignore(*fields.IGNORED_GENERAL)
    general = {
        **read_fields(fields.GENERAL_FIELDS, table),
        **read_fields(fields.LOAD_INFO_FIELDS, load_info),
        **read_fields(fields.FAMILY_INFO_FIELDS, family_info),
        **read_fields(fields.CLOCK_FIELDS, table),
        **read_fields(fields.DEDUCTIONS_FIELDS, deductions),
    }
    table.require(general["index"] < general["gateways"], "slot_no", "a number below balancers")
    return general


def build_settings(values: Values) -> api.Settings:
    """Build the settings from values that were read without a fault."""
    return api.Settings(
        **{
            **values,
            "classes": tuple(api.RequestClass(**row) for row in values["classes"]),
            "plans": tuple(api.Plan(**row) for row in values["plans"]),
            "limits": api.Limits(**values["limits"]),
            "contract": api.Contract(**values["contract"]),
        }
    )


def settings_from(document: dict[str, Any]) -> api.Settings:
    """The settings of a settings object, as the simulator sends one when it opens an instance.

    Raises:
        ConfigurationError: The object has faults; the error lists all of them.
    """
    report = ConfigReport()
    values = read_settings(TableReader(report, "", "", document))
    if report.faults:
        raise ConfigurationError(report.faults)
    return build_settings(values)


def settings_document(settings: api.Settings) -> dict[str, Any]:
    """Convert settings to the settings object from which ``settings_from`` reads the same settings."""
    return {
        **write_fields(fields.GENERAL_FIELDS, settings),
        **write_fields(fields.CLOCK_FIELDS, settings),
        "services": [write_fields(fields.CLASS_FIELDS, item) for item in settings.classes],
        "tariffs": [write_fields(fields.PLAN_FIELDS, item) for item in settings.plans],
        "limits": write_fields(fields.LIMITS_FIELDS, settings.limits),
        "contract": write_fields(fields.CONTRACT_FIELDS, settings.contract),
        "family_info": write_fields(fields.FAMILY_INFO_FIELDS, settings),
        "load_info": write_fields(fields.LOAD_INFO_FIELDS, settings),
        "deductions": write_fields(fields.DEDUCTIONS_FIELDS, settings),
    }
