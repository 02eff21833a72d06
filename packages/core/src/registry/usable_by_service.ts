import type {EndpointEntry} from './endpoint_entry.js';
import type {RegisteredEndpoint} from './registered_endpoint.js';

/** Groups the endpoints that may take new work by service. */
export function usableByService(
  endpoints: Iterable<RegisteredEndpoint>,
): Map<string, EndpointEntry[]> {
  const byService = new Map<string, EndpointEntry[]>();
  for (const {entry, state} of endpoints) {
    if (state !== 'ready' && state !== 'missing') continue;
    const group = byService.get(entry.service);
    if (group) group.push(entry);
    else byService.set(entry.service, [entry]);
  }
  return byService;
}
