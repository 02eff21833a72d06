import type {StartAttempt} from '../router/actions/start_attempt.js';
import type {RouterEvent} from '../router/events/router_event.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import type {FleetEnvironment} from './fleet_environment.js';

const FAILURES: (AttemptFailure | 'silent')[] = [
  'connect_failed',
  'said_not_run',
  'broken',
  'rejected',
  'silent',
];
const MAX_ANSWER_MS = 300;

/** Simulates the answer to an attempt and records the run. */
export function answerAttempt(
  env: FleetEnvironment,
  {reqId, attempt, notAfterMs}: StartAttempt,
  deliver: (event: RouterEvent) => void,
): void {
  const {clock, random, faults, journal} = env;
  const key = journal.requests.get(reqId)?.key ?? '';
  const late = clock.nowMs() > notAfterMs;
  const failure = late
    ? 'connect_failed'
    : random() < faults.failedAttempts
      ? FAILURES[Math.floor(random() * FAILURES.length)]
      : undefined;
  const notRun = failure === 'connect_failed' || failure === 'said_not_run';
  journal.runs.push({reqId, key, notRun});
  if (failure === 'silent') return;
  clock.after(1 + random() * MAX_ANSWER_MS, () =>
    deliver(
      failure
        ? {kind: 'attempt_failed', reqId, attempt, failure, leaving: false}
        : {kind: 'attempt_ended', reqId, attempt, sequence: 0},
    ),
  );
}
