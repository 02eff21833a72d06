import {z} from 'zod';

const ROW = z.object({
  type: z.string(),
  name: z.string(),
  version: z.number(),
  values: z.record(z.string(), z.unknown()),
});

/** Answer of `GET /v1/table`. */
export const TABLE_ANSWER = z.object({
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

/** Answer to edits; null if nothing had to change. */
export const EDIT_ANSWER = z.object({edit: EDIT.nullable()});

/** Answer of `GET /v1/history`. */
export const HISTORY_ANSWER = z.object({
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

/** Answer of `GET /v1/status`. */
export const STATUS_ANSWER = z.object({
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

/** Body of a refusal. */
export const ERROR_ANSWER = z.object({
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
