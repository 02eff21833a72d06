import {isAddress} from '@wisterialadder/runtime/http/is_address.js';
import {z} from 'zod';

const SERIAL = z.number().int().min(0);
const AMOUNT = z.number().min(0);

const ENDPOINT_ENTRY = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string().refine(isAddress),
  failureDomain: z.string(),
  slots: SERIAL,
  state: z.enum(['ready', 'leaving']),
  warmUpMs: AMOUNT,
  sequence: SERIAL,
  startedAtMs: SERIAL,
});

const ENTRY_CHANGE = z.object({
  id: z.string(),
  offset: SERIAL,
  entry: ENDPOINT_ENTRY.optional(),
  unreadable: z.boolean(),
});

const ROUTE = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  kind: z.enum(['idempotent', 'non_idempotent', 'stream']),
  services: z.array(z.object({service: z.string(), weight: AMOUNT})),
  timeoutMs: AMOUNT,
  targetMs: AMOUNT,
  targetGapMs: AMOUNT,
  priority: z.number(),
  maxAttempts: AMOUNT,
  public: z.boolean(),
  resumable: z.boolean(),
});

const ENGINE_PROFILE = z.object({
  slots: AMOUNT,
  memoryTokens: AMOUNT,
  stepsPerPass: AMOUNT,
  stepMs: AMOUNT,
  stepMsPerStream: AMOUNT,
  stepMsPerThousandTokens: AMOUNT,
  readTokensPerMs: AMOUNT,
  readMsPerMillionPairs: AMOUNT,
  chunkTokens: AMOUNT,
  hopMs: AMOUNT,
});

const CONFIGURATION = z.object({
  version: SERIAL,
  routes: z.array(ROUTE),
  services: z.array(
    z.object({
      name: z.string(),
      connectionLimit: AMOUNT,
      warmUpPerSecond: AMOUNT.default(0),
      engine: ENGINE_PROFILE.optional(),
    }),
  ),
  limits: z.object({
    maxHeadBytes: AMOUNT,
    maxBodyBytes: AMOUNT,
    headTimeoutMs: AMOUNT,
    idleTimeoutMs: AMOUNT,
  }),
  customers: z
    .array(
      z.object({
        name: z.string(),
        keys: z.array(z.string()),
        priority: z.number().optional(),
      }),
    )
    .optional(),
});

/** Calls between gateways, see `StatePull` and `StateCopy`. */
export const CALL = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('state_pull'), configurationVersion: SERIAL}),
  z.object({
    kind: z.literal('state_copy'),
    configurationOffset: SERIAL,
    configuration: CONFIGURATION.optional(),
    drainedDomains: z.array(z.string()).optional(),
    registryOffset: SERIAL,
    entries: z.array(ENTRY_CHANGE),
    // JSON writes the infinite age of a copy that was never confirmed as null.
    ageMs: AMOUNT.nullable(),
  }),
]);
