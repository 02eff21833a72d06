import {z} from 'zod';

const PROBABILITY = z.number().min(0).max(1);

/** Body of the platform's `POST /control`; absent fields stay unchanged. */
export const PLATFORM_FAULTS_SCHEMA = z
  .strictObject({
    outage: PROBABILITY,
    slow: PROBABILITY,
    slowMs: z.number().nonnegative(),
    lostAppends: PROBABILITY,
    otherOutage: PROBABILITY,
  })
  .partial();

/** Body of `POST /vms`. */
export const VMS_SCHEMA = z.object({
  vms: z.array(
    z.object({
      address: z.string(),
      failureDomain: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});
