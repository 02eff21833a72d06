import {mkdirSync, writeFileSync} from 'node:fs';
import {dirname} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

const SAMPLE_INTERVAL_MS = 250;

/**
 * Records a run for plots: each request, and samples of what the gateways
 * believe (requests in flight, endpoints put aside).
 */
export function startRecord({gateways, status}) {
  const startedMs = performance.now();
  const requests = [];
  const samples = [];
  let over = false;

  const sampling = (async () => {
    while (!over) {
      const atMs = performance.now() - startedMs;
      const answers = await Promise.all(
        gateways.map(gateway => status(gateway).catch(() => undefined)),
      );
      answers.forEach((answer, i) => {
        // A gateway that is down has no beliefs.
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
      over = true;
      await sampling;
      mkdirSync(dirname(file), {recursive: true});
      writeFileSync(file, JSON.stringify({requests, samples}));
    },
  };
}
