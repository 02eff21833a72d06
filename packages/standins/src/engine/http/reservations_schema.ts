import {z} from 'zod';

/** Header `wl-reservations`: JSON array of reservations on other engines. */
export const RESERVATIONS_SCHEMA = z.array(
  z.object({
    endpoint: z.string(),
    url: z.url({protocol: /^https?$/}),
    sessionId: z.string(),
    tokens: z.number().int().nonnegative(),
  }),
);
