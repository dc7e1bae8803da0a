"""The objects that the parts of the controller share."""

from __future__ import annotations

from quota_gateway.rollout.admin_clients import AdminClients
from quota_gateway.rollout.change_strategy import ChangeStrategy
from quota_gateway.rollout.concurrency_rule import ConcurrencyRule
from quota_gateway.rollout.fleet_metrics import FleetMetrics
from quota_gateway.rollout.journal import Journal
from quota_gateway.rollout.journal_records import JournalRecord, RollbackStarted, RolloutHalted
from quota_gateway.rollout.operator_commands import OperatorCommand, OperatorCommandFile
from quota_gateway.rollout.plan import Plan
from quota_gateway.rollout.program_rollout import ProgramRollout
from quota_gateway.rollout.rollout_log import log_record
from quota_gateway.rollout.settings_rollout import SettingsRollout
from quota_gateway.rollout.step_runner import StepRunner
from quota_gateway.rollout.trial_renewal import TrialRenewal

BY_OPERATOR = "by hand"  # recorded reason for a halt or rollback that an operator asked for


class RolloutContext:
    """A running rollout: its plan, journal and state, and the objects that carry it out."""

    def __init__(self, plan: Plan, journal: Journal) -> None:
        self.plan = plan
        self.journal = journal
        self.state = journal.state
        self.targets = plan.target_names()
        self.clients = AdminClients(plan.targets, journal.state.token)
        strategy = ProgramRollout if plan.program else SettingsRollout
        self.strategy: ChangeStrategy = strategy(plan, self.clients, journal.state)
        self.metrics = FleetMetrics(self.targets, self.clients)
        self.trials = TrialRenewal(self.strategy, plan.trial_s)
        self.commands = OperatorCommandFile(plan)
        self.step_runner = StepRunner(ConcurrencyRule(plan), plan.poll_interval_s)

    @property
    def stages(self) -> list[list[str]]:
        """Targets' names by stage, as recorded at the rollout's start."""
        return self.strategy.started.stages

    def now_s(self) -> float:
        """Unix time in seconds, for the records."""
        return self.journal.clock()

    def record(self, record: JournalRecord) -> None:
        """Append a record to the journal, then log it."""
        self.journal.write(record)
        log_record(record)

    def halt(self, reason: str) -> None:
        """Halt the rollout until an operator resumes it or rolls it back."""
        self.record(RolloutHalted(self.now_s(), reason))

    def start_rollback(self, reason: str) -> None:
        """Begin to roll back all changed targets."""
        self.record(RollbackStarted(self.now_s(), reason))

    def handle_operator_command(self) -> bool:
        """Carry out an operator's command to pause or roll back, if there is one.

        Returns whether the rollout is halted or being rolled back, so that the stage's phase has to end.
        """
        command = self.commands.take()
        if command is OperatorCommand.ROLL_BACK:
            self.start_rollback(BY_OPERATOR)
        elif command is OperatorCommand.PAUSE and not self.state.halt_reason:
            self.halt(BY_OPERATOR)
        return bool(self.state.halt_reason or self.state.rollback_reason)
