import assert from 'node:assert/strict';
import type {Append} from '../../router/actions/append.js';
import type {LogStream} from '../../types/log_stream.js';
import type {PlacerAction} from '../actions/placer_action.js';
import type {SendOrder} from '../actions/send_order.js';
import type {PlacerEvent} from '../events/placer_event.js';
import {createPlacerNode} from '../placer_node.js';
import {placerConfig} from './placer_config.js';
import type {SimulationEnvironment} from './simulation_environment.js';

const REPORT_INTERVAL_MS = 500;
const LOST_ANSWER_MS = 400;

/** A placer process on a machine with its own clock. */
export interface PlacerProcess {
  /** Performs pending actions, then handles events that have arrived. */
  run(): void;
  push(event: PlacerEvent): void;
  /** Token of the lease that the process considers its own. */
  believedToken(): number | undefined;
  exited(): boolean;
}

interface Tail {
  next: number;
  /** True time of the next read; infinite while one is in progress. */
  readAtMs: number;
  /** Whether a read has returned the end of the stream since a fault. */
  endKnown: boolean;
}

/** Creates a process; `rate` is the speed of its clock. */
export function createPlacerProcess(
  env: SimulationEnvironment,
  machine: number,
  start: number,
  rate: number,
): PlacerProcess {
  const node = createPlacerNode(placerConfig(`vm-${machine}#${start}`));
  const tails = new Map<LogStream, Tail>();
  let inbox: PlacerEvent[] = [];
  let pendingActions: PlacerAction[] = [];
  let watched: string[] = [];
  let reportAtMs = 0;
  let exited = false;

  // Each machine's clock has its own origin, so that no decision can compare
  // two clocks.
  const clockMs = (): number => 1_000 * machine + env.nowMs() * rate;
  const delayMs = (): number => env.delayMs(machine);
  const unreachable = (): boolean => env.faultActive('cut', machine);

  function push(event: PlacerEvent): void {
    inbox.push(event);
  }

  function step(event: PlacerEvent): void {
    const nowMs = clockMs();
    const wallMs = 1.7e12 * env.random();
    const input = {event, nowMs, wallMs, random: env.random};
    for (const action of node.step(input)) {
      if (action.kind === 'send_order') {
        const token = node.hold(nowMs)?.token;
        assert.equal(action.token, token, 'order sent without its lease');
      }
      pendingActions.push(action);
    }
  }

  function perform(action: PlacerAction): void {
    switch (action.kind) {
      case 'append':
        append(action);
        return;
      case 'send_order':
        sendOrder(action);
        return;
      case 'request_weights': {
        const {requestId} = action;
        const granted = !unreachable() && env.random() < 0.8;
        env.after(delayMs(), () =>
          push({kind: 'weights_settled', requestId, granted}),
        );
        return;
      }
      case 'tail':
        tails.set(action.stream, {
          next: action.from,
          readAtMs: 0,
          endKnown: false,
        });
        return;
      case 'watch_endpoints':
        watched = action.endpoints.map(({name}) => name);
        return;
      case 'exit':
        exited = true;
    }
  }

  function append({appendId, stream, data}: Append): void {
    const settle = (result: 'appended' | 'not_appended' | 'unknown') =>
      push({kind: 'append_settled', appendId, result, offset: -1});
    if (env.faultActive('outage') || unreachable()) {
      settle('not_appended');
      return;
    }
    env.after(delayMs(), () => {
      env.log.append(stream, data);
      if (env.faultActive('lost_answers')) {
        env.after(LOST_ANSWER_MS, () => settle('unknown'));
      } else {
        env.after(delayMs(), () => settle('appended'));
      }
    });
  }

  function sendOrder(action: SendOrder): void {
    const {orderId} = action;
    const settle = (
      result: 'accepted' | 'expired' | 'failed' | 'stale_token',
    ) => push({kind: 'order_settled', orderId, result});
    if (clockMs() >= action.notAfterMs) return settle('expired');
    if (unreachable()) return settle('failed');
    env.checkOrderToken(action.token);
    env.after(delayMs(), () => {
      const accepted = env.engines.get(action.endpoint)?.order(action);
      const result = accepted ? 'accepted' : 'stale_token';
      env.after(delayMs(), () => settle(result));
    });
  }

  function readLog(): void {
    for (const [stream, tail] of tails) {
      if (env.nowMs() < tail.readAtMs) continue;
      if (env.faultActive('outage') || unreachable()) {
        tail.readAtMs = env.nowMs() + 250;
        tail.endKnown = false;
        push({kind: 'log_read_failed', stream});
        continue;
      }
      const read = env.log.read(stream, tail.next);
      const missed = read.earliest > tail.next;
      if (read.records.length === 0 && !missed && tail.endKnown) continue;
      // One read at a time, as the log tail does.
      tail.readAtMs = Infinity;
      env.after(delayMs(), () => {
        tail.readAtMs = 0;
        tail.endKnown = true;
        tail.next = read.end;
        push(read);
      });
    }
  }

  function readReports(): void {
    if (env.nowMs() < reportAtMs || unreachable()) return;
    reportAtMs = env.nowMs() + REPORT_INTERVAL_MS;
    for (const name of watched) {
      const report = env.engines.get(name)?.report();
      if (report) env.after(delayMs(), () => push(report));
    }
  }

  function run(): void {
    if (exited) return;
    const actions = pendingActions;
    pendingActions = [];
    for (const action of actions) perform(action);
    readLog();
    readReports();
    step({kind: 'tick'});
    const events = inbox;
    inbox = [];
    for (const event of events) step(event);
  }

  return {
    run,
    push,
    believedToken: () => node.hold(clockMs())?.token,
    exited: () => exited,
  };
}
