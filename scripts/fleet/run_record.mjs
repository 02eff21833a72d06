import {mkdirSync, writeFileSync} from 'node:fs';
import {dirname} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

const SAMPLE_INTERVAL_MS = 250;

/**
 * Records a run for plots: each request, and samples of the gateways' status
 * (requests in flight, endpoints put aside).
 */
export function startRecord({gateways, status}) {
  const startedMs = performance.now();
  const requests = [];
  const samples = [];
  let stopped = false;

  const sampling = (async () => {
    while (!stopped) {
      const atMs = performance.now() - startedMs;
      const answers = await Promise.all(
        gateways.map(gateway => status(gateway).catch(() => undefined)),
      );
      answers.forEach((answer, i) => {
        // A gateway that is down reports no status.
        if (!answer) return;
        const aside = answer.endpoints.filter(({asideMs}) => asideMs > 0);
        const {inFlight} = answer;
        samples.push({gateway: i + 1, atMs, inFlight, aside: aside.length});
      });
      await sleep(SAMPLE_INTERVAL_MS);
    }
  })();

  return {
    request: ({kind, sentMs, earlierMs, outcome, answer}) => {
      const {firstMs, longestPauseMs} = answer;
      const firstPieceMs = earlierMs + firstMs;
      requests.push({kind, sentMs, outcome, firstPieceMs, longestPauseMs});
    },
    write: async file => {
      stopped = true;
      await sampling;
      mkdirSync(dirname(file), {recursive: true});
      writeFileSync(file, JSON.stringify({requests, samples}));
    },
  };
}
