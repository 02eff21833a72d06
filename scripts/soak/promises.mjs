// What callers and endpoints must have seen, whatever failed.

/** A leaving engine may get work for so long. */
const DRAIN_BOUND_MS = 3_000;
/** A caller has its final answer so long after its deadline. */
const ANSWER_SLACK_MS = 900;
const PROMISED_UNRUN = [408, 421, 429, 503];
const OWN_REFUSALS = [400, 401, 403, 404];

/**
 * Checks one final answer.
 * @param mayBreak whether its gateway was killed or paused meanwhile
 */
export function checkAnswer({broken}, id, kind, answer, mayBreak) {
  const {status, complete, totalMs, pieces} = answer;
  const say = what => broken(`${id} (${kind.name}): ${what}, status ${status}`);
  if (OWN_REFUSALS.includes(status)) say('a proper request is denied');
  if (status === 200) {
    if (!answer.ownBytes) say('bytes of another answer');
    if (!answer.signed) say('a success that no endpoint made');
    if (pieces.some((piece, i) => piece !== i + 1)) say('pieces out of order');
    if (complete && kind.tokens && pieces.length !== expectedPieces(kind)) {
      say(`complete with ${pieces.length} pieces`);
    }
  }
  if (!mayBreak && totalMs > kind.deadlineMs + ANSWER_SLACK_MS) {
    say(`no final answer in time, ${Math.round(totalMs)} ms`);
  }
}

function expectedPieces({tokens}) {
  return Math.max(1, Math.ceil(tokens[1] / 51));
}

/** Checks what endpoints have run, once all is quiet. */
export function checkRuns({platform, drained, broken}, answers) {
  const runs = new Map();
  for (const {runs: ids} of platform.services) {
    for (const id of ids) runs.set(id, (runs.get(id) ?? 0) + 1);
  }
  for (const [id, count] of runs) {
    if (id.startsWith('write-') && count > 1)
      broken(`${id} ran ${count} times`);
  }
  const streams = new Set(platform.engines.flatMap(engine => engine.runs));
  for (const {id, kind, status} of answers) {
    if (!PROMISED_UNRUN.includes(status) || kind.name !== 'write') continue;
    if (runs.has(id) || streams.has(id)) broken(`${id}: ${status}, but it ran`);
  }
  for (const {engine, arrivalsInBound} of drained) {
    const {arrivals} = engine;
    const late = arrivals.length - (arrivalsInBound ?? arrivals.length);
    if (late > 0) broken(`${engine.id}: ${late} requests after it had left`);
  }
}

/** Notes what a leaving engine has got once its bound is over. */
export function watchDrained(env) {
  for (const entry of env.drained) {
    // Gateways learn of it once the store answers and they run.
    const sinceMs = Math.max(entry.atMs, env.calmSinceMs());
    if (Date.now() - sinceMs < DRAIN_BOUND_MS) continue;
    entry.arrivalsInBound ??= entry.engine.arrivals.length;
  }
}

/** Memory of engines is free once nothing runs. */
export function checkMemory({platform, gone, broken}) {
  for (const engine of platform.engines) {
    if (gone.has(engine.id)) continue;
    const held = engine.tickets.held();
    if (held.length > 0)
      broken(`${engine.id}: memory held by ${held.join(' ')}`);
  }
}
