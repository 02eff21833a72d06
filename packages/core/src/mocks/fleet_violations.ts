import type {FleetJournal, FleetRequest} from './fleet_journal.js';

/** Tolerance for ticks and rounding in the end time of a request. */
const TOLERANCE_MS = 50;

/** Guarantees of the claims feature that a fleet has violated, as text. */
export function fleetViolations(journal: FleetJournal): string[] {
  const runs = journal.runs.filter(run => !run.notRun);
  const ranRequests = new Set(runs.map(run => run.reqId));
  const ranKeys = new Set(runs.map(run => run.key));
  const violations: string[] = [];
  if (ranKeys.size < runs.length) {
    violations.push(`a key was dispatched twice: ${JSON.stringify(runs)}`);
  }
  for (const request of journal.requests.values()) {
    const {reqId, outcome, dueMs, endedMs, crashed, admitted} = request;
    if (!outcome) {
      if (admitted && !crashed) violations.push(`${reqId} never ended`);
      continue;
    }
    if (endedMs > dueMs + TOLERANCE_MS) {
      violations.push(`${reqId} ended ${endedMs - dueMs} ms late`);
    }
    if (outcome.kind === 'rejected_not_run' && ranRequests.has(reqId)) {
      violations.push(`${reqId} ran although it was rejected as not run`);
    }
    if (reportsDone(request) && !ranKeys.has(request.key)) {
      violations.push(
        `${reqId} was reported as done although its key never ran`,
      );
    }
  }
  return violations;
}

function reportsDone({outcome}: FleetRequest): boolean {
  return (
    outcome?.kind === 'completed' ||
    (outcome?.kind === 'outcome_unknown' &&
      outcome.code === 'claim_already_done')
  );
}
