import type {z} from 'zod';
import type {MIX_SCHEMA} from './mix_schema.js';

/** Workload mix: classes, customers, arrival rate and bursts. */
export type Mix = z.infer<typeof MIX_SCHEMA>;
