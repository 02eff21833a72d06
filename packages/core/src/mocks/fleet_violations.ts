import type {FleetJournal, FleetRequest} from './fleet_journal.js';

/** Ticks and rounding by which a request may end late. */
const SLACK_MS = 50;

/** Promises of the claims feature that a fleet has broken, as text. */
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
    if (endedMs > dueMs + SLACK_MS) {
      violations.push(`${reqId} ended ${endedMs - dueMs} ms late`);
    }
    if (outcome.kind === 'rejected_not_run' && ranRequests.has(reqId)) {
      violations.push(`${reqId} ran although it was rejected as not run`);
    }
    if (saysDone(request) && !ranKeys.has(request.key)) {
      violations.push(`${reqId} was told that work was done which never ran`);
    }
  }
  return violations;
}

function saysDone({outcome}: FleetRequest): boolean {
  return (
    outcome?.kind === 'completed' ||
    (outcome?.kind === 'outcome_unknown' &&
      outcome.code === 'claim_already_done')
  );
}
