import {z} from 'zod';

const MAX_TTL_MS = 3_600_000;

const OWNED_SESSION = {
  reqId: z.string(),
  owner: z.string(),
  ttlMs: z.number().int().min(1).max(MAX_TTL_MS),
};

/** Body of `POST /wl/reservations`. */
export const RESERVATION_SCHEMA = z.object({
  ...OWNED_SESSION,
  tokens: z.number().int().min(1),
});

/** Body of `POST /wl/exports`. */
export const EXPORT_SCHEMA = z.object({
  ...OWNED_SESSION,
  hashes: z.array(z.string()),
});

/** Body of `POST /wl/imports`. */
export const IMPORT_SCHEMA = z.object({hashes: z.array(z.string())});
