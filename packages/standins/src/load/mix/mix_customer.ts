import type {Mix} from './mix.js';

/** One customer of a mix. */
export type MixCustomer = Mix['customers'][number];
