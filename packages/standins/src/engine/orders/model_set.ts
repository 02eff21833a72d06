import type {EngineConfig} from '../engine_config.js';
import type {EngineContext} from '../engine_context.js';
import type {OrderReceived} from '../events/order_received.js';
import type {EngineOrder} from './engine_order.js';
import type {EngineRole} from './engine_role.js';
import type {ModelLoad} from './model_load.js';

/** Retry delay after a failed weight fetch; jitter may double it. */
const WEIGHTS_RETRY_MS = 500;

/** Models, adapters and role of an engine, as set by orders. */
export interface ModelSet {
  handleOrder(ctx: EngineContext, event: OrderReceived): void;
  weightsSettled(ctx: EngineContext, model: string, ok: boolean): void;
  advance(ctx: EngineContext): void;
  /** Whether any version of the model is loaded; true for an empty name. */
  isLoaded(model: string): boolean;
  /** Written `NAME@VERSION`. */
  models(): string[];
  /** Written `MODEL/ADAPTER`. */
  adapters(): string[];
  role(): EngineRole;
}

/** Creates the set with the models and role of the configuration. */
export function createModelSet(cfg: EngineConfig): ModelSet {
  const models = new Set(cfg.models);
  const adapters = new Set<string>();
  const pendingLoads = new Map<string, ModelLoad>();
  let role = cfg.role;
  let highestToken = -1;

  function handleOrder(ctx: EngineContext, event: OrderReceived): void {
    const {callId, token} = event;
    if (cfg.checksFencing && token < highestToken) {
      const body = {error: 'stale_token', newest: highestToken};
      ctx.emit({kind: 'answer', callId, status: 409, body});
      return;
    }
    highestToken = Math.max(highestToken, token);
    const changed = applyOrder(ctx, event.order);
    const body = {status: changed ? 'accepted' : 'unchanged'};
    ctx.emit({kind: 'answer', callId, status: 200, body});
  }

  function applyOrder(ctx: EngineContext, order: EngineOrder): boolean {
    switch (order.kind) {
      case 'load_model':
        return load(ctx, `${order.model}@${order.version}`);
      case 'unload_model': {
        const key = `${order.model}@${order.version}`;
        const loading = pendingLoads.delete(key);
        return models.delete(key) || loading;
      }
      case 'load_adapter': {
        const before = adapters.size;
        adapters.add(`${order.model}/${order.adapter}`);
        return adapters.size > before;
      }
      case 'set_role': {
        const changed = role !== order.role;
        role = order.role;
        return changed;
      }
    }
  }

  function load(ctx: EngineContext, model: string): boolean {
    if (models.has(model) || pendingLoads.has(model)) return false;
    pendingLoads.set(model, {model, step: 'fetching', dueMs: 0});
    ctx.emit({kind: 'fetch_weights', model});
    return true;
  }

  function weightsSettled(
    ctx: EngineContext,
    model: string,
    ok: boolean,
  ): void {
    const pending = pendingLoads.get(model);
    if (pending?.step !== 'fetching') return;
    const retryMs = WEIGHTS_RETRY_MS * (1 + ctx.random());
    const loadMs = cfg.modelLoadMs / cfg.timeScale;
    pending.step = ok ? 'loading' : 'waiting';
    pending.dueMs = ctx.nowMs + (ok ? loadMs : retryMs);
  }

  function advance(ctx: EngineContext): void {
    for (const pending of [...pendingLoads.values()]) {
      if (pending.step === 'fetching' || ctx.nowMs < pending.dueMs) continue;
      const {model} = pending;
      if (pending.step === 'loading') {
        pendingLoads.delete(model);
        models.add(model);
      } else {
        pending.step = 'fetching';
        ctx.emit({kind: 'fetch_weights', model});
      }
    }
  }

  return {
    handleOrder,
    weightsSettled,
    advance,
    isLoaded: model =>
      model === '' || [...models].some(key => key.startsWith(`${model}@`)),
    models: () => [...models],
    adapters: () => [...adapters],
    role: () => role,
  };
}
