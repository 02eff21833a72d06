import {z} from 'zod';

/** Format of edit ids. */
export const EDIT_ID = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'is not an edit id');

const CHANGE = z.strictObject({
  type: z.string(),
  name: z.string(),
  base: z.number().int().nonnegative().optional(),
  values: z.record(z.string(), z.unknown()).nullable(),
});

/** Body of `POST /v1/edits`; `values: null` removes a row. */
export const EDIT_BODY = z.strictObject({
  id: EDIT_ID.optional(),
  changes: z.array(CHANGE).min(1),
});

/** Body of `PUT /v1/rows/TYPE/NAME`: column values by name. */
export const ROW_BODY = z.record(z.string(), z.unknown());
