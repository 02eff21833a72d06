/**
 * Why a body could not be read. `memory_short`: it was given up, or not begun,
 * for lack of memory. `too_slow`: it came below the lowest rate.
 */
export type BodyError = 'too_large' | 'aborted' | 'memory_short' | 'too_slow';
