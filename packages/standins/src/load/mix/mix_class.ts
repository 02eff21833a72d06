import type {Mix} from './mix.js';

/** One class of a mix. */
export type MixClass = Mix['classes'][number];
