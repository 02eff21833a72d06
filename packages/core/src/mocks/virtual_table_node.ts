import type {AliveMembers} from '../membership/alive_members.js';
import type {RouterAction} from '../router/actions/router_action.js';
import type {RouterEvent} from '../router/events/router_event.js';
import {runFeatures} from '../shared/run_features.js';
import {createTableFeature, type TableFeature} from '../table/table_feature.js';
import type {RandomSource} from '../types/random_source.js';

/** One process that runs the table feature. */
export interface VirtualTableNode {
  readonly address: string;
  readonly table: TableFeature;
  readonly startedMs: number;
  /** Next offset that its log tail reads. */
  tailFrom: number;
  /** End of the log at its newest read; -1 before the first one. */
  seenEnd: number;
  readAtMs: number;
  step(event: RouterEvent, nowMs: number): RouterAction[];
}

/** Starts a process with an empty table. */
export function startVirtualTableNode(
  address: string,
  addresses: string[],
  retentionMs: number,
  startedMs: number,
  random: RandomSource,
): VirtualTableNode {
  const members: AliveMembers = {
    self: address,
    alive: () => addresses,
    incarnation: () => 1,
  };
  const table = createTableFeature({
    members,
    retentionMs,
    onChange: () => undefined,
  });
  const node = runFeatures([table]);
  return {
    address,
    table,
    startedMs,
    tailFrom: 0,
    seenEnd: -1,
    readAtMs: 0,
    step: (event, nowMs) =>
      node.step({event, nowMs, wallMs: 1.7e12 + nowMs, random}),
  };
}
