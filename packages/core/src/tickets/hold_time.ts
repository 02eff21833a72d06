/**
 * Time after which an engine frees reserved memory that is not renewed, in
 * milliseconds, whatever state the engine is in. It limits how long memory
 * stays reserved after its gateway has died.
 */
export const HOLD_MS = 3_500;
