import assert from 'node:assert/strict';
import {parseTableRecord} from '../table/parse_table_record.js';
import {createTableFold} from '../table/table_fold.js';
import type {VirtualTableFleet} from './virtual_table_fleet.js';
import type {VirtualTableNode} from './virtual_table_node.js';

const CONVERGENCE_MS = 3_000;

/** Checks a fleet after each step of a schedule. */
export interface TableChecks {
  /** Records a change of links, the log or the set of processes. */
  connectivityChanged(): void;
  check(): void;
}

interface FleetState {
  atMs: number;
  /** Next offset of the table of each node. */
  offsets: Map<string, number>;
  logEnd: number;
}

/** Creates the checks of a fleet without records. */
export function createTableChecks(fleet: VirtualTableFleet): TableChecks {
  const oracle = createTableFold();
  const states = [JSON.stringify(oracle.snapshot())];
  const progress = new Map<VirtualTableNode, number>();
  const loaded = new Set<VirtualTableNode>();
  let history: FleetState[] = [];
  let stableSinceMs = fleet.nowMs();

  function check(): void {
    for (const {offset, data} of fleet.log.retained(fleet.nowMs())) {
      if (offset < oracle.next()) continue;
      oracle.apply({offset, data});
      states.push(JSON.stringify(oracle.snapshot()));
    }
    const nodes = fleet.addresses.map(address => fleet.node(address));
    for (const node of nodes) {
      checkState(node);
      checkLoaded(node);
    }
    recordHistory(nodes);
    checkConvergence(nodes);
  }

  function checkState(node: VirtualTableNode): void {
    const next = node.table.fold.next();
    const before = progress.get(node) ?? 0;
    assert.ok(next >= before, `${node.address} went from ${before} to ${next}`);
    if (next === before) return;
    progress.set(node, next);
    const state = JSON.stringify(node.table.fold.snapshot());
    assert.equal(state, states[next], `${node.address} at ${next}`);
  }

  /** Checks that a new node serves no table older than it could obtain. */
  function checkLoaded(node: VirtualTableNode): void {
    if (!node.table.loaded() || loaded.has(node)) return;
    loaded.add(node);
    assert.ok(node.table.fold.rows().length > 0, 'loaded without a row');
    if (stableSinceMs > node.startedMs) return;
    const start = history.findLast(state => state.atMs <= node.startedMs);
    for (const [address, held] of start?.offsets ?? []) {
      // State that only the previous process of this node held is lost with it.
      if (address === node.address) continue;
      if (!fleet.network.linked(node.address, address)) continue;
      const next = node.table.fold.next();
      assert.ok(next >= held, `${node.address} serves ${next}, not ${held}`);
    }
  }

  function recordHistory(nodes: VirtualTableNode[]): void {
    const atMs = fleet.nowMs();
    const offsets = new Map(
      nodes.map(node => [node.address, node.table.fold.next()]),
    );
    history.push({atMs, offsets, logEnd: fleet.log.end()});
    history = history.filter(state => state.atMs >= atMs - CONVERGENCE_MS);
  }

  /** Checks that nodes hold what their group could obtain 3 s ago. */
  function checkConvergence(nodes: VirtualTableNode[]): void {
    const sinceMs = fleet.nowMs() - CONVERGENCE_MS;
    const past = history[0];
    if (!past || past.atMs > sinceMs || past.atMs <= stableSinceMs) return;
    for (const node of nodes) {
      const next = node.table.fold.next();
      const due = obtainableOffset(node, past);
      assert.ok(next >= due, `${node.address} holds ${next}, not ${due}`);
    }
  }

  function obtainableOffset(node: VirtualTableNode, past: FleetState): number {
    const group = fleet.network.component(node.address, fleet.addresses);
    const best = Math.max(...group.map(peer => past.offsets.get(peer) ?? 0));
    const reads = group.some(peer => fleet.network.linked(peer, 'log'));
    return reads && logContinues(best) ? past.logEnd : best;
  }

  /** Whether the log still leads from a held offset to its end. */
  function logContinues(held: number): boolean {
    const nowMs = fleet.nowMs();
    const earliest = fleet.log.earliest(nowMs);
    if (held >= earliest) return true;
    return fleet.log.retained(nowMs).some(({data}) => {
      const record = parseTableRecord(data);
      if (!record.ok || record.val.type !== 'snapshot') return false;
      return record.val.next >= earliest;
    });
  }

  return {
    connectivityChanged: () => {
      stableSinceMs = fleet.nowMs();
    },
    check,
  };
}
