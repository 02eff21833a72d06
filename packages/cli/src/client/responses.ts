import {z} from 'zod';

const ROW = z.object({
  type: z.string(),
  name: z.string(),
  version: z.number(),
  values: z.record(z.string(), z.unknown()),
});

/** Response of `GET /v1/table`. */
export const TABLE_RESPONSE = z.object({
  offset: z.number(),
  rows: z.array(ROW),
});

const EDIT = z.object({
  editId: z.string(),
  state: z.enum(['accepted', 'conflict', 'not_applied', 'pending']),
  author: z.string(),
  keys: z.array(z.string()),
  version: z.number(),
  conflicts: z.array(z.unknown()),
});

/** Response to edits; `edit` is null if nothing had to change. */
export const EDIT_RESPONSE = z.object({edit: EDIT.nullable()});

/** Response of `GET /v1/history`. */
export const HISTORY_RESPONSE = z.object({
  edits: z.array(
    z.object({
      editId: z.string(),
      author: z.string(),
      at: z.string(),
      offset: z.number(),
      state: z.string(),
      keys: z.array(z.string()),
      conflicts: z.array(z.string()),
    }),
  ),
});

/** Response of `GET /v1/status`. */
export const STATUS_RESPONSE = z.object({
  table: z.object({
    offset: z.number(),
    lag: z.number(),
    logReachable: z.boolean(),
    loaded: z.boolean(),
  }),
  routers: z.array(
    z.object({
      address: z.string(),
      reachable: z.boolean(),
      ready: z.boolean(),
      reason: z.string(),
      offset: z.number(),
    }),
  ),
});

/** Body of an error response. */
export const ERROR_RESPONSE = z.object({
  error: z.string(),
  message: z.string().default(''),
  faults: z
    .array(
      z.object({
        row: z.number(),
        key: z.string(),
        column: z.string(),
        problem: z.string(),
      }),
    )
    .default([]),
});
