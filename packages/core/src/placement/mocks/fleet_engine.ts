import type {EndpointReport} from '../../router/events/endpoint_report.js';
import type {EngineRole} from '../../types/engine_role.js';
import type {SendOrder} from '../actions/send_order.js';

/** An engine that carries out orders at once. */
export interface FleetEngine {
  readonly name: string;
  /** Carries out an order; false if tokens are checked and it is stale. */
  order(action: SendOrder): boolean;
  report(): EndpointReport;
  /** Loses all models, as a restart does. */
  restart(): void;
}

/** Creates an engine that holds nothing. */
export function createFleetEngine(
  name: string,
  checksFencing: boolean,
): FleetEngine {
  let models = new Set<string>();
  let adapters = new Set<string>();
  let role: EngineRole = 'decode';
  let incarnation = 1;
  let newestToken = -1;

  function order({token, order: change}: SendOrder): boolean {
    if (checksFencing && token < newestToken) return false;
    newestToken = Math.max(newestToken, token);
    switch (change.kind) {
      case 'load_model':
        models.add(`${change.model}@${change.version}`);
        return true;
      case 'unload_model':
        models.delete(`${change.model}@${change.version}`);
        return true;
      case 'load_adapter':
        adapters.add(`${change.model}/${change.adapter}`);
        return true;
      case 'set_role':
        role = change.role;
        return true;
    }
  }

  return {
    name,
    order,
    restart: () => {
      models = new Set();
      adapters = new Set();
      incarnation += 1;
    },
    report: () => ({
      kind: 'endpoint_report',
      endpoint: name,
      incarnation: `${incarnation}`,
      leaving: false,
      queuedPrefillTokens: 0,
      decodeStreams: 0,
      kvUsedTokens: 0,
      kvCapacityTokens: 400_000,
      cacheSequence: 0,
      sessions: [],
      models: [...models],
      adapters: [...adapters],
      role,
    }),
  };
}
