import type {Claims} from '../claims/claims.js';
import type {Drain} from '../drain/drain.js';
import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {CustomerLimits} from '../limits/customer_limits.js';
import type {EarlyRejection} from '../queue/early_rejection.js';
import type {RequestQueue} from '../queue/request_queue.js';
import {createAttemptHistory} from '../requests/attempt_history.js';
import {decideOutcome} from '../requests/decide_outcome.js';
import type {RequestTracker} from '../requests/request_tracker.js';
import {kvFit} from '../reservations/kv_need.js';
import type {TableFeature} from '../table/table_feature.js';
import type {ClassRow} from '../types/class_row.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import {chooseClass} from './choose_class.js';
import type {RequestArrived} from './events/request_arrived.js';
import {createRequestState} from './create_request_state.js';
import type {RouterConfig} from './router_config.js';
import type {RouterContext} from './router_context.js';

/** Parts of the router that admission depends on. */
export interface AdmissionParts {
  cfg: RouterConfig;
  table: TableFeature;
  endpoints: EndpointDirectory;
  limits: CustomerLimits;
  claims: Claims;
  queue: RequestQueue;
  tracker: RequestTracker;
  drain: Drain<RouterContext>;
  earlyRejection: EarlyRejection;
}

/** Admits or refuses a request that has arrived. */
export type Admission = (ctx: RouterContext, event: RequestArrived) => void;

/** Creates the admission of a router. */
export function createAdmission(parts: AdmissionParts): Admission {
  const {cfg, table, endpoints, limits, claims, queue, tracker} = parts;

  return function admit(ctx, event) {
    const notServing = notServingCode();
    if (notServing) return refuse(ctx, event, notServing);
    const customer = table.fold
      .rowsOf('customer')
      .find(row => row.keyHashes.includes(event.keyHash));
    if (!customer) return refuse(ctx, event, 'unknown_customer');
    const chosen = chooseClass(event, customer, table.fold.rowsOf('class'));
    if (!chosen.ok) return refuse(ctx, event, chosen.val);
    const cls = chosen.val;
    const refusalCode = classRefusalCode(ctx, event, cls);
    if (refusalCode) return refuse(ctx, event, refusalCode);
    const state = createRequestState(ctx, event, customer, cls);
    if (kvFit(state, endpoints) === 'none') {
      return refuse(ctx, event, 'prompt_too_long');
    }
    const retryMs = parts.earlyRejection.checkArrival(ctx, state.entry);
    if (retryMs !== undefined) {
      return refuse(ctx, event, 'overloaded', retryMs);
    }
    const tokens = event.promptTokens + event.maxOutputTokens;
    const limit = limits.admit(ctx, customer, tokens);
    if (!limit.ok) {
      const {code, retryAfterMs} = limit.val;
      return refuse(ctx, event, code, retryAfterMs);
    }
    tracker.admit(ctx, state);
    if (!cls.idempotent) {
      claims.request(ctx, {
        reqId: event.reqId,
        customer: customer.name,
        idempotencyKey: event.idempotencyKey,
        timeoutMs: cls.timeoutMs,
      });
    }
  };

  function notServingCode(): OutcomeCode | undefined {
    const stage = parts.drain.stage();
    if (stage === 'draining' || stage === 'stopped') return 'draining';
    return table.loaded() ? undefined : 'not_ready';
  }

  function classRefusalCode(
    ctx: RouterContext,
    event: RequestArrived,
    cls: ClassRow,
  ): OutcomeCode | undefined {
    if (!endpoints.serves(cls.service)) return 'unknown_service';
    if (queue.size() >= cfg.maxWaiting) return 'overloaded';
    if (cls.idempotent) return undefined;
    const key = claims.checkKey(ctx, event.idempotencyKey);
    return key.ok ? undefined : key.val;
  }

  function refuse(
    ctx: RouterContext,
    event: RequestArrived,
    code: OutcomeCode,
    retryAfterMs?: number,
  ): void {
    const {reqId} = event;
    const history = createAttemptHistory();
    const outcome = decideOutcome(history, true, 'refused', code, retryAfterMs);
    ctx.emit({kind: 'finish', reqId, outcome});
    ctx.emit({
      kind: 'write_log',
      event: 'WL1002',
      fields: {reqId, outcome: outcome.kind, code},
    });
  }
}
