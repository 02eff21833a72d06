import type {Configuration} from '../configuration/configuration.js';
import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {GatewayContext} from '../gateway/gateway_context.js';

/** Applies a configuration if it is newer; returns whether it is. */
export function adoptConfiguration(
  ctx: GatewayContext,
  configuration: PublishedConfiguration,
  next: Configuration,
  source: 'store' | 'peer',
): boolean {
  const before = configuration.version();
  if (!configuration.adopt(next)) return false;
  const {version, routes} = next;
  ctx.emit({
    kind: 'write_log',
    event: 'WL8001',
    fields: {version, before, source, routes: routes.length},
  });
  return true;
}
