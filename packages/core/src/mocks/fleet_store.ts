import type {ReadStore} from '../gateway/actions/read_store.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {Configuration} from '../configuration/configuration.js';
import type {MemberRecord} from '../fleet/member_record.js';
import type {QuarantineEntry} from '../quarantine/quarantine_entry.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {configuration} from './gateway_parts.js';
import {createOperatorLog} from './operator_log.js';
import {createRegistryLog} from './registry_log.js';

/** The store of a fleet test. */
export interface FleetStore {
  /** Whether calls are answered. */
  reachable: boolean;
  announce(record: MemberRecord): GatewayEvent;
  read(action: ReadStore): GatewayEvent;
  save(entry: QuarantineEntry): GatewayEvent;
  /** Starts or ends the drain of a failure domain. */
  drain(domain: string, drained: boolean): void;
  /** Drops the records before the newest, so that readers must list. */
  forgetHistory(): void;
  /** The list of engines changed. */
  registryChanged(): void;
  /** Addresses of the gateways that the store lists. */
  members(): string[];
  /** Parts that the store holds a verdict on. */
  verdicts(): string[];
  copy(): FleetStoreCopy;
  /** Comes back from a copy; what was written since is lost. */
  restore(copy: FleetStoreCopy): void;
}

/** State of a store at some moment. */
export interface FleetStoreCopy {
  registryLength: number;
  operatorLength: number;
  members: ReadonlyMap<string, MemberRecord>;
  verdicts: ReadonlyMap<string, QuarantineEntry>;
}

/** Creates a store without announced gateways. */
export function createFleetStore(
  entries: () => EndpointEntry[],
  published: Configuration = configuration(),
): FleetStore {
  let verdicts = new Map<string, QuarantineEntry>();
  let members = new Map<string, MemberRecord>();
  let era = 0;
  const registry = createRegistryLog(entries());
  const operator = createOperatorLog(published);

  function read({call, fromOffset}: ReadStore): GatewayEvent {
    if (!store.reachable) {
      return {kind: 'store_failed', call, failure: 'unavailable'};
    }
    switch (call) {
      case 'configuration':
        return operator.read(fromOffset);
      case 'registry':
        return registry.read(fromOffset);
      case 'quarantine':
        return {kind: 'quarantine_read', entries: [...verdicts.values()]};
      default:
        return {kind: 'members_read', members: [...members.values()]};
    }
  }

  const store: FleetStore = {
    reachable: true,
    announce: record => {
      if (!store.reachable) {
        const failure = 'unavailable' as const;
        return {kind: 'store_failed', call: 'announce', failure};
      }
      members.set(record.address, record);
      return {kind: 'member_announced'};
    },
    save: entry => {
      if (!store.reachable) {
        const call = 'save_quarantine' as const;
        return {kind: 'store_failed', call, failure: 'unavailable'};
      }
      verdicts.set(entry.cause, entry);
      return {kind: 'quarantine_saved', entry};
    },
    read,
    drain: operator.drain,
    forgetHistory: operator.forgetHistory,
    registryChanged: () => registry.update(entries()),
    members: () => [...members.keys()].sort(),
    verdicts: () => [...verdicts.keys()].sort(),
    copy: () => ({
      registryLength: registry.length(),
      operatorLength: operator.length(),
      members: new Map(members),
      verdicts: new Map(verdicts),
    }),
    restore: copy => {
      era += 1;
      registry.restore(copy.registryLength, era);
      operator.restore(copy.operatorLength, era);
      members = new Map(copy.members);
      verdicts = new Map(copy.verdicts);
    },
  };
  return store;
}
