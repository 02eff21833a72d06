import {createTestLog, type TestLog} from '../../lease/mocks/test_log.js';
import {endpointRow} from '../../mocks/rows.js';
import {createStepHarness} from '../../mocks/step_harness.js';
import {additions, editAt} from '../../mocks/table_records.js';
import type {EndpointReport} from '../../router/events/endpoint_report.js';
import type {LogStream} from '../../types/log_stream.js';
import type {ModelRow} from '../../types/model_row.js';
import type {PlacerAction} from '../actions/placer_action.js';
import type {PlacerEvent} from '../events/placer_event.js';
import {createPlacerNode} from '../placer_node.js';
import {createFleetEngine} from './fleet_engine.js';
import {modelRow} from './model_rows.js';
import {placerConfig} from './placer_config.js';

/** A placer that holds the lease, with a working log. */
export interface LeaseHolderPlacer {
  step(event: PlacerEvent, advanceMs?: number): PlacerAction[];
  /** Runs for a time with reports at every tick; returns all actions. */
  run(ms: number, reports: EndpointReport[]): PlacerAction[];
  log: TestLog;
}

/** Creates a placer whose table has a model and engines 1 to `engines`. */
export function createLeaseHolderPlacer(
  engines: number,
  model: ModelRow = modelRow(),
): LeaseHolderPlacer {
  const log = createTestLog();
  const harness = createStepHarness(createPlacerNode(placerConfig()));
  const next = new Map<LogStream, number>();
  const rows = Array.from({length: engines}, (_, i) =>
    endpointRow({name: `engine-${i + 1}`}),
  );
  log.append('table', editAt(0, additions([model, ...rows])).data);

  function step(event: PlacerEvent, advanceMs = 0): PlacerAction[] {
    const actions = harness.step(event, advanceMs);
    const reads: PlacerAction[] = [];
    for (const action of actions) {
      if (action.kind === 'append') log.append(action.stream, action.data);
      else if (action.kind !== 'tail') continue;
      const {stream} = action;
      const read = log.read(stream, next.get(stream) ?? 0);
      next.set(stream, read.end);
      reads.push(...step(read));
    }
    return [...actions, ...reads];
  }

  function run(ms: number, reports: EndpointReport[]): PlacerAction[] {
    const actions: PlacerAction[] = [];
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      for (const report of reports) actions.push(...step(report));
      actions.push(...step({kind: 'tick'}, 50));
    }
    return actions;
  }

  run(400, []);
  return {step, run, log};
}

/** Report of an engine that holds models and has the right role. */
export function engineReport(n: number, models: string[]): EndpointReport {
  const report = createFleetEngine(`engine-${n}`, true).report();
  return {...report, models, adapters: ['coder/isic'], role: 'mixed'};
}
