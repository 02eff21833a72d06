import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {DrainWatch} from '../domain_drain/drain_watch.js';
import type {ConfigurationRead} from '../gateway/events/configuration_read.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import {adoptConfiguration} from './adopt_configuration.js';
import type {StateCopies} from './state_copies.js';
import type {StorePosition} from './store_position.js';
import type {StoreReader} from './store_reader.js';
import type {UnreadableRecords} from './unreadable_records.js';

/** Applies what this gateway reads of the configuration. */
export interface ConfigurationUpdates {
  /** Applies an answer of the store. */
  storeRead(ctx: GatewayContext, event: ConfigurationRead): void;
}

/** Dependencies of the updates. */
export interface ConfigurationUpdateParts {
  configuration: PublishedConfiguration;
  drains: Pick<DrainWatch, 'storeRead'>;
  /** How far the configuration was read. */
  position: StorePosition;
  reader: Pick<StoreReader, 'read'>;
  unreadable: Pick<UnreadableRecords, 'configurationSkipped'>;
  copies: Pick<StateCopies, 'pullFromAny'>;
  /** A newer configuration is in force. */
  configurationChanged(ctx: GatewayContext): void;
}

/** Creates the updates of a configuration that was not read yet. */
export function createConfigurationUpdates(
  parts: ConfigurationUpdateParts,
): ConfigurationUpdates {
  const {configuration, position, reader, unreadable, copies} = parts;

  function storeRead(ctx: GatewayContext, event: ConfigurationRead): void {
    position.next = Math.max(position.next ?? 0, event.nextOffset);
    position.mustList = !parts.drains.storeRead(ctx, event);
    if (position.mustList) reader.read(ctx, 'configuration');
    if (event.unreadable) {
      unreadable.configurationSkipped(ctx, event.nextOffset);
      // A peer may have the version before.
      if (!configuration.current()) copies.pullFromAny(ctx);
    }
    const {configuration: next} = event;
    if (next && adoptConfiguration(ctx, configuration, next, 'store')) {
      parts.configurationChanged(ctx);
    }
  }

  return {storeRead};
}
