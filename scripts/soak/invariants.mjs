// Invariants for callers and endpoints that hold under every fault.

/** A leaving engine may still receive new work for this long. */
const DRAIN_BOUND_MS = 3_000;
/** Tokens in one piece of a simulated engine's stream. */
const TOKENS_PER_PIECE = 51;
/** The final answer may arrive this long after the deadline. */
const ANSWER_TOLERANCE_MS = 900;
/** Statuses that tell the caller that its request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
/** Statuses that reject an invalid request; the soak test sends none. */
const REJECTION_STATUSES = [400, 401, 403, 404];

/**
 * Checks one final answer.
 * @param gatewayFaulty whether its gateway was killed or paused meanwhile
 */
export function checkAnswer(
  {reportViolation},
  id,
  kind,
  answer,
  gatewayFaulty,
) {
  const {status, complete, totalMs, pieces} = answer;
  const report = what =>
    reportViolation(`${id} (${kind.name}): ${what}, status ${status}`);
  if (REJECTION_STATUSES.includes(status))
    report('a valid request is rejected');
  if (status === 200) {
    if (!answer.ownBytes) report('bytes of another answer');
    if (!answer.signed) report('a success that no endpoint sent');
    if (pieces.some((piece, i) => piece !== i + 1))
      report('pieces out of order');
    if (complete && kind.tokens && pieces.length !== expectedPieces(kind)) {
      report(`complete with ${pieces.length} pieces`);
    }
  }
  if (!gatewayFaulty && totalMs > kind.deadlineMs + ANSWER_TOLERANCE_MS) {
    report(`no final answer in time, ${Math.round(totalMs)} ms`);
  }
}

function expectedPieces({tokens}) {
  return Math.max(1, Math.ceil(tokens[1] / TOKENS_PER_PIECE));
}

/** Checks what the endpoints have run, after every request has ended. */
export function checkRuns({platform, drained, reportViolation}, answers) {
  const runs = new Map();
  for (const {runs: ids} of platform.services) {
    for (const id of ids) runs.set(id, (runs.get(id) ?? 0) + 1);
  }
  for (const [id, count] of runs) {
    if (id.startsWith('write-') && count > 1)
      reportViolation(`${id} ran ${count} times`);
  }
  const streams = new Set(platform.engines.flatMap(engine => engine.runs));
  for (const {id, kind, status} of answers) {
    if (!NOT_RUN_STATUSES.includes(status) || kind.name !== 'write') continue;
    if (runs.has(id) || streams.has(id))
      reportViolation(`${id}: status ${status}, but it ran`);
  }
  for (const {engine, arrivalsWithinBound} of drained) {
    const {arrivals} = engine;
    const late = arrivals.length - (arrivalsWithinBound ?? arrivals.length);
    if (late > 0)
      reportViolation(`${engine.id}: ${late} requests after it had left`);
  }
}

/** Counts what each leaving engine has received by the end of its bound. */
export function recordDrainArrivals(env) {
  for (const entry of env.drained) {
    // Gateways learn of it only while they run and the store answers.
    const sinceMs = Math.max(entry.atMs, env.propagatingSinceMs());
    if (Date.now() - sinceMs < DRAIN_BOUND_MS) continue;
    entry.arrivalsWithinBound ??= entry.engine.arrivals.length;
  }
}

/** Checks that no engine holds memory after every request has ended. */
export function checkMemory({platform, removedEngines, reportViolation}) {
  for (const engine of platform.engines) {
    if (removedEngines.has(engine.id)) continue;
    const held = engine.tickets.held();
    if (held.length > 0)
      reportViolation(`${engine.id}: memory held by ${held.join(' ')}`);
  }
}
