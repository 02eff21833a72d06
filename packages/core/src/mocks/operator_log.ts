import type {Configuration} from '../configuration/configuration.js';
import type {DomainDrainChange} from '../domain_drain/domain_drain_change.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import {configuration} from './gateway_parts.js';

/** The operator's records of a store: a configuration and drains. */
export interface OperatorLog {
  drain(domain: string, drained: boolean): void;
  /** Readers from older offsets must list from now on. */
  forgetHistory(): void;
  /** Records from the offset on; everything in force without one. */
  read(fromOffset: number | undefined): GatewayEvent;
}

/** Creates a log with a configuration at offset 0. */
export function createOperatorLog(coldPerSecond: number): OperatorLog {
  const {services, ...rest} = configuration();
  const published: Configuration = {
    ...rest,
    services: services.map(spec => ({...spec, warmUpPerSecond: coldPerSecond})),
  };
  const records: DomainDrainChange[] = [];
  let firstOffset = 0;

  function inForce(): DomainDrainChange[] {
    const newest = new Map(records.map(record => [record.domain, record]));
    return [...newest.values()].filter(({drained}) => drained);
  }

  function read(fromOffset: number | undefined): GatewayEvent {
    if (fromOffset !== undefined && fromOffset < firstOffset) {
      const call = 'configuration' as const;
      return {kind: 'store_failed', call, failure: 'expired'};
    }
    const from = fromOffset ?? 0;
    const listing = fromOffset === undefined;
    return {
      kind: 'configuration_read',
      listing,
      fromOffset: from,
      nextOffset: records.length + 1,
      configuration: published,
      unreadable: false,
      drains: listing ? inForce() : records.slice(Math.max(0, from - 1)),
    };
  }

  return {
    drain: (domain, drained) => {
      records.push({domain, offset: records.length + 1, drained});
    },
    forgetHistory: () => {
      firstOffset = records.length + 1;
    },
    read,
  };
}
