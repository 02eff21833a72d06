import assert from 'node:assert/strict';
import {LIMIT_KINDS} from '../limits/limit_kind.js';
import {limitsOf} from '../limits/limit_amounts.js';
import {SHARE_LIFETIME_MS} from '../limits/share_lifetime.js';
import {BURST_S} from '../limits/token_bucket.js';
import type {CustomerRow} from '../types/customer_row.js';
import {
  MAX_DURATION_MS,
  MAX_TOKENS,
  MAX_VIEW_LAG_MS,
  type VirtualLimitFleet,
} from './virtual_limit_fleet.js';

const ROUNDING = 1e-6;
const WINDOW_MS = 5_000;
/** Reports to a new allocator and its answers, with repeats of lost ones. */
const REPORT_MS = 2_500;
const SETTLED_AFTER_MS =
  MAX_VIEW_LAG_MS + SHARE_LIFETIME_MS + MAX_DURATION_MS + REPORT_MS;

/** Checks the use of a customer's limits after each step. */
export interface LimitChecks {
  /** Records that links, processes or offered load have changed. */
  changed(): void;
  check(): void;
}

/** Creates the checks of a fleet that shares the customer's limits. */
export function createLimitChecks(
  fleet: VirtualLimitFleet,
  customer: CustomerRow,
): LimitChecks {
  const limits = limitsOf(customer);
  let changedMs = fleet.nowMs();

  function check(): void {
    const settledMs = changedMs + SETTLED_AFTER_MS;
    const factor = fleet.nowMs() > settledMs ? 1 : 2;
    checkAmounts(factor);
    checkInFlight(factor);
    checkUse(2);
    if (fleet.nowMs() - WINDOW_MS > settledMs) checkUse(1);
  }

  function checkAmounts(factor: number): void {
    const using = fleet.addresses.filter(
      address => (fleet.offered.get(address) ?? 0) > 0,
    );
    for (const kind of LIMIT_KINDS) {
      const sum = using
        .map(address => fleet.node(address).amounts(fleet.nowMs())[kind])
        .reduce((a, b) => a + b, 0);
      const bound = limits[kind] * factor + ROUNDING;
      assert.ok(sum <= bound, `${kind}: shares ${sum} exceed ${bound}`);
    }
  }

  function checkInFlight(factor: number): void {
    const sum = fleet.addresses
      .map(address => fleet.node(address).inFlight)
      .reduce((a, b) => a + b, 0);
    const bound = limits.concurrency * factor;
    assert.ok(sum <= bound, `${sum} in flight exceed ${bound}`);
  }

  /** A window may exceed the rate by a burst and one request per router. */
  function checkUse(factor: number): void {
    const sinceMs = fleet.nowMs() - WINDOW_MS;
    let requests = 0;
    let tokens = 0;
    for (let i = fleet.admitted.length - 1; i >= 0; i--) {
      const request = fleet.admitted[i]!;
      if (request.atMs <= sinceMs) break;
      requests += 1;
      tokens += request.tokens;
    }
    const seconds = factor * (WINDOW_MS / 1_000 + BURST_S);
    const routers = fleet.addresses.length;
    const maxRequests = limits.requests * seconds + routers;
    assert.ok(
      requests <= maxRequests,
      `${requests} requests exceed ${maxRequests}`,
    );
    const maxTokens = limits.tokens * seconds + routers * MAX_TOKENS;
    assert.ok(tokens <= maxTokens, `${tokens} tokens exceed ${maxTokens}`);
  }

  return {
    changed: () => {
      changedMs = fleet.nowMs();
    },
    check,
  };
}
