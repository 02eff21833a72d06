import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {RequestState} from '../requests/request_state.js';

/** KV memory in tokens that a request occupies when it ends. */
export function kvTokens(state: RequestState): number {
  return state.entry.promptTokens + state.entry.maxOutputTokens;
}

/** How a request's KV need compares to the engines of its service. */
export type KvFit = 'one_engine' | 'several_engines' | 'none';

/** Compares with all engines that should serve, busy ones included. */
export function kvFit(
  state: RequestState,
  endpoints: EndpointDirectory,
): KvFit {
  const sizes = endpoints
    .rowsOf(state.entry.service)
    .filter(row => row.kind === 'engine' && row.desired === 'serving')
    .map(row => row.kvCapacityTokens);
  const tokens = kvTokens(state);
  if (sizes.length === 0 || tokens <= Math.max(...sizes)) return 'one_engine';
  const total = sizes.reduce((sum, size) => sum + size, 0);
  return tokens <= total ? 'several_engines' : 'none';
}
