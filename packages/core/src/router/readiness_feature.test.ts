import assert from 'node:assert/strict';
import {test} from 'node:test';
import {routerConfig, tableRead} from '../mocks/router_events.js';
import {createStepHarness} from '../mocks/step_harness.js';
import type {RouterEvent} from './events/router_event.js';
import {createRouterNode} from './router_node.js';

const FAILED: RouterEvent = {kind: 'log_read_failed', stream: 'table'};
const TRIMMED: RouterEvent = {
  ...tableRead(),
  earliest: 5,
  end: 5,
  records: [],
};

interface Case {
  title: string;
  events: RouterEvent[];
  ready: boolean;
  reason: RegExp;
}

const CASES: Case[] = [
  {
    title: 'a router that has read nothing is not ready',
    events: [{kind: 'tick'}],
    ready: false,
    reason: /no table yet: the log has not answered/,
  },
  {
    title: 'a router without log and peers is not ready',
    events: [FAILED],
    ready: false,
    reason: /no table yet: the log is unavailable/,
  },
  {
    title: 'a router below the earliest record is not ready and says why',
    events: [TRIMMED],
    ready: false,
    reason: /passed out of retention/,
  },
  {
    title: 'a router with the newest table is ready and gives no reason',
    events: [FAILED, tableRead()],
    ready: true,
    reason: /^$/,
  },
  {
    title: 'a router keeps serving without the log and says so',
    events: [tableRead(), FAILED],
    ready: true,
    reason: /may not be the newest: the log is unavailable/,
  },
];

for (const {title, events, ready, reason} of CASES) {
  test(title, () => {
    const router = createStepHarness(createRouterNode(routerConfig()));
    const answers = events
      .flatMap(event => router.step(event))
      .filter(action => action.kind === 'set_ready');
    assert.equal(answers.at(-1)?.ready, ready);
    assert.match(answers.at(-1)?.reason ?? '', reason);
  });
}
