import type {StateCopy} from '@wisterialadder/core/fleet/messages/state_copy.js';
import type {StatePull} from '@wisterialadder/core/fleet/messages/state_pull.js';
import {CALL} from './call_schema.js';

/** Decodes a call of another gateway; undefined if it is malformed. */
export function decodeCall(call: unknown): StatePull | StateCopy | undefined {
  const parsed = CALL.safeParse(call);
  if (!parsed.success) return undefined;
  const {data} = parsed;
  if (data.kind === 'state_pull') return data;
  const {configuration, drainedDomains} = data;
  return {
    ...data,
    drainedDomains,
    ageMs: data.ageMs ?? Number.POSITIVE_INFINITY,
    entries: data.entries.map(({entry, ...change}) => ({...change, entry})),
    configuration: configuration && {
      ...configuration,
      services: configuration.services.map(({engine, ...service}) => ({
        ...service,
        engine,
      })),
      customers: configuration.customers?.map(({priority, ...customer}) => ({
        ...customer,
        priority,
      })),
    },
  };
}
