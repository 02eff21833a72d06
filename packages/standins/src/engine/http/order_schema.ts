import {z} from 'zod';

/** Body of `POST /wl/orders`. */
export const ORDER_SCHEMA = z.object({
  token: z.number().int(),
  order: z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('load_model'),
      model: z.string(),
      version: z.string(),
    }),
    z.object({
      kind: z.literal('unload_model'),
      model: z.string(),
      version: z.string(),
    }),
    z.object({
      kind: z.literal('load_adapter'),
      model: z.string(),
      adapter: z.string(),
    }),
    z.object({
      kind: z.literal('set_role'),
      role: z.enum(['mixed', 'prefill', 'decode']),
    }),
  ]),
});
