import type {Mix} from './mix.js';

/** Customer of a workload mix. */
export type MixCustomer = Mix['customers'][number];
