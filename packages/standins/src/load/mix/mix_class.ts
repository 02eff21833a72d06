import type {Mix} from './mix.js';

/** Request class of a workload mix. */
export type MixClass = Mix['classes'][number];
