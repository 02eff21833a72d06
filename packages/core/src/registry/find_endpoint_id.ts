import type {EndpointRegistry} from './endpoint_registry.js';

/** Id of a registered endpoint by its id or address; undefined if unknown. */
export function findEndpointId(
  registry: EndpointRegistry,
  name: string,
): string | undefined {
  return registry
    .entries()
    .find(({id, address}) => id === name || address === name)?.id;
}
