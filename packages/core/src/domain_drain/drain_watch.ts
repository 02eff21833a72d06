import type {ConfigurationRead} from '../gateway/events/configuration_read.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import {createDrainedDomains, type DrainedDomains} from './drained_domains.js';

/** Follows which failure domains the operator drains. */
export interface DrainWatch extends Pick<DrainedDomains, 'has' | 'list'> {
  /**
   * Follows an answer of the store.
   * @returns false if the store must be listed to know the drained domains
   */
  storeRead(ctx: GatewayContext, event: ConfigurationRead): boolean;
  /**
   * Follows what a peer has read up to an offset.
   * @param domains undefined if the peer does not say
   * @returns false if the store must be listed to know the drained domains
   */
  peerRead(
    ctx: GatewayContext,
    domains: readonly string[] | undefined,
    nextOffset: number,
  ): boolean;
}

/** Creates a watch that has read nothing. */
export function createDrainWatch(): DrainWatch {
  const drained = createDrainedDomains();

  function report(ctx: GatewayContext, before: readonly string[]): void {
    const now = drained.list() ?? [];
    const started = now.filter(domain => !before.includes(domain));
    const ended = before.filter(domain => !drained.has(domain));
    if (started.length === 0 && ended.length === 0) return;
    for (const domain of started) log(ctx, 'WL8010', domain);
    for (const domain of ended) log(ctx, 'WL8011', domain);
    const metric = 'drained_domains';
    ctx.emit({kind: 'observe', metric, labels: {}, value: now.length});
  }

  function log(
    ctx: GatewayContext,
    event: 'WL8010' | 'WL8011',
    domain: string,
  ): void {
    ctx.emit({kind: 'write_log', event, fields: {domain}});
  }

  function storeRead(ctx: GatewayContext, event: ConfigurationRead): boolean {
    const {listing, fromOffset, nextOffset, drains} = event;
    const before = drained.list() ?? [];
    if (!listing && !drained.apply(drains, fromOffset, nextOffset))
      return false;
    if (listing) drained.replaceAll(namesOf(drains), nextOffset);
    report(ctx, before);
    return true;
  }

  function namesOf(drains: ConfigurationRead['drains']): string[] {
    return drains.filter(change => change.drained).map(({domain}) => domain);
  }

  return {
    storeRead,
    peerRead: (ctx, domains, nextOffset) => {
      // A peer of an earlier release knows nothing of drains.
      if (!domains) return drained.apply([], nextOffset, nextOffset);
      const before = drained.list() ?? [];
      drained.replaceAll(domains, nextOffset);
      report(ctx, before);
      return true;
    },
    has: drained.has,
    list: drained.list,
  };
}
