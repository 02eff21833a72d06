import type {EngineConfig} from '../engine_config.js';
import type {EngineContext} from '../engine_context.js';
import type {OrderReceived} from '../events/order_received.js';
import type {EngineOrder} from './engine_order.js';
import type {EngineRole} from './engine_role.js';
import type {ModelLoad} from './model_load.js';

/** Wait after a refusal of the weight store, plus up to as much jitter. */
const WEIGHTS_RETRY_MS = 500;

/** Models, adapters and role of an engine, changed by orders. */
export interface ModelSet {
  order(ctx: EngineContext, event: OrderReceived): void;
  weightsSettled(ctx: EngineContext, model: string, ok: boolean): void;
  advance(ctx: EngineContext): void;
  /** Whether any version of the model is loaded; true for ''. */
  holds(model: string): boolean;
  /** Written `NAME@VERSION`. */
  models(): string[];
  /** Written `MODEL/ADAPTER`. */
  adapters(): string[];
  role(): EngineRole;
}

/** Creates the set with the models of the settings. */
export function createModelSet(cfg: EngineConfig): ModelSet {
  const models = new Set(cfg.models);
  const adapters = new Set<string>();
  const loads = new Map<string, ModelLoad>();
  let role = cfg.role;
  let newestToken = -1;

  function order(ctx: EngineContext, event: OrderReceived): void {
    const {callId, token} = event;
    if (cfg.checksFencing && token < newestToken) {
      const body = {error: 'stale_token', newest: newestToken};
      ctx.emit({kind: 'answer', callId, status: 409, body});
      return;
    }
    newestToken = Math.max(newestToken, token);
    const changed = apply(ctx, event.order);
    const body = {status: changed ? 'accepted' : 'unchanged'};
    ctx.emit({kind: 'answer', callId, status: 200, body});
  }

  function apply(ctx: EngineContext, change: EngineOrder): boolean {
    switch (change.kind) {
      case 'load_model':
        return load(ctx, `${change.model}@${change.version}`);
      case 'unload_model': {
        const key = `${change.model}@${change.version}`;
        const loading = loads.delete(key);
        return models.delete(key) || loading;
      }
      case 'load_adapter': {
        const before = adapters.size;
        adapters.add(`${change.model}/${change.adapter}`);
        return adapters.size > before;
      }
      case 'set_role': {
        const changed = role !== change.role;
        role = change.role;
        return changed;
      }
    }
  }

  function load(ctx: EngineContext, model: string): boolean {
    if (models.has(model) || loads.has(model)) return false;
    loads.set(model, {model, step: 'fetching', dueMs: 0});
    ctx.emit({kind: 'fetch_weights', model});
    return true;
  }

  function weightsSettled(
    ctx: EngineContext,
    model: string,
    ok: boolean,
  ): void {
    const current = loads.get(model);
    if (current?.step !== 'fetching') return;
    const retryMs = WEIGHTS_RETRY_MS * (1 + ctx.random());
    const loadMs = cfg.modelLoadMs / cfg.timeScale;
    current.step = ok ? 'loading' : 'waiting';
    current.dueMs = ctx.nowMs + (ok ? loadMs : retryMs);
  }

  function advance(ctx: EngineContext): void {
    for (const current of [...loads.values()]) {
      if (current.step === 'fetching' || ctx.nowMs < current.dueMs) continue;
      const {model} = current;
      if (current.step === 'loading') {
        loads.delete(model);
        models.add(model);
      } else {
        current.step = 'fetching';
        ctx.emit({kind: 'fetch_weights', model});
      }
    }
  }

  return {
    order,
    weightsSettled,
    advance,
    holds: model =>
      model === '' || [...models].some(key => key.startsWith(`${model}@`)),
    models: () => [...models],
    adapters: () => [...adapters],
    role: () => role,
  };
}
