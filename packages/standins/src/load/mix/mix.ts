import type {z} from 'zod';
import type {MIX_SCHEMA} from './mix_schema.js';

/** Requests of a run: classes, customers, rate and bursts. */
export type Mix = z.infer<typeof MIX_SCHEMA>;
